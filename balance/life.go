package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"k8s.io/klog/v2"
)

// A target may restart under the same ID. All state of a target, local and exchanged
// between nodes, belongs to one incarnation: runs, copies, cached prompts, responses,
// and whether it has ended. Nothing but the count of consecutive failures carries over
// to the next one.

// flapWindow is the time after a failure within which a restarted target keeps its count
// of consecutive failures: one that keeps crashing is backed off longer each time.
const flapWindow = 10 * time.Second

// Incarnation returns the target's incarnation.
func (t *Target) Incarnation() string { return t.incarnation }

// resolve returns the target of a list entry: a known one, or a new one if it is new or
// has restarted. The start times in the list tell which of two incarnations is newer;
// an entry with the older one is stale. The caller holds the mutex.
func (t *Tracker) resolve(entry discovery.Target, now time.Time) *Target {
	known := t.byID[entry.ID]
	if known == nil {
		known = t.delisted[entry.ID]
	}
	switch {
	case known == nil:
		known = t.newTarget(entry, now)
	case entry.Born == 0:
		entry.Born = known.Born
	case entry.Born < known.Born:
		return known
	case known.Born != 0 && entry.Born > known.Born:
		known = t.restarted(known, entry, now)
	}
	known.apply(entry)
	return known
}

// matches reports whether an entry matches the known state of the target.
func (t *Target) matches(entry *discovery.Target) bool {
	current := t.Target
	if entry.State == discovery.TargetReady {
		current.State = entry.State // draining is final
	}
	if entry.Born == 0 {
		current.Born = 0
	}
	return current == *entry
}

// apply applies an entry to the target. An entry that only sets the draining state
// writes nothing else, since other fields are read without the mutex. The caller holds
// the mutex.
func (t *Target) apply(entry discovery.Target) {
	draining := entry.State == discovery.TargetDraining
	entry.State = t.State
	if t.Target != entry {
		p := t.pool
		if p != nil {
			p.remove(t)
		}
		if t.tracker.byAddress[t.Address] == t {
			delete(t.tracker.byAddress, t.Address)
		}
		t.Target, t.incarnation = entry, entry.Incarnation()
		if p != nil {
			t.tracker.poolOf(t.Service).add(t)
		}
	}
	if draining {
		t.markDraining()
	}
}

func (t *Tracker) newTarget(entry discovery.Target, now time.Time) *Target {
	return &Target{Target: entry, tracker: t, firstListedAt: now, incarnation: entry.Incarnation()}
}

// restarted returns the successor of a target that has restarted. The caller holds the
// mutex.
func (t *Tracker) restarted(previous *Target, entry discovery.Target, now time.Time) *Target {
	previous.markEnded()
	next := t.newTarget(entry, now)
	if now.Sub(previous.failedAt) < flapWindow {
		next.consecutiveFailures = previous.consecutiveFailures
	}
	klog.InfoS("Target restarted", "target", entry.ID, "born", entry.Born, "before", previous.Born, "runs", len(previous.runs), "failedInARow", next.consecutiveFailures)
	return next
}

// delistedTTL is how long a delisted target is remembered. An entry may be missing from
// one list and return with the next; the same incarnation then keeps its draining state
// and cooldown. It is much longer than draining takes.
const delistedTTL = 10 * time.Minute

// delistedSweepInterval is the interval between sweeps of the delisted targets.
const delistedSweepInterval = time.Minute

// expireDelisted removes targets that were delisted long ago. The caller holds the mutex.
func (t *Tracker) expireDelisted(now time.Time) {
	if now.Sub(t.delistedSweptAt) < delistedSweepInterval {
		return
	}
	t.delistedSweptAt = now
	for id, target := range t.delisted {
		if now.Sub(target.delistedAt) > delistedTTL {
			delete(t.delisted, id)
		}
	}
}
