package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/rollout"
	"k8s.io/klog/v2"
)

const (
	rolloutReportInterval = 200 * time.Millisecond // while a roll-out runs
	rolloutReportTimeout  = 400 * time.Millisecond // a later answer would renew a permit that has expired
)

// WithRollouts makes the client update an agent with the versions in force and,
// during a roll-out, with permits, and report what the agent observed. It is
// called before Start.
func (c *Client) WithRollouts(agent *rollout.Agent) {
	c.agent = agent
}

// applyVersions applies a view received with a reply.
func (c *Client) applyVersions(view *rollout.View) {
	if c.agent == nil || view == nil || !c.agent.SetView(*view) {
		return
	}
	for _, r := range view.Records {
		klog.InfoS("Versions in force", "service", r.Service, "inForce", r.InForce, "number", r.Number, "version", r.Target, "state", r.State, "stage", r.Stage)
	}
}

// rolloutReportLoop sends reports while a roll-out is running.
func (c *Client) rolloutReportLoop() {
	r := rolloutReporter{client: c, incarnation: rand.Uint64()}
	for pause.For(c.ctx, rolloutReportInterval) {
		if c.agent.Running() {
			r.report()
		}
	}
}

// rolloutReporter reports to the leader what an agent observed.
type rolloutReporter struct {
	client      *Client
	incarnation uint64              // identifies this process
	evaluatorID uint64              // the leader's evaluation that has the earlier reports
	leader      walnutramp.NodeName // last destination; empty for any member
}

func (r *rolloutReporter) report() {
	c := r.client
	ctx, cancel := context.WithTimeout(c.ctx, rolloutReportTimeout)
	defer cancel()
	if r.leader == "" {
		r.leader = c.randomMember()
	}
	requestedAt := uptime.Now()
	var reply ReportReply
	args := ReportArgs{Node: c.self.Address, Life: r.incarnation, Judge: r.evaluatorID, Cells: c.agent.Report(r.evaluatorID)}
	err := c.peers.Call(ctx, r.leader, Service+".Report", args, &reply)
	if err != nil || reply.Code != walnutramp.CodeOK {
		klog.V(1).InfoS("Roll-out report failed", "asked", r.leader, "code", int(reply.Code), "err", err)
		c.agent.ResetReport()
		r.leader = reply.Leader
		return
	}
	r.evaluatorID = reply.Judge
	c.agent.SetPermits(reply.Permits, requestedAt)
}

// randomMember returns one of the known members at random.
func (c *Client) randomMember() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.candidates()
	return known[rand.IntN(len(known))]
}

// StartRollout starts a roll-out of a service to a version and returns its record. If
// another roll-out is in progress, it returns that one's record with an error. If the
// group did not answer in time, the roll-out may still be started.
func (c *Client) StartRollout(ctx context.Context, service, version string, duration time.Duration) (rollout.Record, error) {
	r, retried, err := c.doReportingRetry(ctx, attemptTimeout, ".Order", OrderArgs{Service: service, Version: version, Duration: duration})
	if err != nil {
		return rollout.Record{}, err
	}
	if r.Code == walnutramp.CodeRolloutUnderWay && retried && r.Rollout.OrderedAs(version, duration) {
		return r.Rollout, nil // started by an earlier attempt of this call
	}
	if r.Code != walnutramp.CodeOK {
		return r.Rollout, walnutramp.NewError(r.Code, walnutramp.NotRun, "%s", r.Code.Info().Text)
	}
	return r.Rollout, nil
}

// Rollout returns the newest roll-out of a service, read from a leader that a
// majority confirmed after the call began. If the service had none, the error has
// CodeRolloutUnknown.
func (c *Client) Rollout(ctx context.Context, service string) (RolloutReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		var reply RolloutReply
		tryCtx, cancelTry := context.WithTimeout(ctx, attemptTimeout)
		err := c.peers.Call(tryCtx, c.nextNode(), Service+".Rollout", RolloutArgs{Service: service}, &reply)
		cancelTry()
		switch {
		case err == nil && reply.Code == walnutramp.CodeOK:
			return reply, nil
		case err == nil && reply.Code == walnutramp.CodeRolloutUnknown:
			return reply, walnutramp.NewError(reply.Code, walnutramp.NotRun, "%s", reply.Code.Info().Text)
		}
		c.switchNode(reply.Leader)
		if !pause.For(ctx, retryDelay) {
			return reply, walnutramp.NewError(walnutramp.CodeNoLeader, walnutramp.Unknown, "no confirmed leader returned the roll-out within %v", commandTimeout).WithRetryAfter(time.Second)
		}
	}
}
