package gateway

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
	"k8s.io/klog/v2"
)

// Targets of one service may run different software versions, and the events of two versions
// don't form one stream. So a stream is bound to the version that wrote its first event, for
// all its runs.

// binding says to which software version a stream is bound.
type binding struct {
	bound    bool // an event has been forwarded, or the client has one
	software string
}

// boundTo returns the binding to a software version.
func boundTo(software string) binding { return binding{bound: true, software: software} }

// allows reports whether a bound stream may run at a target.
func (b binding) allows(t *balance.Target) bool { return t.Version == b.software }

// versionWait is how long a stream waits for a target of its version while some are listed
// but none takes it. It is the shortest time without an event after which clients leave.
const versionWait = 2 * time.Second

// excludeUnbound returns a filter that excludes the targets of a service at which a bound
// call may not continue.
func (g *Gateway) excludeUnbound(service string, b binding) func(*balance.Target) bool {
	if !g.mayContinueAt(service, b.software) {
		return func(*balance.Target) bool { return true }
	}
	return func(t *balance.Target) bool { return !b.allows(t) }
}

// mayContinueAt reports whether roll-outs allow a call to continue at a service's version.
func (g *Gateway) mayContinueAt(service, software string) bool {
	return g.cfg.Rollouts == nil || g.cfg.Rollouts.MayContinue(service, software)
}

// chargeRollout charges a call to the new version of a roll-out if it is bound to that, and
// reports whether it did.
func (g *Gateway) chargeRollout(c *call) bool {
	return c.binding.bound && g.cfg.Rollouts != nil && g.cfg.Rollouts.Charge(c.service, c.route.Name, c.binding.software)
}

// chooseBoundTarget returns the best untried target of the version to which a call is bound.
func (g *Gateway) chooseBoundTarget(c *call, search permitSearch) selection {
	s := g.pickTarget(c, search, g.excludeUnbound(c.service, c.binding))
	if s.target != nil {
		s.canary = g.chargeRollout(c)
	}
	return s
}

// awaitVersion waits before the next selection of a target for a bound call; false if none
// is waited for any longer, or if those of its version are known to take none in time.
// Targets that were tried may be tried again, since there may be no others.
func (g *Gateway) awaitVersion(ctx context.Context, c *call) bool {
	if !g.targets.OffersVersion(c.service, c.binding.software) || !g.mayContinueAt(c.service, c.binding.software) {
		c.versionGone = true
		return false
	}
	c.cooldownLeft = g.remainingCooldown(c)
	wait := max(retryInterval, c.cooldownLeft)
	if c.denial != nil {
		wait = max(wait, c.denial.RetryAfter)
	}
	if uptime.Since(c.idleSince)+wait >= versionWait || !pause.For(ctx, wait) {
		return false
	}
	clear(c.rejected)
	clear(c.tried)
	return true
}

// dwindlingVersions returns the versions at which a new stream should not begin, as there may
// soon be no target to continue it.
func (g *Gateway) dwindlingVersions(c *call) []string {
	if !c.resumable() {
		return nil
	}
	return g.targets.DwindlingVersions(c.service)
}

// bind binds a stream to the software version of the run that wrote its first event. Other
// nodes get the record before that event is forwarded: this node may be lost at any moment
// after.
func (r *relay) bind(ctx context.Context) {
	g, c := r.gateway, r.call
	if c.binding.bound {
		return
	}
	c.binding = boundTo(r.software)
	if c.relayed {
		return // the other node counts and records it
	}
	g.counters.streamBound(c.service, r.software)
	if !c.resumable() {
		return
	}
	if !g.cfg.Origins.Remember(ctx, c.record(origins.AttemptOf(c.account.Name, c.id)), c.route.returnTime()) {
		g.counters.originsUnconfirmed.Inc()
		klog.InfoS("No node confirmed the stream's software version", "request", c.id, "software", r.software)
	}
}

// countContinuation counts a run that continues a stream, by whether it has the version that
// wrote the events before.
func (r *relay) countContinuation() {
	if r.software != r.call.binding.software {
		klog.ErrorS(nil, "Stream goes on at another software version", "request", r.call.id, "bound", r.call.binding.software, "software", r.software)
		r.gateway.counters.streamContinued("other")
		return
	}
	r.gateway.counters.streamContinued("same")
}

// resumable reports whether a call is for a stream that may be resumed at another target.
func (c *call) resumable() bool { return c.route.Kind == Stream && c.route.Resume }
