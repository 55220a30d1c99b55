package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// dialScan bounds the targets of a data hall that are looked through for one to dial.
const dialScan = 8

// DialTargets returns up to n targets of a service with which to find out whether this node
// has a path to them, of as many data halls as possible. Those that are likely to have
// ended come last.
func (t *Tracker) DialTargets(service string, n int) []*Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	p := t.poolOf(service)
	chosen, doubtful := make([]*Target, 0, n), []*Target(nil)
	seen := map[*Target]bool{}
	for round := 0; round < n && len(chosen) < n; round++ {
		for _, i := range t.rng.Perm(len(p.ordered)) {
			target := t.dialTarget(p.ordered[i], seen, now)
			switch {
			case target == nil:
			case target.doubtful(now):
				doubtful = append(doubtful, target)
			case len(chosen) < n:
				chosen = append(chosen, target)
			}
		}
	}
	return append(chosen, doubtful[:min(n-len(chosen), len(doubtful))]...)
}

// dialTarget returns a target of a data hall that is not in seen, and adds it; nil if there
// is none. The caller holds the mutex.
func (t *Tracker) dialTarget(h *hallPool, seen map[*Target]bool, now time.Time) (best *Target) {
	if len(h.ring) == 0 {
		return nil
	}
	start := t.rng.IntN(len(h.ring))
	for i := range min(dialScan, len(h.ring)) {
		target := h.ring[(start+i)%len(h.ring)].target
		if seen[target] || target.ended {
			continue
		}
		best = target
		if !target.doubtful(now) {
			break
		}
	}
	if best != nil {
		seen[best] = true
	}
	return best
}

// doubtful reports whether the target may have ended. The caller holds the mutex.
func (t *Target) doubtful(now time.Time) bool {
	return !t.accepting(now) || t.suspect(now)
}

// Target returns the listed target of an incarnation, or nil.
func (t *Tracker) Target(incarnation string) *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byIncarnation[incarnation]
}

// ForgetFailures forgets the failures of a service's targets since a time, which were this
// node's own: its path to them was lost.
func (t *Tracker) ForgetFailures(service string, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.poolOf(service).all() {
		if target.failedAt.Before(since) {
			continue
		}
		target.consecutiveFailures = 0
		target.backoffUntil, target.failedAt, target.refusedAt = time.Time{}, time.Time{}, time.Time{}
		target.ownUnresponsiveAt, target.unreachableAt = time.Time{}, time.Time{}
	}
}
