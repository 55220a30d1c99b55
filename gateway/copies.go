package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Engines keep copies of runs' memory at each other, so that a run whose engine
// is lost goes on within milliseconds. The copy is asked for with the request,
// and grows with the run. Where its holder is lost before the run has ended,
// the run's engine is ordered to copy it anew.

// Bounds of ordered copies.
const (
	// copyWatch is the shortest time between two looks at a run's copy: a
	// holder is found lost some tens of milliseconds after it was.
	copyWatch = 100 * time.Millisecond
	// copyRetry is the wait after an order that brought no copy, or where no
	// target had room for one.
	copyRetry = 500 * time.Millisecond
	// copyOrderTime bounds an order: a prompt is copied in some 100 ms, and
	// waits behind others.
	copyOrderTime = 2 * time.Second
	// copyRenewShare is the part of an ordered copy's life after which it is
	// ordered again; what is new since then is copied.
	copyRenewShare = 0.5
	// longestCopyAnswer bounds the answer to an order, in bytes.
	longestCopyAnswer = 4 << 10
)

// CopyOrders are the calls by which engines are ordered to copy runs.
type CopyOrders struct {
	// Make orders a run's target to copy its memory to a holder.
	Make func(run, holder string) TargetCall
	// Made reads the answer: the name of the copy at the run's target.
	Made func(answer []byte) (handle string, err error)
	// Release gives up a copy at the run's target, and at its holder.
	Release func(handle string) TargetCall
}

// TargetCall is a call to a target that is no client's request.
type TargetCall struct {
	Method string
	URI    string
	Body   []byte
}

// copyOf names the memory of a run at another target.
type copyOf struct {
	at   *balance.Target
	name string // by which the holder is told to go on from it
}

// runCopy is the copy of one run under way.
type runCopy struct {
	relay  *relay
	target *balance.Target // where the run is
	run    *balance.Run

	mu      sync.Mutex
	copy    *copyOf // nil for none
	handle  string  // of an ordered copy
	ordered bool    // an order is under way
	next    time.Time
	renew   time.Time // zero for a copy that grows by itself
}

// askForCopy asks for a copy of the run at another target, and names the copy
// that the run goes on from. It returns the new copy, nil for none.
func (r *relay) askForCopy(request *targetconn.Request, t *balance.Target, from *copyOf) *copyOf {
	g, c := r.gateway, r.call
	n := &g.cfg.Names
	if from != nil {
		request.Header.Set(n.CopyFrom, from.name)
		g.counters.copies.Inc()
	}
	if !g.cfg.Copies || n.CopyHandle == nil || !c.engine.Copies || !c.route.Resume {
		return nil
	}
	holder := r.pickHolder(t)
	if holder == nil {
		return nil
	}
	request.Header.Set(n.CopyTo, holder.Address)
	return &copyOf{at: holder, name: n.CopyHandle(holder.Address, c.id)}
}

// pickHolder picks a target to keep a copy of a run at another one, or nil. The
// spot targets of a data hall are taken away together, so none of them keeps
// copies for another.
func (r *relay) pickHolder(t *balance.Target) *balance.Target {
	c := r.call
	holder := r.gateway.targets.Pick(balance.Choice{
		Service: c.service, OtherHall: t.DataHall, Copy: true, Work: balance.Work{Hold: c.work.Hold},
		Exclude: func(o *balance.Target) bool {
			reclaimed := t.Spot && o.Spot && o.DataHall == t.DataHall
			return o == t || c.tried[o] || o.Version != t.Version || reclaimed
		},
	})
	r.gateway.noteCopyRegion(t, holder)
	return holder
}

// watch looks after the run's copy, at most once in a while: where its holder
// is lost, or an ordered copy grows old, one is ordered.
func (k *runCopy) watch(ctx context.Context) {
	g, c := k.relay.gateway, k.relay.call
	if g.cfg.Names.CopyOrders.Make == nil || !g.cfg.Copies || !c.engine.CopyOrders || !c.route.Resume {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := uptime.Now()
	if k.ordered || now.Before(k.next) {
		return
	}
	holder := k.nextHolder(now)
	if holder == nil {
		return
	}
	k.ordered = true
	go k.order(ctx, holder)
}

// nextHolder returns the target that a copy is to be ordered at now, nil for
// none, and sets when to look again. The caller holds the mutex.
func (k *runCopy) nextHolder(now time.Time) *balance.Target {
	k.next = now.Add(copyWatch)
	if k.copy != nil && !k.copy.at.Lost() {
		if k.renew.IsZero() || now.Before(k.renew) {
			return nil
		}
		return k.copy.at
	}
	k.copy, k.renew = nil, time.Time{}
	holder := k.relay.pickHolder(k.target)
	if holder == nil {
		k.next = now.Add(copyRetry) // no room, which does not come soon
	}
	return holder
}

// order has the run's engine copy it, and takes the copy.
func (k *runCopy) order(ctx context.Context, holder *balance.Target) {
	g, c := k.relay.gateway, k.relay.call
	ctx, cancel := context.WithTimeout(ctx, copyOrderTime)
	defer cancel()
	answer, err := g.callTarget(ctx, k.target, g.cfg.Names.CopyOrders.Make(c.id, holder.Address))
	handle := ""
	if err == nil {
		handle, err = g.cfg.Names.CopyOrders.Made(answer)
	}
	klog.InfoS("Copy ordered", "request", c.id, "target", k.target.ID, "at", holder.ID, "handle", handle, "err", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordered = false
	if err != nil {
		k.next = uptime.Now().Add(copyRetry)
		return // a copy that was to be renewed may live for a while
	}
	k.copy = &copyOf{at: holder, name: g.cfg.Names.CopyHandle(k.target.Address, handle)}
	k.handle = handle
	k.renew = uptime.Now().Add(time.Duration(copyRenewShare * float64(c.engine.CopyLife)))
	k.run.SetCopy(holder.Life(), k.copy.name)
	g.counters.ordered.Inc()
}

// end returns the copy that a broken run goes on from, and gives up an ordered
// copy that is not needed any more.
func (k *runCopy) end(end ending) *copyOf {
	k.mu.Lock()
	defer k.mu.Unlock()
	if end == endBroken {
		return k.copy
	}
	if k.handle != "" {
		go k.release(k.handle)
	}
	return nil
}

func (k *runCopy) release(handle string) {
	g := k.relay.gateway
	ctx, cancel := context.WithTimeout(context.Background(), copyOrderTime)
	defer cancel()
	if _, err := g.callTarget(ctx, k.target, g.cfg.Names.CopyOrders.Release(handle)); err != nil {
		klog.V(1).InfoS("Copy not given up: it ends by itself", "target", k.target.ID, "handle", handle, "err", err)
	}
}

// callTarget sends a call that is no client's request, and returns its answer.
func (g *Gateway) callTarget(ctx context.Context, t *balance.Target, o TargetCall) ([]byte, error) {
	h := http.Header{}
	if len(o.Body) > 0 {
		h.Set("Content-Type", "application/json")
	}
	answer, err := g.ask(ctx, t, purposeCopy, &targetconn.Request{
		Method: o.Method, URI: o.URI, Host: t.Address, Header: h, Body: o.Body, HasBody: len(o.Body) > 0,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, longestCopyAnswer))
	if err == nil && answer.Status != http.StatusOK {
		err = errors.Newf("status %d", answer.Status)
	}
	return body, err
}
