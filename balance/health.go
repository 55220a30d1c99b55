package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Told records the load that a response reported.
func (t *Target) Told(l Load) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.load, t.loadAt, t.activeAtLoad = l, uptime.Now(), len(t.runs)
	t.answeredAt = t.loadAt
}

// errorWeight is the weight of the latest response in the error rate.
const errorWeight = 0.1

// Succeeded records a complete response.
func (t *Target) Succeeded() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.consecutiveFailures = 0
	t.backoffUntil = time.Time{}
	t.failedAt, t.peerFailedAt = time.Time{}, time.Time{}
	t.answeredAt = uptime.Now()
	t.setErrorRate(t.errorRate * (1 - errorWeight))
}

// Broke records that the target did not answer or that its response was cut off. Its
// backoff doubles with each consecutive failure, and it is suspect until it answers
// again.
func (t *Target) Broke() {
	t.tracker.mu.Lock()
	cfg := &t.tracker.cfg
	backoff := min(cfg.MinBackoff<<min(t.consecutiveFailures, 5), cfg.MaxBackoff)
	t.consecutiveFailures++
	now := uptime.Now()
	t.backoffUntil = now.Add(backoff)
	t.failedAt = now
	t.addRecentFailure()
	t.tracker.recentlyFailed[t] = struct{}{}
	t.tracker.mu.Unlock()
	t.tracker.onChange()
}

// suspectTTL is how long a failed target stays suspect without an answer: longer than
// a crashed target remains listed.
const suspectTTL = 10 * time.Second

// suspect reports whether the target may have ended. The caller holds the mutex.
func (t *Target) suspect(now time.Time) bool {
	return now.Sub(t.failedAt) < suspectTTL || now.Sub(t.peerFailedAt) < suspectTTL
}

// unconfirmed reports whether the target's data hall was suspect and the target has not
// answered this node since. The caller holds the mutex.
func (t *Target) unconfirmed(now time.Time) bool {
	return now.Sub(t.hallSuspectAt) < suspectTTL && t.answeredAt.Before(t.hallSuspectAt)
}

// Lost reports whether the target's state is probably lost: it has ended, is draining
// or failed, or its data hall is suspect and it has not answered this node since.
func (t *Target) Lost() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	now := uptime.Now()
	if !t.accepting(now) || t.suspect(now) || t.unconfirmed(now) {
		return true
	}
	return t.hallSuspect(now) && now.Sub(t.answeredAt) > hallSuspectWindow
}

// HallInDoubt reports whether so many targets of a target's service and data hall
// failed just now that all of them may have.
func (t *Tracker) HallInDoubt(of *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return of.hallSuspect(uptime.Now())
}

// hallSuspect reports whether the target's data hall is suspect. The caller holds the
// mutex.
func (t *Target) hallSuspect(now time.Time) bool {
	if t.hall == nil {
		return false
	}
	t.pool.markSuspectHalls(now)
	return t.hall.suspect
}

// Suspects returns the incarnations of targets that recently failed for this node.
func (t *Tracker) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ids []string
	t.eachRecentlyFailed(now, func(target *Target) {
		if now.Sub(target.failedAt) < suspectTTL/2 {
			ids = append(ids, target.incarnation)
		}
	})
	return ids
}

// SetSuspects records a peer's report of failed targets.
func (t *Tracker) SetSuspects(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, id := range ids {
		if target := t.byIncarnation[id]; target != nil && now.Sub(target.peerFailedAt) > suspectTTL {
			target.peerFailedAt = now
			target.addRecentFailure()
		}
	}
}

// A data hall is suspect when at least this share and number of a service's targets
// there failed within hallSuspectWindow.
const (
	hallSuspectWindow = 1500 * time.Millisecond
	hallSuspectShare  = 0.25
	hallSuspectMin    = 2
)

// Erred records an error response. A target whose error rate exceeds its peers' by more
// than the configured margin is ejected for a while.
func (t *Target) Erred() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.setErrorRate(t.errorRate + errorWeight*(1-t.errorRate))
	if t.errorRate > t.tracker.peerErrorRate(t)+t.tracker.cfg.ErrorMargin {
		t.backoffUntil = uptime.Now().Add(t.tracker.cfg.ErrorBackoff)
		t.setErrorRate(t.errorRate / 2)
	}
}

// peerErrorRate returns the mean error rate of a target's peers. The caller holds the
// mutex.
func (t *Tracker) peerErrorRate(of *Target) float64 {
	if of.pool == nil || of.pool.size < 2 {
		return 1
	}
	return max(0, of.pool.errorRateSum-of.errorRate) / float64(of.pool.size-1)
}

// Gone records that the target has ended: another target has its address.
func (t *Target) Gone() {
	t.tracker.mu.Lock()
	t.markEnded()
	t.tracker.mu.Unlock()
	t.tracker.onChange()
}

// Refused records that the target's address refused a connection. Most likely the
// target has ended and is still listed; after a while it is tried again, as it may only
// have reached its connection limit.
func (t *Target) Refused() {
	t.tracker.mu.Lock()
	t.refusedAt = uptime.Now()
	t.tracker.recentlyFailed[t] = struct{}{}
	t.tracker.mu.Unlock()
	t.tracker.onChange()
}

// eachRecentlyFailed calls f for each listed target that recently failed for this node and
// forgets the others. The caller holds the mutex.
func (t *Tracker) eachRecentlyFailed(now time.Time, f func(*Target)) {
	for target := range t.recentlyFailed {
		lastFailure := slices.MaxFunc([]time.Time{target.failedAt, target.refusedAt, target.ownUnresponsiveAt}, time.Time.Compare)
		listed := target.hall != nil
		if now.Sub(lastFailure) > suspectTTL && !(target.ended && listed) {
			delete(t.recentlyFailed, target)
		} else if listed {
			f(target)
		}
	}
}

// Ended returns the incarnations that this node recently found to have ended.
func (t *Tracker) Ended() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ended []string
	t.eachRecentlyFailed(now, func(target *Target) {
		if target.ended || now.Sub(target.refusedAt) < refusedTTL/2 {
			ended = append(ended, target.incarnation)
		}
	})
	return ended
}

// SetEnded records a peer's report of ended targets. It expires sooner than this node's
// own observation.
func (t *Tracker) SetEnded(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reportedAt := uptime.Now().Add(-refusedTTL / 2)
	for _, id := range ids {
		if target := t.byIncarnation[id]; target != nil && target.refusedAt.Before(reportedAt) {
			target.refusedAt = reportedAt
		}
	}
}

// refusedTTL is how long a target counts as ended after its address refused a
// connection: longer than the list lags behind.
const refusedTTL = 5 * time.Second

// Full records that the target rejected a request for lack of capacity.
func (t *Target) Full() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.backoffUntil = uptime.Now().Add(t.tracker.cfg.MinBackoff / 2)
}

// Leaves reports whether the target is draining, according to the list or to itself.
func (t *Target) Leaves() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return t.State == discovery.TargetDraining
}

// Usable reports whether the target is available and not in backoff.
func (t *Target) Usable() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	now := uptime.Now()
	return t.available(now) && now.After(t.backoffUntil)
}
