package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
)

const (
	// longestRollout bounds the time that an order may give.
	longestRollout = 24 * time.Hour
	// orderPatience is in which operators send an order again, where the site
	// does not tell.
	orderPatience = 5 * time.Second
	// repeatMargin is how much later than that the last repeat may come in.
	repeatMargin = 1 * time.Second
)

// Order implements the RPC for an operator's order of a roll-out.
func (s *Server) Order(args OrderArgs, reply *DoReply) error {
	if s.rollouts == nil || args.Service == "" || args.Version == "" || args.Duration <= 0 || args.Duration > longestRollout {
		reply.Code = walnutramp.CodeRolloutInvalid
		return nil
	}
	if !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	order := RolloutOrder{Service: args.Service, Version: args.Version, Duration: args.Duration}
	listed, list := s.roster.held()
	order.Listed = versionsOf(list)[args.Service]
	view := s.state.versions()
	rec, known := view.Of(args.Service)
	switch {
	case known:
		order.Repeat = rec.OrderedAs(args.Version, args.Duration) && s.state.rolloutElapsed(rec) < s.patience+repeatMargin
	case listed == 0:
		reply.Code = walnutramp.CodeNoLeader // it has not read the list of targets yet
		return nil
	case len(order.Listed) == 0:
		reply.Code = walnutramp.CodeRolloutUnknown
		return nil
	}
	return s.propose(context.Background(), Command{Rollout: &order}, reply)
}

// Rollout implements the RPC that reads the newest roll-out of a service.
func (s *Server) Rollout(args RolloutArgs, reply *RolloutReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), confirmLimit)
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
		reply.Sums, reply.Verdict = s.rollouts.weighed(rec)
	}
	return nil
}

// Report implements the RPC by which a node tells what it saw of targets, and
// gets permits for new versions.
func (s *Server) Report(args ReportArgs, reply *ReportReply) error {
	if s.rollouts == nil || !s.member.Leads() {
		reply.Code, reply.Leader = walnutramp.CodeNoLeader, s.member.Leader()
		return nil
	}
	reply.Code = walnutramp.CodeOK
	reply.Judge, reply.Permits = s.rollouts.report(args)
	return nil
}
