package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// RecordLoad records the load that a response reported.
func (t *Target) RecordLoad(l Load) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.load, t.loadAt, t.activeAtLoad = l, uptime.Now(), len(t.runs)
	t.answeredAt = t.loadAt
}

// errorWeight is the weight of the latest response in the error rate.
const errorWeight = 0.1

// RecordSuccess records a complete response.
func (t *Target) RecordSuccess() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.consecutiveFailures = 0
	t.backoffUntil = time.Time{}
	t.failedAt, t.peerFailedAt = time.Time{}, time.Time{}
	t.answeredAt = uptime.Now()
	t.setErrorRate(t.errorRate * (1 - errorWeight))
}

// RecordFailure records that the target did not answer or that its response was cut
// off. Its backoff doubles with each consecutive failure, up to a maximum. The target
// is suspect for suspectTTL, or until RecordSuccess.
func (t *Target) RecordFailure() {
	t.tracker.mu.Lock()
	t.addFailure(false)
	t.tracker.mu.Unlock()
	t.tracker.onChange()
}

// addFailure records a failure; dialing says that no connection could be opened. The
// caller holds the mutex.
func (t *Target) addFailure(dialing bool) {
	cfg := &t.tracker.cfg
	backoff := min(cfg.MinBackoff<<min(t.consecutiveFailures, 5), cfg.MaxBackoff)
	t.consecutiveFailures++
	now := uptime.Now()
	t.backoffUntil = now.Add(backoff)
	t.failedAt = now
	t.addRecentFailure()
	t.tracker.recentlyFailed[t] = struct{}{}
	t.markFailure(dialing)
}

// suspectTTL is how long a failed target stays suspect without a complete response:
// longer than a crashed target remains listed.
const suspectTTL = 10 * time.Second

// suspect reports whether the target failed for this node, or a peer reported that it
// failed, less than suspectTTL ago, or a peer that it had ended. The caller holds the mutex.
func (t *Target) suspect(now time.Time) bool {
	return now.Sub(t.failedAt) < suspectTTL || now.Sub(t.peerFailedAt) < suspectTTL || t.refusedPeer(now)
}

// unconfirmed reports whether the target was a candidate while its data hall was suspect,
// less than suspectTTL ago, and has not answered this node since. The caller holds the
// mutex.
func (t *Target) unconfirmed(now time.Time) bool {
	return now.Sub(t.hallSuspectAt) < suspectTTL && t.answeredAt.Before(t.hallSuspectAt)
}

// Lost reports whether the target's state is probably lost. It is if the target has
// ended, is draining, recently refused a connection or is suspect; if its data hall was
// suspect and the target has not answered this node since; or if its data hall is suspect
// and the target has not answered this node within hallSuspectWindow.
func (t *Target) Lost() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	now := uptime.Now()
	if !t.accepting(now) || t.suspect(now) || t.unconfirmed(now) {
		return true
	}
	return t.hallSuspect(now) && now.Sub(t.answeredAt) > hallSuspectWindow
}

// HallSuspect reports whether so many targets of a target's service and data hall
// failed just now that all of them may have.
func (t *Tracker) HallSuspect(of *Target) bool {
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

// Suspects returns the incarnations of targets that failed for this node less than
// suspectTTL/2 ago, unless its own path to them is in doubt. Peers suspect a target for suspectTTL from the report on; older
// failures are not reported, as that would extend it further.
func (t *Tracker) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ids []string
	t.eachRecentlyFailed(now, func(target *Target) {
		if now.Sub(target.failedAt) < suspectTTL/2 && target.confirmedFailure() {
			ids = append(ids, target.incarnation)
		}
	})
	return ids
}

// SetSuspects records a peer's report of failed targets. Reports of a target within
// suspectTTL after the first one do not extend its suspicion.
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

// Thresholds from which a data hall is suspect for a service.
const (
	hallSuspectWindow = 1500 * time.Millisecond // period in which failures are counted
	hallSuspectShare  = 0.25                    // minimum share of the service's targets there that failed
	hallSuspectMin    = 2                       // minimum number of them
)

// RecordErrorResponse records an error response. A target whose error rate exceeds the
// mean of its peers by more than ErrorMargin is put in backoff for ErrorBackoff, and
// its error rate is halved.
func (t *Target) RecordErrorResponse() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.setErrorRate(t.errorRate + errorWeight*(1-t.errorRate))
	if t.errorRate > t.tracker.peerErrorRate(t)+t.tracker.cfg.ErrorMargin {
		t.backoffUntil = uptime.Now().Add(t.tracker.cfg.ErrorBackoff)
		t.setErrorRate(t.errorRate / 2)
	}
}

// peerErrorRate returns the mean error rate of the other targets of its service; 1 if
// there are none, so that the target is not ejected. The caller holds the mutex.
func (t *Tracker) peerErrorRate(of *Target) float64 {
	if of.pool == nil || of.pool.size < 2 {
		return 1
	}
	return max(0, of.pool.errorRateSum-of.errorRate) / float64(of.pool.size-1)
}

// RecordEnded records that the target has ended, as another target has its address.
func (t *Target) RecordEnded() {
	t.tracker.mu.Lock()
	t.markEnded()
	t.tracker.mu.Unlock()
	t.tracker.onChange()
}

// RecordRefused records that the target's address refused a connection, and implies
// RecordFailure. Most likely the target has ended and is still listed; after refusedTTL it
// is tried again, as it may only have reached its connection limit.
func (t *Target) RecordRefused() {
	t.tracker.mu.Lock()
	t.refusedAt = uptime.Now()
	t.addFailure(true)
	t.tracker.mu.Unlock()
	t.tracker.onChange()
}

// eachRecentlyFailed calls f for each listed target that failed for this node within
// suspectTTL or has ended, and forgets targets whose last failure is older, except listed
// ones that have ended. The caller holds the mutex.
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

// Ended returns the listed incarnations that this node found to have ended, or whose
// address refused it a connection less than refusedTTL/2 ago, unless its own path to them is
// in doubt. Refusals reported by peers are not passed on.
func (t *Tracker) Ended() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ended []string
	t.eachRecentlyFailed(now, func(target *Target) {
		if target.ended || now.Sub(target.refusedAt) < refusedTTL/2 && target.confirmedFailure() {
			ended = append(ended, target.incarnation)
		}
	})
	return ended
}

// SetEnded records a peer's report of ended targets. They are selected only if no other is
// left, since only the peer may be unable to reach them. The report expires sooner than
// this node's own observation.
func (t *Tracker) SetEnded(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, id := range ids {
		if target := t.byIncarnation[id]; target != nil {
			target.peerRefusedAt = now
		}
	}
}

// refusedTTL is how long a target counts as ended after its address refused a
// connection: longer than an ended target stays in the target list.
const refusedTTL = 5 * time.Second

// refused reports whether the target recently refused a connection of this node.
func (t *Target) refused(now time.Time) bool { return now.Sub(t.refusedAt) <= refusedTTL }

// refusedPeer reports whether a peer recently reported that the target had ended.
func (t *Target) refusedPeer(now time.Time) bool { return now.Sub(t.peerRefusedAt) <= refusedTTL/2 }

// Unavailable counts listed targets that have probably ended.
type Unavailable struct {
	Own   int // as this node found; they are not selected
	Peers int // only as peers reported; they are selected if no other is left
}

// CountUnavailable returns the number of unavailable targets.
func (t *Tracker) CountUnavailable() (n Unavailable) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, target := range t.byIncarnation {
		switch {
		case target.ended || target.refused(now):
			n.Own++
		case target.refusedPeer(now):
			n.Peers++
		}
	}
	return n
}

// RecordFull records that the target rejected a request for lack of capacity. The
// target is in backoff for half of MinBackoff.
func (t *Target) RecordFull() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.backoffUntil = uptime.Now().Add(t.tracker.cfg.MinBackoff / 2)
}

// Draining reports whether the target is draining, as the list or the target itself said.
func (t *Target) Draining() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return t.State == discovery.TargetDraining
}

// Usable reports whether the target is available, not in backoff, and not reported as
// ended.
func (t *Target) Usable() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return t.usable(uptime.Now())
}

// usable is Usable. The caller holds the mutex.
func (t *Target) usable(now time.Time) bool {
	return t.available(now) && now.After(t.backoffUntil) && !t.refusedPeer(now)
}
