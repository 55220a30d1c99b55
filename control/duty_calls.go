package control

import (
	"context"
	"fmt"
	"time"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// callLimit bounds the wait for an answer: with it a call that got none comes
// again several times before the counts of a window are due.
const callLimit = 1500 * time.Millisecond

// loggedContent bounds how much of a call's content a log line holds, in bytes:
// the counts of 10,000 accounts would fill the queue of lines.
const loggedContent = 80

// Do implements duty.Caller. It makes one try, and NotSent is its answer where
// none may be made now: callers compare what they want with what is, and come
// again.
func (h *DutyHolder) Do(ctx context.Context, c duty.Call) duty.Outcome {
	if !h.ready() || h.limiter.Wait(ctx) != nil || !h.begin(ctx, c.Subject) {
		return duty.NotSent
	}
	defer h.end(c.Subject)
	if !h.ready() {
		return duty.NotSent
	}
	p, ok := h.permissionFor(ctx, c)
	if !ok {
		return duty.NotSent
	}
	return h.send(ctx, c, p)
}

// begin waits until no other call on the subject is under way.
func (h *DutyHolder) begin(ctx context.Context, s duty.Subject) bool {
	for {
		h.mu.Lock()
		if h.draining || h.stopped {
			h.mu.Unlock()
			return false
		}
		other, ok := h.busy[s]
		if !ok {
			h.busy[s] = make(chan struct{})
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

func (h *DutyHolder) end(s duty.Subject) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.busy[s])
	delete(h.busy, s)
}

// ready reports whether calls may be made now, by the lease and by what came of
// earlier ones.
func (h *DutyHolder) ready() bool {
	if !h.Held() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Pause(uptime.Now()) == 0
}

// permissionFor returns what a call may be made under, with a new grant where
// it needs one, and time for its answer where that can be had.
func (h *DutyHolder) permissionFor(ctx context.Context, c duty.Call) (duty.Permission, bool) {
	if h.needsToken(c) && !h.take(ctx, h.lease.Regrant(), duty.ReasonNewContent) {
		return duty.Permission{}, false
	}
	p, ok := h.permission()
	if !ok || uptime.Until(p.Until) > callLimit {
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

// send makes the call. Where no answer came it is given up before another
// member may act, so that what the network still holds of it is dropped.
func (h *DutyHolder) send(ctx context.Context, c duty.Call, p duty.Permission) duty.Outcome {
	sent := uptime.Now()
	end := sent.Add(callLimit)
	if last := p.Until.Add(h.cfg.Slack); last.Before(end) {
		end = last
	}
	callCtx, cancel := context.WithTimeout(ctx, uptime.Until(end))
	outcome := c.Send(callCtx, p)
	cancel()
	h.note(c, p, outcome, sent)
	if outcome == duty.Conflict {
		outcome = h.resolve(ctx, p)
	}
	if outcome == duty.Fenced {
		h.mu.Lock()
		h.lease.End(p.Token)
		h.mu.Unlock()
	}
	h.metrics.GetOrCreateCounter(fmt.Sprintf("walnutramp_duty_calls_total{outcome=%q}", outcome)).Inc()
	klog.InfoS("Duty call", "subject", c.Subject, "content", c.Content[:min(len(c.Content), loggedContent)], "token", p.Token, "outcome", outcome, "ms", uptime.Since(sent).Milliseconds())
	return outcome
}

// note takes what came of a call.
func (h *DutyHolder) note(c duty.Call, p duty.Permission, o duty.Outcome, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate.Note(c, p, o, sent, uptime.Now())
}

// resolve says what a Conflict was. While a majority says that this member
// leads and its grants are the newest, nobody has had a higher token, so the
// call was rejected for what it asked.
func (h *DutyHolder) resolve(ctx context.Context, p duty.Permission) duty.Outcome {
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
