package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A target says in its answers what it wants of this node: nothing for a while,
// when it turns a request away and asks for rest, or no new requests at all, when
// it leaves. That holds for this life of the target, whatever else is heard of it:
// a success, a load, or a list that lags or does not hold it for a moment. Nodes do
// not tell each other of rests: a target asks each node for its own.

// trialTime is how long after its rest a target gets one request only: it turns
// that away within a round trip if it still has too much to do, and all that
// waited for the end of its rest need not meet the same.
const trialTime = 250 * time.Millisecond

// rest is what a target asked this node for.
type rest struct {
	until   time.Time // zero if it never asked, or has taken requests since
	triedAt time.Time // when the first request after it was sent
}

// none reports whether the target never asked, or has taken requests since. Most never
// do, and need no reading of the clock: it is two calls to the system.
func (r *rest) none() bool { return r.until.IsZero() }

// left returns for how long the target still rests, 0 or less once that is over.
func (r *rest) left(now time.Time) time.Duration { return r.until.Sub(now) }

// holds reports whether the target is to be left alone: it rests, or the first
// request after its rest has just been sent.
func (r *rest) holds(now time.Time) bool {
	if r.none() {
		return false
	}
	return r.left(now) > 0 || now.Sub(r.triedAt) < trialTime
}

// AskedForRest notes that the target wants nothing from this node for a while.
func (t *Target) AskedForRest(d time.Duration) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if until := uptime.Now().Add(d); until.After(t.rest.until) {
		t.rest = rest{until: until}
	}
}

// Answered notes an answer in which the target asked for no rest: once its last one
// is over, it takes requests as before.
func (t *Target) Answered() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if !t.rest.none() && t.rest.left(uptime.Now()) <= 0 {
		t.rest = rest{}
	}
}

// SaidLeaving notes that the target says that it leaves.
func (t *Target) SaidLeaving() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.setDraining()
}

// Admit reports whether the target wants a new request now. It has to be asked
// just before one is sent: between the choice of a target and the sending, the
// target may have answered another request, or the machine been suspended.
func (t *Target) Admit() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.State == discovery.TargetDraining {
		return false
	}
	if t.rest.none() {
		return true
	}
	now := uptime.Now()
	if t.rest.holds(now) {
		return false
	}
	t.rest.triedAt = now
	return true
}

// Rests reports whether the target wants nothing from this node now.
func (t *Target) Rests() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return !t.rest.none() && t.rest.left(uptime.Now()) > 0
}

// RestLeft returns how long it takes until the first of a service's targets wants
// requests again; 0 unless all that could be asked rest. Excluded leaves targets
// out; nil for none.
func (t *Tracker) RestLeft(service string, excluded func(*Target) bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var least time.Duration
	for target := range t.poolOf(service).all() {
		if !target.there(now) || excluded != nil && excluded(target) {
			continue
		}
		left := target.rest.left(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// Resting returns how many targets want nothing from this node now.
func (t *Tracker) Resting() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, target := range t.byLife {
		if target.rest.left(now) > 0 {
			n++
		}
	}
	return n
}
