package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Limits of target selection.
const (
	waitShare     = 0.5 // fraction of the latency objective that a request may wait for a target
	retryInterval = 25 * time.Millisecond
	maxRejections = 12 // no target is tried once more than this were selected for a request
	maxTargetWait = 2 * time.Second

	// startShare is the fraction of the latency objective within which a new request
	// must be predicted to start; the rest is margin for prediction errors.
	startShare = 0.9
)

// nextTarget returns the next target to try, or nil. While none is available, it polls
// until the wait limit, unless waiting is useless: if the request may already have run, if
// it is new and no engine can admit it, if no target grants a permit in time, or if all its
// targets are in cooldown for longer. A free slot of a brittle target is waited for in any
// case, since others end all the time, and so is a target for a bound stream, since no other
// version will do.
func (g *Gateway) nextTarget(ctx context.Context, c *call) *balance.Target {
	until := c.arrived.Add(min(time.Duration(float64(c.route.LatencyObjective)*waitShare), maxTargetWait))
	slotBy := until
	if c.mayHaveRun || c.hasLast {
		slotBy = uptime.Now().Add(resumePermitWait) // slots become free soon, and its client has waited
	}
	for {
		if c.attempts > maxRejections || !uptime.Now().Before(c.deadline) {
			return nil // a suspended machine's timers fire late
		}
		if t := g.selectTarget(ctx, c, until); t != nil {
			c.attempts++
			g.beginRolloutRequest(c, t)
			return t
		}
		if c.crowded && uptime.Now().Before(slotBy) && g.awaitSlot(ctx, c) {
			clear(c.rejected)
			continue
		}
		if c.binding.bound {
			if !g.awaitVersion(ctx, c) {
				return nil
			}
			continue
		}
		if c.noCapacity || c.mayHaveRun {
			return nil
		}
		c.cooldownLeft = g.remainingCooldown(c)
		if c.denial != nil && c.cooldownLeft == 0 && len(c.rejected) == 0 {
			return nil
		}
		if !uptime.Now().Add(c.cooldownLeft).Before(until) || !pause.For(ctx, retryInterval) {
			return nil
		}
		clear(c.rejected)
	}
}

// awaitSlot waits until a slot of a brittle target may have become free. It returns false
// if ctx has ended.
func (g *Gateway) awaitSlot(ctx context.Context, c *call) bool {
	g.cfg.InFlight.AwaitFree(ctx, c.service, retryInterval)
	return ctx.Err() == nil
}

// remainingCooldown returns the shortest remaining cooldown of the eligible targets; 0
// unless all of them are in cooldown. Those whose rate limit leaves no room don't count.
func (g *Gateway) remainingCooldown(c *call) time.Duration {
	excluded := g.excludeByVersion(c.service)
	if c.binding.bound {
		excluded = g.excludeUnbound(c.service, c.binding)
	}
	return g.targets.CooldownLeft(c.service, func(t *balance.Target) bool {
		return c.tried[t] || excluded != nil && excluded(t) || c.denial != nil && g.cfg.Limits.Notice(t.Incarnation()).Limited()
	})
}

// selection is a selected target that may still deny a permit.
type selection struct {
	target *balance.Target
	choice balance.Choice
	canary bool // it has the new version of a roll-out
}

// chooseTarget returns the best untried target of a version that the call may use.
func (g *Gateway) chooseTarget(c *call, search permitSearch) selection {
	if c.binding.bound {
		return g.chooseBoundTarget(c, search)
	}
	if g.drawNewVersion(c) {
		if s := g.pickTarget(c, search, g.excludeAllButNew(c)); s.target != nil {
			s.canary = true
			return s
		}
		g.cfg.Rollouts.ReturnCredit(c.service, c.route.Name)
	}
	excluded := g.excludeByVersion(c.service)
	if dwindling := g.dwindlingVersions(c); len(dwindling) > 0 {
		s := g.pickTarget(c, search, func(t *balance.Target) bool {
			return slices.Contains(dwindling, t.Version) || excluded != nil && excluded(t)
		})
		if s.target != nil {
			return s
		}
	}
	return g.pickTarget(c, search, excluded)
}

// pickTarget returns the best untried target that is not excluded.
func (g *Gateway) pickTarget(c *call, search permitSearch, excluded func(*balance.Target) bool) selection {
	choice := c.choice()
	choice.Exclude = func(t *balance.Target) bool { return c.tried[t] || c.rejected[t] || excluded != nil && excluded(t) }
	choice.Bounded = g.cfg.InFlight.Bounded(c.service)
	choice.Allowance = func(t *balance.Target) balance.Allowance { return g.allowance(c, t, search) }
	if c.place != nil {
		choice.HeardSince = c.placeSince
	}
	t := g.targets.Pick(choice)
	if t == nil && c.place != nil {
		choice.HeardSince = time.Time{}
		t = g.targets.Pick(choice)
	}
	c.noCapacity = false
	if t == nil && choice.Admission {
		withoutAdmission := choice
		withoutAdmission.Admission = false
		c.noCapacity = g.targets.Pick(withoutAdmission) != nil
	}
	return selection{target: t, choice: choice}
}

// isNew reports whether a call is subject to admission: it has not run anywhere, and
// its client has no part of the answer.
func (c *call) isNew() bool { return c.settings.Engine && !c.mayHaveRun && !c.hasLast }

// choice returns the selection criteria for the next target. After a failure the key of
// the prompt is dropped: many requests may look for new targets at once, and are then
// better spread by node than by prompt.
func (c *call) choice() balance.Choice {
	key := c.promptKey
	if len(c.failedHalls) > 0 {
		key = ""
	}
	choice := balance.Choice{Service: c.service, Work: c.work, Key: key, Retried: c.resumed && key != "", FailedHalls: c.failedHalls, Connected: c.connectedOnly}
	if c.isNew() {
		choice.Admission = true
		choice.FirstEventGoal = c.route.LatencyObjective
		choice.Rank = c.rank
		choice.MaxWait = uptime.Until(c.latestStart())
	}
	return choice
}

// latestStart returns the time by which a new request must be predicted to start.
func (c *call) latestStart() time.Time {
	return c.arrived.Add(time.Duration(startShare * float64(c.route.LatencyObjective)))
}

// recordArrival records that a target received the request. An attempt that does not
// arrive, such as a refused connection, is not a retry.
func (c *call) recordArrival() {
	if c.contacted && !c.reservedRetry.Spent() {
		klog.InfoS("Retry sent without a budget reservation", "request", c.id, "service", c.service, "sent", c.dispatched)
	}
	c.contacted = true
	c.reservedRetry = balance.Retry{}
}

// reserveRetry reserves one retry from the budget; false if the budget is exhausted.
// An unused reservation stays valid for the budget's SendWithin.
func (c *call) reserveRetry(b *balance.Budget) bool {
	if !c.contacted || c.reservedRetry.Spent() && uptime.Since(c.reservedRetry.At) < b.SendWithin() {
		return true
	}
	c.refundRetry(b)
	var reserved bool
	c.reservedRetry, reserved = b.Spend()
	return reserved
}

// refundRetry returns an unused reservation to the budget.
func (c *call) refundRetry(b *balance.Budget) {
	if c.reservedRetry.Spent() {
		b.Refund(c.reservedRetry)
	}
	c.reservedRetry = balance.Retry{}
}

// recordRun records that a target may have run the request.
func (c *call) recordRun(t *balance.Target) {
	c.recordArrival()
	c.tried[t] = true
	c.dispatched++
	c.mayHaveRun = true
}
