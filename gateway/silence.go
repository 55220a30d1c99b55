package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
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
	set     *pendingRuns
	target  *balance.Target
	content quarantine.Fingerprint
	mayMove bool // to another target
	began   time.Time
	cancel  context.CancelCauseFunc
}

// add notes a run that begins.
func (u *pendingRuns) add(c *call, t *balance.Target, cancel context.CancelCauseFunc) *pendingRun {
	r := &pendingRun{set: u, target: t, content: c.content, mayMove: c.mayMove(), began: uptime.Now(), cancel: cancel}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r] = struct{}{}
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
	u.end(errTargetSilent, func(r *pendingRun) bool { return r.mayMove && r.target.SilentSince(r.began) })
}

// giveUp gives up the runs of a content that is held back from now on, before
// they end their targets, too.
func (u *pendingRuns) giveUp(content quarantine.Fingerprint) {
	u.end(errHeldBack, func(r *pendingRun) bool { return r.content == content })
}

// end gives up the runs that are to end, for a cause.
func (u *pendingRuns) end(cause error, ends func(*pendingRun) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for r := range u.runs {
		if ends(r) {
			delete(u.runs, r)
			r.cancel(cause)
		}
	}
}
