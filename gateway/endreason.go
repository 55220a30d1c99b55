package gateway

import "context"

// endReason says why a call gets no further attempt. Its value is a metric label.
type endReason string

// Reasons of an end.
const (
	endDeadline      endReason = "deadline"       // the client's or the route's
	endClientLeft    endReason = "client-left"    // or reads too slowly, or this node ends
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
		return endClientLeft
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

// contextReason distinguishes a deadline from a client that left.
func contextReason(ctx context.Context) endReason {
	if ctx.Err() == context.DeadlineExceeded {
		return endDeadline
	}
	return endClientLeft
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
