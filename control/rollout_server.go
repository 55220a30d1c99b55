package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
)

const (
	// maxRolloutDuration bounds the duration in an order.
	maxRolloutDuration = 24 * time.Hour
	// defaultOrderRetryWindow is how long operators retry an order, unless the
	// site sets it.
	defaultOrderRetryWindow = 5 * time.Second
	// orderRetryMargin is how long after the retry window the last retry may arrive.
	orderRetryMargin = 1 * time.Second
)

// Order implements the RPC with which an operator starts a roll-out.
func (s *Server) Order(args OrderArgs, reply *DoReply) error {
	if s.rollouts == nil || args.Service == "" || args.Version == "" || args.Duration <= 0 || args.Duration > maxRolloutDuration {
		reply.Code = walnutramp.CodeRolloutInvalid
		return nil
	}
	if !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	order := RolloutOrder{Service: args.Service, Version: args.Version, Duration: args.Duration}
	listed, list := s.targets.current()
	order.Listed = versionsOf(list)[args.Service]
	view := s.state.versions()
	rec, known := view.Of(args.Service)
	switch {
	case known:
		if len(rec.InForce) > 0 {
			order.Listed = rec.InForce // a version listed later was never ordered
		}
		order.Repeat = rec.OrderedAs(args.Version, args.Duration) && s.state.rolloutElapsed(rec) < s.orderRetryWindow+orderRetryMargin
	case listed == 0:
		reply.Code = walnutramp.CodeNoLeader // the list of targets has not been read yet
		return nil
	case len(order.Listed) == 0:
		reply.Code = walnutramp.CodeRolloutUnknown
		return nil
	}
	return s.propose(context.Background(), Command{Rollout: &order}, reply)
}

// Rollout implements the RPC that reads a service's newest roll-out.
func (s *Server) Rollout(args RolloutArgs, reply *RolloutReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if !s.member.Leads() || !s.member.Confirm(ctx) {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	view := s.state.versions()
	rec, known := view.Of(args.Service)
	if !known || rec.Number == 0 {
		reply.Code = walnutramp.CodeRolloutUnknown
		return nil
	}
	reply.Code, reply.Record, reply.Elapsed = walnutramp.CodeOK, rec, s.state.rolloutElapsed(rec)
	if s.rollouts != nil {
		reply.Sums, reply.Verdict = s.rollouts.results(rec)
	}
	return nil
}

// Report implements the RPC with which a node reports its observations of targets
// and gets permits for new versions.
func (s *Server) Report(args ReportArgs, reply *ReportReply) error {
	if s.rollouts == nil || !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	reply.Code = walnutramp.CodeOK
	reply.Judge, reply.Permits = s.rollouts.report(args)
	return nil
}
