package control

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Times of giving the duty up.
const (
	// silentPatience is for how long the platform may be silent to the first
	// holder before the duty moves: a restart of the platform moves nothing.
	silentPatience = 4 * time.Second
	// mostPatience bounds it where several have tried in vain: the platform is
	// down for all, and each move costs a change of leader.
	mostPatience = 64 * time.Second
	drainEvery   = 10 * time.Millisecond            // between two looks for calls under way
	drainLimit   = callLimit + 500*time.Millisecond // for calls under way, before the duty is released
)

// Release gives the duty up for good, as before a planned stop, and makes
// another member the leader where that can be done: the next holder need wait
// neither for the lease to end nor for an election.
func (h *DutyHolder) Release(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	select {
	case h.steps <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.steps }()
	if !h.group.Leads() {
		return
	}
	h.release(ctx, false)
	h.logChange()
	if h.transfer != nil {
		h.transfer.HandOver(ctx)
	}
}

// release waits for the calls under way and has the group note that none comes
// from this process any more. The caller holds steps and has ended the beginning
// of calls.
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
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	ok := h.group.Agree(ctx, Command{Release: &duty.Release{Token: token, Pending: pending, Unreachable: unreachable}})
	klog.InfoS("Duty released", "token", token, "pending", pending, "unreachable", unreachable, "agreed", ok)
}

// drain waits until no call is under way. Half of the time that the caller has
// is left for the word to the group.
func (h *DutyHolder) drain(ctx context.Context) bool {
	limit := drainLimit
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for h.underWay() > 0 {
		if !pause.For(ctx, drainEvery) {
			return false
		}
	}
	return true
}

func (h *DutyHolder) underWay() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.busy)
}

// silence returns for how long the platform has not answered, and after how
// long the duty moves. The patience doubles with each node that gave the
// duty up in vain, so that leadership does not wander while the platform is
// down for all.
func (h *DutyHolder) silence() (patience, silent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	patience = silentPatience
	for range h.lease.Record().Unreachable {
		patience = min(2*patience, mostPatience)
	}
	return patience, h.gate.Silent(uptime.Now())
}

// handOver makes another member the leader, as this one can't reach the
// platform while a majority of the group hears it.
func (h *DutyHolder) handOver(ctx context.Context, silent time.Duration) {
	h.setDraining(true)
	defer h.setDraining(false)
	h.release(ctx, true)
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	ok := h.transfer.HandOver(ctx)
	klog.InfoS("Platform is silent, leadership handed over", "silent_ms", silent.Milliseconds(), "handedOver", ok)
}

func (h *DutyHolder) setDraining(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = on
	h.gate.ForgetAnswers()
}
