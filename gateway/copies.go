package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Engines replicate the KV cache of a run to another engine, so that the run can resume
// there without a prefill. The copy is requested with the run and grows with it. If
// its holder is lost before the run ends, the run's engine is ordered to copy it again.

// Limits of ordered copies.
const (
	// copyCheckInterval is the minimum time between two checks of a run's copy.
	copyCheckInterval = 100 * time.Millisecond
	// copyRetryInterval is the wait after an order that failed, or when no target
	// had room for a copy.
	copyRetryInterval = 500 * time.Millisecond
	// copyOrderTimeout bounds one order; the copy of a prompt takes some 100 ms, and
	// copies of long prompts queue behind others.
	copyOrderTimeout = 2 * time.Second
	// copyRenewShare is the fraction of an ordered copy's lifetime after which it is
	// ordered again; only what was added since is transferred.
	copyRenewShare = 0.5
	// maxCopyAnswer bounds the answer to an order, in bytes.
	maxCopyAnswer = 4 << 10
)

// CopyOrders builds the calls that order engines to copy the KV cache of a run.
type CopyOrders struct {
	// Make orders a run's target to copy the run's KV cache to a holder, from the ID of
	// the client request and the address of the holder.
	Make func(run, holder string) TargetCall
	// Stop is Make for a run that is to stop first; it is not copied if the holder has no
	// room. If Stop is nil, targets accept no such orders.
	Stop func(run, holder string) TargetCall
	// ParseHandle parses the answer: the handle of the copy at the run's target, also that
	// of a stopped run that was not copied.
	ParseHandle func(answer []byte) (handle string, err error)
	// Release deletes a copy at the run's target and at its holder.
	Release func(handle string) TargetCall
}

// TargetCall is a call to a target that does not originate from a client.
type TargetCall struct {
	Method string
	URI    string
	Body   []byte
}

// kvCopy identifies the KV cache of a run at another target.
type kvCopy struct {
	holder *balance.Target
	name   string // passed to the holder to resume from the copy
}

// runCopy manages the KV-cache copy of one active run.
type runCopy struct {
	relay  *relay
	target *balance.Target // that executes the run
	run    *balance.Run
	open   bool // the target may run it and has sent no complete answer; for the relay's goroutine

	mu        sync.Mutex
	copy      *kvCopy // nil if there is none
	handle    string  // of an ordered copy
	ordering  bool    // an order is in flight
	ended     bool    // the run has ended
	nextCheck time.Time
	renewAt   time.Time // zero for a copy that grows with the run
}

// findCopy returns the copy of the stream that a client takes up, or nil. If the client names
// no attempt, the copy's stream becomes that of the call; without a copy, a stream that
// begins with this attempt does.
func (g *Gateway) findCopy(c *call) (found *kvCopy) {
	if at, trace := g.targets.FindCopy(c.stream); at != nil {
		klog.InfoS("Client comes again, a copy is known", "request", c.id, "copy", trace.CopyName, "at", at.ID, "last", c.lastID)
		c.stream = trace.Stream
		found = &kvCopy{holder: at, name: trace.CopyName}
	}
	if c.stream.Attempt == 0 {
		c.stream.Attempt = uint64(origins.AttemptOf(c.account.Name, c.id))
	}
	return found
}

// requestCopy sets the headers that resume from a copy and that request a new one at
// another target. It returns the new copy, nil for none.
func (r *relay) requestCopy(request *targetconn.Request, t *balance.Target, from *kvCopy) *kvCopy {
	g, c := r.gateway, r.call
	n := &g.cfg.Names
	if from != nil {
		request.Header.Set(n.CopyFrom, from.name)
		g.counters.copyResumes.Inc()
	}
	if !g.cfg.Copies || n.CopyHandle == nil || !c.settings.Copies || !c.route.Resume {
		return nil
	}
	holder := r.pickHolder(t)
	if holder == nil {
		return nil
	}
	request.Header.Set(n.CopyTo, holder.Address)
	return &kvCopy{holder: holder, name: n.CopyHandle(holder.Address, c.id)}
}

// pickHolder returns a target to hold a copy of a run at t, or nil. Spot targets of
// one data hall are reclaimed together, so they hold no copies for each other.
func (r *relay) pickHolder(t *balance.Target) *balance.Target {
	c := r.call
	holder := r.gateway.targets.Pick(balance.Choice{
		Service: c.service, AvoidHall: t.DataHall, Copy: true, Work: balance.Work{MemoryTokens: c.work.MemoryTokens},
		Exclude: func(o *balance.Target) bool {
			reclaimed := t.Spot && o.Spot && o.DataHall == t.DataHall
			return o == t || c.tried[o] || o.Version != t.Version || reclaimed
		},
	})
	r.gateway.recordCopyRegion(t, holder)
	return holder
}

// maintain orders a new copy if the holder is lost or an ordered copy is due for
// renewal. It checks at most once per copyCheckInterval.
func (k *runCopy) maintain(ctx context.Context) {
	g, c := k.relay.gateway, k.relay.call
	if g.cfg.Names.CopyOrders.Make == nil || !g.cfg.Copies || !c.settings.CopyOrders || !c.route.Resume {
		return
	}
	if g.cfg.InFlight.Bounded(c.service) {
		return // an order that finds no room is a rejection
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := uptime.Now()
	if k.ordering || now.Before(k.nextCheck) {
		return
	}
	holder := k.nextHolder(now)
	if holder == nil {
		return
	}
	k.ordering = true
	go k.order(ctx, holder)
}

// nextHolder returns the target at which a copy is due, nil for none, and schedules
// the next check. The caller holds the mutex.
func (k *runCopy) nextHolder(now time.Time) *balance.Target {
	k.nextCheck = now.Add(copyCheckInterval)
	if k.copy != nil && !k.copy.holder.Lost() {
		if k.renewAt.IsZero() || now.Before(k.renewAt) {
			return nil
		}
		return k.copy.holder
	}
	k.copy, k.renewAt = nil, time.Time{}
	holder := k.relay.pickHolder(k.target)
	if holder == nil {
		k.nextCheck = now.Add(copyRetryInterval) // capacity rarely frees up sooner
	}
	return holder
}

// order orders the run's engine to copy the run to holder, and records the copy.
func (k *runCopy) order(ctx context.Context, holder *balance.Target) {
	g, c := k.relay.gateway, k.relay.call
	ctx, cancel := context.WithTimeout(ctx, copyOrderTimeout)
	defer cancel()
	answer, err := g.callTarget(ctx, k.target, purposeCopy, g.cfg.Names.CopyOrders.Make(c.id, holder.Address))
	handle := ""
	if err == nil {
		handle, err = g.cfg.Names.CopyOrders.ParseHandle(answer)
	}
	klog.InfoS("KV-cache copy ordered", "request", c.id, "target", k.target.ID, "at", holder.ID, "handle", handle, "err", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordering = false
	if err != nil {
		k.nextCheck = uptime.Now().Add(copyRetryInterval)
		return // a copy due for renewal stays usable until it expires
	}
	if k.ended {
		go g.releaseCopy(k.target, handle)
		return
	}
	k.copy = &kvCopy{holder: holder, name: g.cfg.Names.CopyHandle(k.target.Address, handle)}
	k.handle = handle
	k.renewAt = uptime.Now().Add(time.Duration(copyRenewShare * float64(c.settings.CopyLife)))
	k.run.SetCopy(holder.Incarnation(), k.copy.name)
	g.counters.copiesOrdered.Inc()
}

// end returns the copy from which a failed run resumes, or else releases an ordered
// copy.
func (k *runCopy) end(end runResult) *kvCopy {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	if end == runFailed {
		return k.copy
	}
	if k.handle != "" {
		go k.relay.gateway.releaseCopy(k.target, k.handle)
	}
	return nil
}

// releaseCopy deletes the copy of a run at its target and at the copy's holder.
func (g *Gateway) releaseCopy(t *balance.Target, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), copyOrderTimeout)
	defer cancel()
	if _, err := g.callTarget(ctx, t, purposeCopy, g.cfg.Names.CopyOrders.Release(handle)); err != nil {
		klog.V(1).InfoS("Copy not released; it expires at its holder", "target", t.ID, "handle", handle, "err", err)
	}
}

// orderStatusError is the status with which a target answers an order that it has not
// carried out, or not whole.
type orderStatusError int

// Error implements the error interface.
func (e orderStatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// callTarget sends a call that does not originate from a client, and returns its answer. The
// error is an orderStatusError if the status is not 200.
func (g *Gateway) callTarget(ctx context.Context, t *balance.Target, p purpose, o TargetCall) ([]byte, error) {
	h := http.Header{}
	if len(o.Body) > 0 {
		h.Set("Content-Type", "application/json")
	}
	permit, denial := g.cfg.Limits.Acquire(ctx, ratelimit.Request{Target: t.Incarnation()})
	if denial != nil {
		g.counters.notSent(p)
		return nil, errRateLimited
	}
	have := &grants{permit: permit}
	defer g.cfg.Limits.Return(&have.permit)
	answer, err := g.send(ctx, t, p, have, &targetconn.Request{
		Method: o.Method, URI: o.URI, Host: t.Address, Header: h, Body: o.Body, HasBody: len(o.Body) > 0,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxCopyAnswer))
	if err == nil && answer.Status != http.StatusOK {
		err = orderStatusError(answer.Status)
	}
	return body, err
}
