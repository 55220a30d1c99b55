package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A target may ask this node in a response to send nothing for a while (a cooldown,
// when it rejects a request for overload), or no new requests at all (when it drains).
// Either holds for the target's incarnation regardless of later successes, loads, or
// lists that are stale or lack it for a moment. Nodes do not exchange cooldowns: a
// target requests one from each node.

// probeTimeout is how long after a cooldown a target gets a single probe request: if still
// overloaded, it rejects only that one within a round trip, and not all requests that
// waited.
const probeTimeout = 250 * time.Millisecond

// cooldown is the cooldown that a target requested from this node.
type cooldown struct {
	until    time.Time // zero if never requested, or cleared by an accepted request
	probedAt time.Time // when the first request after it was sent
}

// unset reports whether no cooldown is set. It lets the common case skip reading the
// clock, which costs two system calls.
func (r *cooldown) unset() bool { return r.until.IsZero() }

// remaining returns the remaining cooldown, 0 or less if it is over.
func (r *cooldown) remaining(now time.Time) time.Duration { return r.until.Sub(now) }

// active reports whether the target must not be sent requests: its cooldown lasts, or
// the probe request after it was just sent.
func (r *cooldown) active(now time.Time) bool {
	if r.unset() {
		return false
	}
	return r.remaining(now) > 0 || now.Sub(r.probedAt) < probeTimeout
}

// StartCooldown records that the target requested a cooldown; one that would end earlier
// than the current one is ignored.
func (t *Target) StartCooldown(d time.Duration) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if until := uptime.Now().Add(d); until.After(t.cooldown.until) {
		t.cooldown = cooldown{until: until}
	}
}

// RecordResponse records a response without a cooldown request, which clears an expired
// cooldown.
func (t *Target) RecordResponse() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if !t.cooldown.unset() && t.cooldown.remaining(uptime.Now()) <= 0 {
		t.cooldown = cooldown{}
	}
}

// RecordDraining records that the target announced that it drains.
func (t *Target) RecordDraining() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.markDraining()
}

// Admit reports whether a request may be sent to the target: it is not draining and not
// in cooldown. After a cooldown, a call that returns true takes the probe request, and
// further calls return false for probeTimeout or until RecordResponse. Admit must be called
// just before sending: since the selection, the target may have answered another request,
// or the machine may have been suspended.
func (t *Target) Admit() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	if t.State == discovery.TargetDraining {
		return false
	}
	if t.cooldown.unset() {
		return true
	}
	now := uptime.Now()
	if t.cooldown.active(now) {
		return false
	}
	t.cooldown.probedAt = now
	return true
}

// InCooldown reports whether the target's cooldown lasts. Unlike Admit, it disregards the
// probe request and takes none.
func (t *Target) InCooldown() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return !t.cooldown.unset() && t.cooldown.remaining(uptime.Now()) > 0
}

// RemainingCooldown returns the remaining cooldown of the target, 0 if there is none.
func (t *Target) RemainingCooldown() time.Duration {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return max(0, t.cooldown.remaining(uptime.Now()))
}

// Unwilling returns the incarnations of a service's targets that are in cooldown or draining.
func (t *Tracker) Unwilling(service string) (incarnations []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for target := range t.poolOf(service).all() {
		if target.State == discovery.TargetDraining || target.cooldown.remaining(now) > 0 {
			incarnations = append(incarnations, target.incarnation)
		}
	}
	return incarnations
}

// CooldownLeft returns the shortest remaining cooldown of a service's targets; 0 unless all
// that are not excluded are in cooldown. Excluded may be nil.
func (t *Tracker) CooldownLeft(service string, excluded func(*Target) bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var shortest time.Duration
	for target := range t.poolOf(service).all() {
		if !target.accepting(now) || excluded != nil && excluded(target) {
			continue
		}
		remaining := target.cooldown.remaining(now)
		if remaining <= 0 {
			return 0
		}
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// CountInCooldown returns the number of listed targets in cooldown.
func (t *Tracker) CountInCooldown() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for _, target := range t.byIncarnation {
		if target.cooldown.remaining(now) > 0 {
			n++
		}
	}
	return n
}
