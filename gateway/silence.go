package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
)

// errTargetSilent is why a run that has not begun is given up when its target
// has fallen silent to others.
var errTargetSilent = errors.New("the target has fallen silent to others")

// silence reports whether an error says that a target no longer answers
// anything, as one without power or behind a cut.
func silence(err error) bool {
	var timeout net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.As(err, &timeout) && timeout.Timeout() && !errors.Is(err, context.DeadlineExceeded)
}

// pendingRuns are the runs without a first event. Nothing tells them from
// runs at a target that has lost power, but for what befalls others there.
type pendingRuns struct {
	mu   sync.Mutex
	runs map[*pendingRun]struct{}
}

// pendingRun is a run that waits for its first event.
type pendingRun struct {
	set    *pendingRuns
	target *balance.Target
	began  time.Time
	cancel context.CancelCauseFunc
}

// add notes a run that begins; one that may not move is not given up.
func (u *pendingRuns) add(t *balance.Target, cancel context.CancelCauseFunc, mayMove bool) *pendingRun {
	r := &pendingRun{set: u, target: t, began: time.Now(), cancel: cancel}
	if mayMove {
		u.mu.Lock()
		u.runs[r] = struct{}{}
		u.mu.Unlock()
	}
	return r
}

// drop forgets a run that has begun or ended.
func (r *pendingRun) drop() {
	r.set.mu.Lock()
	delete(r.set.runs, r)
	r.set.mu.Unlock()
}

// moveFromSilent gives up the runs whose targets have fallen silent since the
// runs began.
func (u *pendingRuns) moveFromSilent() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r := range u.runs {
		if r.target.SilentSince(r.began) {
			delete(u.runs, r)
			r.cancel(errTargetSilent)
		}
	}
}
