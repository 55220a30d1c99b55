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

// Times of a node's part in roll-outs.
const (
	reportEvery = 200 * time.Millisecond // between two reports while a roll-out runs
	reportLimit = 400 * time.Millisecond // of one report: a permit renewed later than that has ended
)

// WithRollouts has the client keep an agent up to date: with the versions in
// force, and with permits while a roll-out is under way, for which it tells
// what the agent saw. It is called before Start.
func (c *Client) WithRollouts(agent *rollout.Agent) {
	c.agent = agent
}

// takeVersions takes a view that came with an answer.
func (c *Client) takeVersions(view *rollout.View) {
	if c.agent == nil || view == nil || !c.agent.SetView(*view) {
		return
	}
	for _, r := range view.Records {
		klog.InfoS("Versions in force", "service", r.Service, "inForce", r.InForce, "number", r.Number, "version", r.Target, "state", r.State, "stage", r.Stage)
	}
}

// reportAlways reports while a roll-out is under way.
func (c *Client) reportAlways() {
	r := reporter{client: c, life: rand.Uint64()}
	for pause.For(c.ctx, reportEvery) {
		if c.agent.Running() {
			r.report()
		}
	}
}

// reporter tells the leader what an agent saw.
type reporter struct {
	client *Client
	life   uint64              // names this process
	judge  uint64              // who weighs the reports, as it named itself
	leader walnutramp.NodeName // who was asked last, empty for any member
}

func (r *reporter) report() {
	c := r.client
	ctx, cancel := context.WithTimeout(c.ctx, reportLimit)
	defer cancel()
	if r.leader == "" {
		r.leader = c.anyMember()
	}
	asked := uptime.Now()
	var reply ReportReply
	args := ReportArgs{Node: c.entry.Address, Life: r.life, Judge: r.judge, Cells: c.agent.Report(r.judge)}
	err := c.peers.Call(ctx, r.leader, Service+".Report", args, &reply)
	if err != nil || reply.Code != walnutramp.CodeOK {
		klog.V(1).InfoS("Report not taken", "asked", r.leader, "code", int(reply.Code), "err", err)
		c.agent.Unreported()
		r.leader = reply.Leader
		return
	}
	r.judge = reply.Judge
	c.agent.SetPermits(reply.Permits, asked)
}

// anyMember draws one of those that are known.
func (c *Client) anyMember() walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known()
	return known[rand.IntN(len(known))]
}

// StartRollout orders a service to be brought to a version, and returns the
// record of its roll-out.
func (c *Client) StartRollout(ctx context.Context, service, version string, duration time.Duration) (rollout.Record, error) {
	r, repeated, err := c.doRepeating(ctx, tryTime, ".Order", OrderArgs{Service: service, Version: version, Duration: duration})
	if err != nil {
		return rollout.Record{}, err
	}
	if r.Code == walnutramp.CodeRolloutUnderWay && repeated && r.Rollout.OrderedAs(version, duration) {
		return r.Rollout, nil // an earlier try of this call began it
	}
	if r.Code != walnutramp.CodeOK {
		return r.Rollout, walnutramp.NewError(r.Code, walnutramp.NotRun, "%s", r.Code.Info().Text)
	}
	return r.Rollout, nil
}

// Rollout returns the newest roll-out of a service, as the leader had it
// confirmed by a majority after this call.
func (c *Client) Rollout(ctx context.Context, service string) (RolloutReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	for {
		var reply RolloutReply
		tryCtx, cancelTry := context.WithTimeout(ctx, tryTime)
		err := c.peers.Call(tryCtx, c.target(), Service+".Rollout", RolloutArgs{Service: service}, &reply)
		cancelTry()
		switch {
		case err == nil && reply.Code == walnutramp.CodeOK:
			return reply, nil
		case err == nil && reply.Code == walnutramp.CodeRolloutUnknown:
			return reply, walnutramp.NewError(reply.Code, walnutramp.NotRun, "%s", reply.Code.Info().Text)
		}
		c.forgetLeader(reply.Leader)
		if !pause.For(ctx, tryPause) {
			return reply, walnutramp.NewError(walnutramp.CodeNoLeader, walnutramp.Unknown, "no leader confirmed the roll-out in %v", commandTime).WithRetryAfter(time.Second)
		}
	}
}
