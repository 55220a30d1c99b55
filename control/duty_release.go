package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

const (
	// minTransferDelay is how long the platform may be unresponsive before leadership
	// is transferred, if no other node has released the duty for that reason.
	minTransferDelay = 4 * time.Second
	// maxTransferDelay bounds the delay when several members could not reach the
	// platform: it is probably down, and each transfer costs a leader change.
	maxTransferDelay  = 64 * time.Second
	drainPollInterval = 10 * time.Millisecond
	drainTimeout      = callTimeout + 500*time.Millisecond // wait for calls in flight before a release
)

// Release releases the duty permanently, before a planned stop, and transfers
// leadership if possible. The next holder then need not wait for an election. It waits
// for the lease to expire only if a call may still take effect or if its node held the
// duty recently; see duty.Record. If this member does not lead, or if ctx is done first,
// nothing is released.
func (h *DutyHolder) Release(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	select {
	case h.stepLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.stepLock }()
	if !h.group.Leads() {
		return
	}
	h.release(ctx, false)
	h.logState()
	if h.transfer != nil {
		h.transfer.TransferLeadership(ctx)
	}
}

// release waits for calls in flight and commits the release of the duty. The caller
// holds stepLock and has stopped new calls.
func (h *DutyHolder) release(ctx context.Context, unreachable bool) {
	idle := h.drain(ctx)
	h.mu.Lock()
	granted, token := h.lease.Granted(), h.lease.Record().Token
	h.lease.End(token)
	pending := !idle || h.gate.Pending(uptime.Now(), h.cfg.Lease)
	h.mu.Unlock()
	if !granted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ok := h.group.Commit(ctx, Command{Release: &duty.Release{Token: token, Pending: pending, Unreachable: unreachable}})
	klog.InfoS("Duty released", "token", token, "pending", pending, "unreachable", unreachable, "agreed", ok)
}

// drain waits until no call is in flight, for at most drainTimeout, and reports whether
// that was achieved. It leaves half of the time until ctx's deadline for committing the
// release.
func (h *DutyHolder) drain(ctx context.Context) bool {
	limit := drainTimeout
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for h.callsInFlight() > 0 {
		if !pause.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

func (h *DutyHolder) callsInFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inFlight)
}

// platformUnresponsive returns after how long without answers of the platform leadership
// is transferred, and how long it has not answered. The delay doubles with each node that released
// the duty because the platform was unreachable, so that leadership does not
// keep moving during a platform outage.
func (h *DutyHolder) platformUnresponsive() (transferDelay, unresponsive time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	transferDelay = minTransferDelay
	for range h.lease.Record().Unreachable {
		transferDelay = min(2*transferDelay, maxTransferDelay)
	}
	return transferDelay, h.gate.Unresponsive(uptime.Now())
}

// transferLeadership releases the duty and transfers leadership, since this
// member can't reach the platform while it reaches a majority of the group. h.transfer
// must not be nil.
func (h *DutyHolder) transferLeadership(ctx context.Context, unresponsive time.Duration) {
	h.setDraining(true)
	defer h.setDraining(false)
	h.release(ctx, true)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	ok := h.transfer.TransferLeadership(ctx)
	klog.InfoS("Platform unresponsive, transferring leadership", "silent_ms", unresponsive.Milliseconds(), "handedOver", ok)
}

// setDraining stops new calls, or allows them again. Both clear the record of the
// platform's answers.
func (h *DutyHolder) setDraining(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = on
	h.gate.ForgetAnswers()
}
