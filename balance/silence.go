package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A target that loses power or network does not answer at all. Runs that receive events
// detect this within half a second; runs waiting for their first event, and other
// nodes, do not. So nodes report unresponsive targets to each other.

// OnUnresponsive sets the function called when a target becomes unresponsive.
func (t *Tracker) OnUnresponsive(f func()) { t.onUnresponsive = f }

// RecordUnresponsive records that the target does not answer, and implies RecordFailure.
// unreachable says that the target answers nothing at all; otherwise the run may only have
// been preempted.
func (t *Target) RecordUnresponsive(unreachable bool) {
	t.tracker.mu.Lock()
	t.addUnresponsive()
	t.ownUnresponsiveAt = uptime.Now()
	t.unresponsiveAt = t.ownUnresponsiveAt
	if unreachable {
		t.unreachableAt = t.ownUnresponsiveAt
	}
	t.addFailure(unreachable)
	t.tracker.mu.Unlock()
	t.tracker.onChange()
	t.tracker.onUnresponsive()
}

// UnresponsiveTargets returns the incarnations that recently became unresponsive to this
// node, unless its own path to them is in doubt.
func (t *Tracker) UnresponsiveTargets() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var incarnations []string
	t.eachRecentlyFailed(now, func(target *Target) {
		if now.Sub(target.ownUnresponsiveAt) < hallSuspectWindow && target.confirmedFailure() {
			incarnations = append(incarnations, target.incarnation)
		}
	})
	return incarnations
}

// SetUnresponsive records a peer's report of unresponsive targets.
func (t *Tracker) SetUnresponsive(incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	t.mu.Lock()
	now := uptime.Now()
	for _, id := range incarnations {
		if target := t.byIncarnation[id]; target != nil && now.Sub(target.unresponsiveAt) > hallSuspectWindow {
			target.addUnresponsive()
			target.unresponsiveAt = now
		}
	}
	t.mu.Unlock()
	t.onUnresponsive()
}

// UnresponsiveSince reports whether, since a time, this node found the target
// unreachable or most likely its whole data hall became unresponsive. It is false if
// the target has answered this node after that time.
func (t *Target) UnresponsiveSince(since time.Time) bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.answeredAt.After(since) {
		return false
	}
	return t.unreachableAt.After(since) || t.tracker.hallUnresponsive(t, since)
}

// hallUnresponsive reports whether so many of the service's targets in the target's
// data hall have become unresponsive since a time that the others most likely have,
// too. The caller holds the mutex.
func (t *Tracker) hallUnresponsive(of *Target, since time.Time) bool {
	if of.hall == nil {
		return false
	}
	unresponsive := 0
	for _, target := range of.pool.unresponsive {
		if target.hall == of.hall && !target.ended && target.unresponsiveAt.After(since) {
			unresponsive++
		}
	}
	return unresponsive >= hallSuspectMin && float64(unresponsive) >= hallSuspectShare*float64(of.hall.present)
}
