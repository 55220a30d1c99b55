package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/ratelimit"
	"k8s.io/klog/v2"
)

const (
	// resumePermitWait is how long the remainder of a stream waits for a permit: its
	// client notices a longer gap.
	resumePermitWait = 500 * time.Millisecond
	// maxPermitDenials bounds the targets that deny a permit in one selection. After that
	// only those are chosen that need none, or of which this node has one in hand.
	maxPermitDenials = 2
)

// permitRequest returns the request for a permit of a target.
func (c *call) permitRequest(t *balance.Target, maxWait time.Duration) ratelimit.Request {
	r := ratelimit.Request{Target: t.Incarnation(), MaxWait: maxWait, Rank: c.rank}
	if c.hasLast {
		r.Rank = 0 // its client waits with part of the answer
	}
	return r
}

// permitSearch says which permits a selection may use.
type permitSearch struct {
	maxWait    time.Duration // for a permit
	onlyInHand bool          // no other node is asked
}

// allowance returns whether a permit of a target and a slot may be granted to a call, and
// records a target that is passed over. The caller holds the tracker's lock.
func (g *Gateway) allowance(c *call, t *balance.Target, search permitSearch) balance.Allowance {
	slot := g.cfg.InFlight.Check(c.leaseRequest(t))
	if slot == inflight.Exhausted || slot == inflight.Obtainable && search.onlyInHand {
		c.crowded = true
		return balance.NoAllowance
	}
	permit := g.permitAllowance(c, t, search)
	if slot == inflight.Obtainable && permit == balance.AllowanceInHand {
		return balance.AllowanceObtainable
	}
	return permit
}

// permitAllowance returns whether a permit of a target may be granted to a call, and
// records a target that is passed over.
func (g *Gateway) permitAllowance(c *call, t *balance.Target, search permitSearch) balance.Allowance {
	availability := g.cfg.Limits.Check(c.permitRequest(t, search.maxWait))
	switch {
	case availability == ratelimit.InHand:
		return balance.AllowanceInHand
	case availability == ratelimit.Obtainable && !search.onlyInHand:
		return balance.AllowanceObtainable
	}
	c.exhausted = t.Incarnation()
	return balance.NoAllowance
}

// selectTarget returns the best untried target that the call may use, with a permit if it
// has a rate limit; nil if there is none. A request waits for a permit, until the given
// time at most, only if no target takes it at once.
func (g *Gateway) selectTarget(ctx context.Context, c *call, until time.Time) *balance.Target {
	c.denial, c.exhausted, c.crowded = nil, "", false
	t := g.selectWithin(ctx, c, 0)
	if t == nil && (c.exhausted != "" || c.denial != nil) {
		t = g.selectWithin(ctx, c, c.permitWait(until))
	}
	if t != nil {
		c.denial, c.crowded = nil, false
		return t
	}
	if c.denial == nil {
		c.denial = g.cfg.Limits.Deny(c.exhausted)
	}
	return nil
}

// permitWait returns how long a call may wait for a permit.
func (c *call) permitWait(until time.Time) time.Duration {
	wait := uptime.Until(until)
	if c.hasLast {
		wait = max(wait, resumePermitWait)
	}
	return max(0, min(wait, uptime.Until(c.deadline)-deadlineMargin))
}

// selectWithin is selectTarget for one limit of the wait for a permit.
func (g *Gateway) selectWithin(ctx context.Context, c *call, maxWait time.Duration) *balance.Target {
	for denials := range maxPermitDenials + 1 {
		s := g.chooseTarget(c, permitSearch{maxWait: maxWait, onlyInHand: denials == maxPermitDenials})
		if s.target == nil {
			return nil
		}
		if g.acquireGrants(ctx, c, s.target, maxWait) {
			g.recordRegionCrossing(c, s.target, func() balance.Reason { return g.targets.CrossRegionReason(s.choice) })
			return s.target
		}
		if s.canary {
			g.cfg.Rollouts.ReturnCredit(c.service, c.route.Name)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// acquireGrants obtains what a call needs to be sent to a target: a slot if it is brittle,
// and a permit if it has a rate limit, for which it may wait.
func (g *Gateway) acquireGrants(ctx context.Context, c *call, t *balance.Target, maxWait time.Duration) bool {
	g.cfg.InFlight.Release(&c.grants.lease)
	lease, ok := g.cfg.InFlight.Acquire(ctx, c.leaseRequest(t))
	if !ok {
		c.crowded = true
		return false
	}
	c.grants.lease = lease
	if g.acquirePermit(ctx, c, t, maxWait) {
		return true
	}
	g.cfg.InFlight.Release(&c.grants.lease)
	return false
}

// abandonLease ends the lease of a call that was given up at its target.
func (g *Gateway) abandonLease(c *call) {
	service := c.service
	g.cfg.InFlight.Abandon(&c.grants.lease, func() bool { return g.paths.State(service).Lost })
}

// leaseRequest returns the request for a slot of a target.
func (c *call) leaseRequest(t *balance.Target) inflight.Request {
	return leaseRequest(t, uptime.Until(c.deadline))
}

// leaseRequest returns the request for a slot of a target, for a time at most.
func leaseRequest(t *balance.Target, ttl time.Duration) inflight.Request {
	return inflight.Request{Service: t.Service, Target: t.Incarnation(), Slots: t.Slots, TTL: ttl}
}

// acquirePermit obtains a permit for a call to a target and waits until it is valid. It
// returns true at once for a target without a rate limit.
func (g *Gateway) acquirePermit(ctx context.Context, c *call, t *balance.Target, maxWait time.Duration) bool {
	g.cfg.Limits.Return(&c.grants.permit)
	permit, denial := g.cfg.Limits.Acquire(ctx, c.permitRequest(t, maxWait))
	if denial != nil {
		if c.denial == nil || denial.RetryAfter < c.denial.RetryAfter {
			c.denial = denial
		}
		return false
	}
	c.grants.permit = permit
	wait := permit.Wait(uptime.Now())
	if wait <= 0 {
		return true
	}
	klog.InfoS("Request waits for a target's rate limit", "request", c.id, "target", t.ID, "wait_ms", wait.Milliseconds(),
		"perSecond", g.cfg.Limits.Notice(t.Incarnation()).Rate)
	return pause.For(ctx, wait)
}

// logDenial logs the rate limit for which a call is rejected.
func (g *Gateway) logDenial(c *call) {
	klog.InfoS("Request rejected for a rate limit", "request", c.id, "service", c.service, "perSecond", c.denial.Notice.Rate,
		"limitAge_ms", uptime.Since(c.denial.Notice.At).Milliseconds(), "ownSlots", c.denial.OwnSlots,
		"permitsLeft", strconv.FormatFloat(c.denial.PermitsLeft, 'f', 1, 64), "retryAfter_ms", c.denial.RetryAfter.Milliseconds())
}
