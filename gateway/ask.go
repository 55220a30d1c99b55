package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Backpressure holds the backpressure signals of a target's answer.
type Backpressure struct {
	// Cooldown is the cooldown that the target requests; 0 for none.
	Cooldown time.Duration
	// Draining says that the target is draining: it accepts no new requests.
	Draining bool
	// RateLimit is the rate limit that the target publishes for all nodes together.
	RateLimit ratelimit.Signal
	// Brittle says that the service's targets fail if they have to reject too much.
	Brittle inflight.Signal
}

// grants are what a call needs to be sent to its selected target.
type grants struct {
	permit ratelimit.Permit // if it publishes a rate limit; until the request is sent
	lease  inflight.Lease   // if it is brittle; until the request has ended
}

// Reasons why a request is not sent to the selected target: it is draining or in
// cooldown, its rate limit leaves no room, it is brittle and has no free slot, or the
// request is a retry that the budget does not cover.
var (
	errNotAdmitted = errors.New("target accepts no requests now")
	errRateLimited = errors.New("target is at its rate limit")
	errNoSlot      = errors.New("brittle target has no free slot")
	errBudgetSpent = errors.New("retry budget exhausted")
)

// notSent reports whether err means that the request was withheld before sending.
func notSent(err error) bool {
	return errors.IsAny(err, errNotAdmitted, errRateLimited, errNoSlot, errBudgetSpent, targetconn.ErrNoConnection)
}

// mayHaveArrived reports whether a target may have received a request that failed.
func mayHaveArrived(err error) bool {
	var f *targetconn.Failure
	return errors.As(err, &f) && f.Reached()
}

// chargeRetry charges a retry to the budget immediately before it is sent, unless a
// reservation made when the retry was decided on is still valid. It charges nothing for
// a request that no target has received yet.
func (g *Gateway) chargeRetry(c *call) error {
	if !c.sendBy.IsZero() && uptime.Now().After(c.sendBy) {
		return errBudgetSpent
	}
	if !c.reserveRetry(g.budgets.Of(c.service)) {
		return errBudgetSpent
	}
	if c.contacted {
		g.counters.retries.Inc()
	}
	return nil
}

// purpose classifies a call to a target. Its value is a metric label.
type purpose string

// The purposes.
const (
	purposeFirst  purpose = "first"  // a client request that has reached no target yet and resumes nothing
	purposeRetry  purpose = "repeat" // a request that other targets rejected or failed
	purposeResume purpose = "resume" // the remainder of a stream, also at its first attempt and at retries
	purposeCopy   purpose = "copy"   // an order about the KV-cache copy of a run
	purposeStop   purpose = "stop"   // an order to stop a run
)

// isOrder reports whether the call is an order about a run.
func (p purpose) isOrder() bool { return p == purposeCopy || p == purposeStop }

// purpose returns the purpose of the next attempt.
func (c *call) purpose() purpose {
	switch {
	case c.hasLast:
		return purposeResume
	case c.contacted:
		return purposeRetry
	}
	return purposeFirst
}

// send sends a request to a target and applies the load and backpressure signals in the
// head of the answer. It fails with errNotAdmitted if the target is in cooldown or, except
// for orders, draining, with errRateLimited if neither the permit nor one that this node
// has in hand allows the request, and with errNoSlot if the same is true of the lease. Every
// call to a target goes through here, so that none is sent during a cooldown, beyond a rate
// limit or, except for orders, without a slot of a brittle target. A target may ask
// for a cooldown after it was selected; requests, retries and runs on their way to it
// would still reach it if only the selection heeded that.
func (g *Gateway) send(ctx context.Context, t *balance.Target, p purpose, have *grants, r *targetconn.Request) (*targetconn.Answer, error) {
	accepts := t.Admit
	if p.isOrder() {
		accepts = func() bool { return !t.InCooldown() } // runs are copied off a target that is shutting down
	}
	if !accepts() {
		g.counters.notSent(p)
		return nil, errNotAdmitted
	}
	charge := r.Gate
	var used ratelimit.Permit
	r.Gate = func() error {
		if !p.isOrder() && !g.cfg.InFlight.Use(leaseRequest(t, timeLeft(ctx)), &have.lease) {
			return errNoSlot
		}
		var err error
		used, err = g.checkBeforeSending(t, &have.permit, charge)
		return err
	}
	r.Unsent = func() { g.cfg.Limits.Return(&used) }
	sentAt := uptime.Now()
	answer, err := g.pool.Do(ctx, endpoint(t), r)
	if errors.IsAny(err, errNotAdmitted, errRateLimited, errNoSlot) {
		g.counters.notSent(p)
	}
	if err != nil {
		return nil, err
	}
	if p != purposeStop { // a target may obey while its streams are silent
		t.RecordEvent()
	}
	g.applyLoad(t, answer.Header)
	g.applyBackpressure(t, r.Identity, sentAt, answer)
	return answer, nil
}

// timeLeft returns the time until the deadline of ctx; 0 without one.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

// checkBeforeSending reports why a request must not be sent to a target now; nil if it may
// be. It uses up the permit, and returns it if it was valid. charge, which may be nil, charges
// a retry.
func (g *Gateway) checkBeforeSending(t *balance.Target, permit *ratelimit.Permit, charge func() error) (used ratelimit.Permit, err error) {
	if t.InCooldown() {
		return used, errNotAdmitted
	}
	held := *permit
	if !g.cfg.Limits.Use(t.Incarnation(), permit) {
		return used, errRateLimited
	}
	if *permit != held {
		used = held
	}
	if charge == nil {
		return used, nil
	}
	if err := charge(); err != nil {
		g.cfg.Limits.Return(&used)
		return used, err
	}
	return used, nil
}

// applyBackpressure applies the backpressure signals of an answer to its target.
func (g *Gateway) applyBackpressure(t *balance.Target, request string, sentAt time.Time, a *targetconn.Answer) {
	if g.cfg.Names.ParseBackpressure == nil {
		return
	}
	g.recordBackpressure(t, request, sentAt, a.Status, g.cfg.Names.ParseBackpressure(a.Status, a.Header))
}

// recordBackpressure records the backpressure signals of a target in the answer to a request
// that was sent at a time.
func (g *Gateway) recordBackpressure(t *balance.Target, request string, sentAt time.Time, status int, backpressure Backpressure) {
	if backpressure.Cooldown > 0 {
		t.StartCooldown(backpressure.Cooldown)
		g.counters.cooldowns.Inc()
		klog.InfoS("Target asks for rest", "request", request, "target", t.ID, "status", status, "rest_ms", backpressure.Cooldown.Milliseconds())
	} else {
		t.RecordResponse()
	}
	if status != http.StatusMisdirectedRequest { // from another target at the address
		g.cfg.Limits.Observe(t.Incarnation(), backpressure.RateLimit)
		g.cfg.InFlight.Observe(t.Service, backpressure.Brittle, sentAt)
	}
	if backpressure.Draining && !t.Draining() {
		t.RecordDraining()
		klog.InfoS("Target says that it leaves", "request", request, "target", t.ID)
	}
}

// applyLoad applies the load that an answer reports.
func (g *Gateway) applyLoad(t *balance.Target, h http.Header) {
	value := h.Get(g.cfg.Names.Load)
	if value == "" || g.cfg.Names.ParseLoad == nil {
		return
	}
	l, ok := g.cfg.Names.ParseLoad(value)
	if !ok {
		g.counters.invalidLoads.Inc()
		return
	}
	t.RecordLoad(l)
}

// recordNotSent records that a call was withheld from its selected target.
func (g *Gateway) recordNotSent(c *call, t *balance.Target) {
	c.rolloutRequest.Discard()
	c.rejected[t] = true
}
