package control

import (
	"context"
	"fmt"
	"time"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// callTimeout bounds one call to the platform.
const callTimeout = 1500 * time.Millisecond

// maxLoggedContent is the maximum number of bytes of a call's content in a log line: the
// counts of 10,000 accounts would fill the queue of log lines.
const maxLoggedContent = 80

// Do implements duty.Caller. It waits for the rate limit and for another call on the
// same subject, and makes one attempt. It returns NotSent if no call may be made now: the
// duty is not held, a backoff is in effect, calls are stopped or ctx is done. Callers recompute what to send and retry.
func (h *DutyHolder) Do(ctx context.Context, c duty.Call) duty.Outcome {
	if !h.ready() || h.limiter.Wait(ctx) != nil || !h.acquireSubject(ctx, c.Subject) {
		return duty.NotSent
	}
	defer h.releaseSubject(c.Subject)
	if !h.ready() {
		return duty.NotSent
	}
	p, ok := h.permissionFor(ctx, c)
	if !ok {
		return duty.NotSent
	}
	return h.send(ctx, c, p)
}

// acquireSubject waits until no other call on the subject is in flight and
// reserves the subject; false if calls are stopped or ctx is done.
func (h *DutyHolder) acquireSubject(ctx context.Context, s duty.Subject) bool {
	for {
		h.mu.Lock()
		if h.draining || h.stopped {
			h.mu.Unlock()
			return false
		}
		other, ok := h.inFlight[s]
		if !ok {
			h.inFlight[s] = make(chan struct{})
			h.mu.Unlock()
			return true
		}
		h.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return false
		}
	}
}

func (h *DutyHolder) releaseSubject(s duty.Subject) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.inFlight[s])
	delete(h.inFlight, s)
}

// ready reports whether the lease is held and no backoff from earlier calls is
// in effect.
func (h *DutyHolder) ready() bool {
	if !h.Held() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.BackoffLeft(uptime.Now()) == 0
}

// permissionFor returns the permission for a call. It takes a new grant if the
// call needs a higher token, and renews a lease that ends within callTimeout.
func (h *DutyHolder) permissionFor(ctx context.Context, c duty.Call) (duty.Permission, bool) {
	if h.needsToken(c) && !h.acquire(ctx, h.lease.Regrant(), duty.ReasonNewContent) {
		return duty.Permission{}, false
	}
	p, ok := h.permission()
	if !ok || uptime.Until(p.Until) > callTimeout {
		return p, ok
	}
	h.renew(ctx)
	return h.permission()
}

func (h *DutyHolder) needsToken(c duty.Call) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.NeedsToken(c, h.lease.Record().Token)
}

// send makes the call. It cancels an unanswered call at the end of the lease, which is
// Slack after p.Until: when another member acts, nothing left in the connection may be
// delivered.
func (h *DutyHolder) send(ctx context.Context, c duty.Call, p duty.Permission) duty.Outcome {
	sent := uptime.Now()
	end := sent.Add(callTimeout)
	if last := p.Until.Add(h.cfg.Slack); last.Before(end) {
		end = last
	}
	callCtx, cancel := context.WithTimeout(ctx, uptime.Until(end))
	outcome := c.Send(callCtx, p)
	cancel()
	h.recordOutcome(c, p, outcome, sent)
	if outcome == duty.Conflict {
		outcome = h.resolveConflict(ctx, p)
	}
	if outcome == duty.Fenced {
		h.mu.Lock()
		h.lease.End(p.Token)
		h.mu.Unlock()
	}
	h.metrics.GetOrCreateCounter(fmt.Sprintf("walnutramp_duty_calls_total{outcome=%q}", outcome)).Inc()
	klog.InfoS("Duty call", "subject", c.Subject, "content", c.Content[:min(len(c.Content), maxLoggedContent)], "token", p.Token, "outcome", outcome, "ms", uptime.Since(sent).Milliseconds())
	return outcome
}

func (h *DutyHolder) recordOutcome(c duty.Call, p duty.Permission, o duty.Outcome, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate.RecordOutcome(c, p, o, sent, uptime.Now())
}

// resolveConflict tells whether a Conflict was Fenced or Rejected. If a majority
// confirms that this member leads and its grants are the newest, no higher token
// was issued, so the platform rejected the call's content.
func (h *DutyHolder) resolveConflict(ctx context.Context, p duty.Permission) duty.Outcome {
	if !h.renew(ctx) {
		return duty.Fenced
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.lease.Record(); h.lease.Granted() && r.First <= p.Token {
		return duty.Rejected
	}
	return duty.Fenced
}
