package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Some targets keep working on a request after its connection has closed. While the stream goes
// on at another target, that would waste a slot and memory. So the target of an abandoned run is
// ordered to stop it, if the stream may be resumed. The next run does not wait for the answer, as
// a silent target gives none.

const (
	// stopTimeout bounds the attempts to stop a run. A frozen target obeys an order once it
	// resumes, if the connection is still open.
	stopTimeout = 5 * time.Second
	// minStopRetry and maxStopRetry bound the wait before an order is repeated, which doubles.
	minStopRetry = 50 * time.Millisecond
	maxStopRetry = 2 * time.Second
	// stopWithin is the time in which a run must end once its stream goes on elsewhere.
	stopWithin = 400 * time.Millisecond
	// unbegunStopRetry is the wait within stopWithin for a run that the target does not know,
	// but may begin later. It does not double: a run that begins between two orders still has
	// to end in time.
	unbegunStopRetry = 125 * time.Millisecond
	// lateStopRetry is the least such wait after that. Each order takes a connection that has
	// not just had another one, or opens one.
	lateStopRetry = time.Second
	// maxStopOrders bounds the runs that are being stopped at a time, for the memory that
	// they take when many targets are lost at once.
	maxStopOrders = 512
	// stopReleaseDelay is the wait before the copy of a stopped run is released. The next run
	// may resume from a copy that grew with the run, and a target may keep both as one.
	stopReleaseDelay = 500 * time.Millisecond
	// stopPollInterval is how often AwaitStopOrders looks for orders.
	stopPollInterval = 2 * time.Millisecond
)

// stopResult says what became of the order to stop a run. Its value is a metric label.
type stopResult string

// Results of an order.
const (
	stopDone        stopResult = "stopped"     // the target was working on the run
	stopNotRunning  stopResult = "not-running" // it was not
	stopTargetEnded stopResult = "ended"       // its address refuses connections
	stopUnsupported stopResult = "unsupported" // it does not take the order
	stopBusy        stopResult = "busy"        // it carries out another order for the run
	stopUnanswered  stopResult = "unanswered"  // it could not be asked, or did not answer
	stopDropped     stopResult = "dropped"     // it was not asked: too many orders are under way
)

// stopOrder is the order to stop one abandoned run.
type stopOrder struct {
	gateway *Gateway
	request string
	target  *balance.Target
	holder  *balance.Target // receives the copy that the order makes; nil if none is known yet
	// deadline is that of the request, at which the target ends the run itself.
	deadline time.Time
	// unbegun says that the run has brought no event and is replaced: a target may only know
	// it later.
	unbegun bool
	copy    string // handle of the copy from which the stream may resume; empty for none
}

// AwaitStopOrders waits until the orders to stop abandoned runs are answered or ctx ends.
func (g *Gateway) AwaitStopOrders(ctx context.Context) {
	for g.stopOrders.Load() > 0 && pause.For(ctx, stopPollInterval) {
	}
}

// stop orders the target to stop the run, if it takes such orders and the stream may go on
// elsewhere. Replaced says that this node, or its ingress, goes on with it.
func (k *runCopy) stop(replaced bool) {
	g, c := k.relay.gateway, k.relay.call
	if g.cfg.Names.CopyOrders.Stop == nil || !c.settings.CopyOrders || !c.resumable() {
		return
	}
	if !uptime.Now().Before(c.deadline) {
		return
	}
	o := &stopOrder{gateway: g, request: c.id, target: k.target, deadline: c.deadline, unbegun: replaced && k.relay.events == 0}
	o.holder, o.copy = k.copyAndHandle()
	if g.stopOrders.Load() >= maxStopOrders {
		o.record(stopDropped, 0, 0)
		return
	}
	g.stopOrders.Add(1)
	go func() {
		defer g.stopOrders.Add(-1)
		o.run()
	}()
}

// copyAndHandle returns the holder of the run's copy, and the handle of the copy if that was
// ordered; nil if there is no copy.
func (k *runCopy) copyAndHandle() (holder *balance.Target, handle string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.copy == nil {
		return nil, ""
	}
	return k.copy.holder, k.handle
}

// chooseHolder sets the target to receive the copy that the order makes: that of the run's copy,
// which lacks the least, else any other target. It returns false if none is known.
func (o *stopOrder) chooseHolder() bool {
	if o.holder != nil {
		return true
	}
	for _, t := range o.gateway.targets.DialTargets(o.target.Service, 2) {
		if t != o.target {
			o.holder = t
			return true
		}
	}
	return false
}

// run repeats the order until its result is final, stopTimeout has passed or the request has
// reached its deadline.
func (o *stopOrder) run() {
	ctx, cancel := context.WithTimeout(o.gateway.ctx, min(stopTimeout, uptime.Until(o.deadline)))
	defer cancel()
	began := uptime.Now()
	backoff := stopBackoff{wait: minStopRetry}
	for tries := 1; ; tries++ {
		result, handle := o.send(ctx)
		if o.isFinal(result) || !pause.For(ctx, backoff.next(result, uptime.Since(began))) {
			o.record(result, tries, uptime.Since(began))
			if handle != "" && handle != o.copy {
				time.AfterFunc(stopReleaseDelay, func() { o.gateway.releaseCopy(o.target, handle) })
			}
			return
		}
	}
}

// stopBackoff paces the repeats of an order.
type stopBackoff struct {
	wait time.Duration
}

// next returns the wait before the next order, from the result of the last one and the time
// since the first.
func (b *stopBackoff) next(result stopResult, since time.Duration) time.Duration {
	if result == stopNotRunning {
		if since < stopWithin-unbegunStopRetry {
			return unbegunStopRetry
		}
		b.wait = max(b.wait, lateStopRetry)
	}
	wait := b.wait
	b.wait = min(2*wait, maxStopRetry)
	return wait
}

// isFinal reports whether the order need not be repeated after a result.
func (o *stopOrder) isFinal(result stopResult) bool {
	switch result {
	case stopBusy, stopUnanswered:
		return false
	case stopNotRunning: // at a target with a rate limit, repeats would take permits from requests
		return !o.unbegun || o.gateway.cfg.Limits.Notice(o.target.Incarnation()).Limited()
	}
	return true
}

// send sends the order once. It returns the handle of the copy that it made, empty for none.
func (o *stopOrder) send(ctx context.Context) (result stopResult, handle string) {
	if !o.chooseHolder() {
		return stopUnanswered, ""
	}
	orders := &o.gateway.cfg.Names.CopyOrders
	answer, err := o.gateway.callTarget(ctx, o.target, purposeStop, orders.Stop(o.request, o.holder.Address))
	var status orderStatusError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return stopTargetEnded, ""
	case err != nil && !errors.As(err, &status):
		return stopUnanswered, ""
	}
	switch status {
	case http.StatusNotFound:
		return stopNotRunning, ""
	case http.StatusConflict:
		return stopBusy, ""
	case http.StatusTooManyRequests:
		return stopUnanswered, ""
	case 0, http.StatusServiceUnavailable: // with a handle, the run has stopped but is not copied
		handle, err = orders.ParseHandle(answer)
		if err == nil || status == 0 {
			return stopDone, handle
		}
		return stopUnanswered, ""
	}
	return stopUnsupported, ""
}

func (o *stopOrder) record(result stopResult, tries int, took time.Duration) {
	o.gateway.counters.runStopped(result)
	klog.InfoS("Run ordered to stop", "request", o.request, "target", o.target.ID, "result", result, "orders", tries, "ms", took.Milliseconds())
}
