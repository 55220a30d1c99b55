package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// endReason says why a call gets no further attempt. Its value is a metric label.
type endReason string

// Reasons of an end.
const (
	endDeadline      endReason = "deadline"       // the client's or the route's
	endStopping      endReason = "stopping"       // this node ends
	endClientLeft    endReason = "client-left"    // it closed its connection
	endClientSlow    endReason = "client-slow"    // it reads too slowly
	endNoTarget      endReason = "no-target"      // none is available
	endNotRepeatable endReason = "not-repeatable" // it may have run, and may run only once
	endNoAttempt     endReason = "no-attempt"     // the route allows no other one
	endNoRetry       endReason = "no-retry"       // the budget is spent
	endQuarantined   endReason = "quarantined"    // it crashes targets
	endBrokenAnswer  endReason = "broken-answer"  // its target, the path or its client broke it off
)

// whyNoNextRun returns why a stream gets no further run after one that ended as given, or
// an empty reason and reserves the retry.
func (r *relay) whyNoNextRun(ctx context.Context, end runResult) endReason {
	c := r.call
	switch {
	case ctx.Err() != nil:
		return contextReason(ctx)
	case end == runClientLeft || end == runComplete:
		return writeReason(r.writeErr)
	case end == runFailed && !c.route.Idempotent() && c.mayHaveRun, r.unnumbered():
		return endNotRepeatable
	}
	why := endNoTarget
	if end != runNoTarget {
		why = r.gateway.whyNoRetry(ctx, c)
	}
	switch {
	case why == "" || r.awaitReplacement(ctx):
		return ""
	case ctx.Err() != nil:
		return contextReason(ctx)
	}
	return why
}

// errStopping cancels the requests that are left at the end of a planned stop.
var errStopping = errors.New("the node stops")

// contextReason returns why the context of a request has ended, or an empty reason if it has
// not. A cause that is not this node's own is the client's.
func contextReason(ctx context.Context) endReason {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return ""
	case errors.IsAny(cause, errStopping, errHandedBack):
		return endStopping
	case errors.Is(cause, context.DeadlineExceeded):
		return endDeadline
	}
	return endClientLeft
}

// writeReason returns why an answer could not be written to its client.
func writeReason(err error) endReason {
	if errors.Is(err, errClientSlow) {
		return endClientSlow
	}
	return endClientLeft
}

// requestContext returns the context of a request: it ends with its client, at its deadline,
// and when EndRequests is called.
func (g *Gateway) requestContext(client context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(client)
	detach := context.AfterFunc(g.requests, func() { cancel(errStopping) })
	ctx, stop := context.WithTimeout(ctx, uptime.Until(deadline))
	return ctx, func() {
		detach()
		stop()
		cancel(nil)
	}
}

// mayRetry reports whether another target may be tried, and reserves the retry.
func (g *Gateway) mayRetry(ctx context.Context, c *call) bool { return g.whyNoRetry(ctx, c) == "" }

// whyNoRetry returns why no other target may be tried, or an empty reason and reserves the
// retry.
func (g *Gateway) whyNoRetry(ctx context.Context, c *call) endReason {
	if g.cfg.Quarantine.CheckRetry(c.crashProbe, c.fingerprint) != nil {
		return endQuarantined
	}
	if c.mayHaveRun && !c.route.Idempotent() {
		return endNotRepeatable
	}
	if c.dispatched >= max(1, c.route.MaxAttempts) {
		return endNoAttempt
	}
	budget := g.budgets.Of(c.service)
	reserved := c.reserveRetry(budget) || g.cfg.Borrow != nil && g.cfg.Borrow(ctx, c.service) && c.reserveRetry(budget)
	g.logRetry(c, budget, reserved)
	if !reserved {
		return endNoRetry
	}
	return ""
}
