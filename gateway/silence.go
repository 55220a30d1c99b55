package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
)

// errTargetUnresponsive cancels a run without a first event whose target no longer
// answers other requests.
var errTargetUnresponsive = errors.New("target stopped answering other requests")

// isTimeout reports whether err is a network timeout, as from a target that lost power
// or is partitioned.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, context.DeadlineExceeded)
}

// pendingRuns are the runs without a first event. An unresponsive target can't be told
// from a slow prefill by the run itself, only by the failures of other requests there.
type pendingRuns struct {
	mu   sync.Mutex
	runs map[*pendingRun]struct{}
}

// pendingRun is a run that waits for its first event.
type pendingRun struct {
	set         *pendingRuns
	target      *balance.Target
	fingerprint quarantine.Fingerprint
	replacement *replacement
	began       time.Time
	cancel      context.CancelCauseFunc
	sent        atomic.Bool // the request is on its way to the target
}

// watchSending sets sent as soon as a request is sent.
func (r *pendingRun) watchSending(request *targetconn.Request) {
	charge := request.Gate
	request.Gate = func() error {
		if err := charge(); err != nil {
			return err
		}
		r.sent.Store(true)
		return nil
	}
}

func (p *pendingRuns) add(c *call, t *balance.Target, replacement *replacement, cancel context.CancelCauseFunc) *pendingRun {
	r := &pendingRun{set: p, target: t, fingerprint: c.fingerprint, replacement: replacement, began: uptime.Now(), cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[r] = struct{}{}
	return r
}

// drop removes a run that has produced its first event or ended; false if it was removed
// before.
func (r *pendingRun) drop() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	_, pending := r.set.runs[r]
	delete(r.set.runs, r)
	return pending
}

// cancelUnresponsive cancels the runs whose targets have stopped answering since the
// runs began.
func (p *pendingRuns) cancelUnresponsive() {
	p.cancelWhere(errTargetUnresponsive, func(r *pendingRun) bool {
		return !r.replacement.ingressEndsUnbegun && r.target.UnresponsiveSince(r.began) && r.replacement.reserve(context.Background(), false)
	})
}

// cancelQuarantined cancels the runs of a request that has just been quarantined, before
// they crash their targets as well.
func (p *pendingRuns) cancelQuarantined(content quarantine.Fingerprint) {
	p.cancelWhere(errQuarantined, func(r *pendingRun) bool { return r.fingerprint == content })
}

// cancelWhere cancels the matching runs with the given cause. It does not hold the mutex
// while it calls matches, which may ask other nodes.
func (p *pendingRuns) cancelWhere(cause error, matches func(*pendingRun) bool) {
	p.mu.Lock()
	runs := slices.Collect(maps.Keys(p.runs))
	p.mu.Unlock()
	for _, r := range runs {
		switch {
		case !matches(r):
		case r.drop():
			r.cancel(cause)
		default:
			r.replacement.releasePlace()
		}
	}
}
