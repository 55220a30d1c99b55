package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"k8s.io/klog/v2"
)

// A target may start again under its ID. Everything that is kept of a target, and
// all that nodes tell each other of one, is of one life of it: runs, copies,
// prompts that it read, what it answered, that it ended. So nothing is carried
// over, but for its failures in a row.

// flapTime is how long ago a target must have broken off for its next life to
// start without its failures: one that ends again and again is avoided
// for longer each time, as if it had not started anew.
const flapTime = 10 * time.Second

// Life names the target's start among all that it had.
func (t *Target) Life() string { return t.life }

// lifeOf returns the target that an entry of a list is of: a known one, or a new
// one where it is new or was started again. Which of two lives is newer says the
// site's word of when they were started; a list that names the older one is old.
// The caller holds the mutex.
func (t *Tracker) lifeOf(entry discovery.Target, now time.Time) *Target {
	known := t.byID[entry.ID]
	if known == nil {
		known = t.absent[entry.ID]
	}
	switch {
	case known == nil:
		known = t.newTarget(entry, now)
	case entry.Born == 0:
		entry.Born = known.Born
	case entry.Born < known.Born:
		return known
	case known.Born != 0 && entry.Born > known.Born:
		known = t.nextLife(known, entry, now)
	}
	known.take(entry)
	return known
}

// is reports whether an entry says of the target what is known.
func (t *Target) is(entry *discovery.Target) bool {
	as := t.Target
	if entry.State == discovery.TargetReady {
		as.State = entry.State // a target that leaves does not come back
	}
	if entry.Born == 0 {
		as.Born = 0
	}
	return as == *entry
}

// take takes what an entry says of the target. Most entries that change say only that
// it leaves: nothing else is written then, since other fields are read without the
// mutex. The caller holds the mutex.
func (t *Target) take(entry discovery.Target) {
	leaves := entry.State == discovery.TargetDraining
	entry.State = t.State
	if t.Target != entry {
		p := t.pool
		if p != nil {
			p.remove(t)
		}
		if t.tracker.holders[t.Address] == t {
			delete(t.tracker.holders, t.Address)
		}
		t.Target, t.life = entry, entry.Life()
		if p != nil {
			t.tracker.poolOf(t.Service).add(t)
		}
	}
	if leaves {
		t.setDraining()
	}
}

func (t *Tracker) newTarget(entry discovery.Target, now time.Time) *Target {
	return &Target{Target: entry, tracker: t, since: now, life: entry.Life()}
}

// nextLife returns the target that an older life of it has become. The caller
// holds the mutex.
func (t *Tracker) nextLife(before *Target, entry discovery.Target, now time.Time) *Target {
	before.setGone()
	next := t.newTarget(entry, now)
	if now.Sub(before.broke) < flapTime {
		next.row = before.row
	}
	klog.InfoS("Target started again", "target", entry.ID, "born", entry.Born, "before", before.Born, "runs", len(before.runs), "failedInARow", next.row)
	return next
}

// absentLife is how long a target is known that the list no longer holds. An entry
// may be missing from one reading and be back with the next, and in the same life
// the target is the same: it leaves, or wants a rest, as it said. Far longer than
// targets that leave take to end.
const absentLife = 10 * time.Minute

// absentEvery is the pause between two looks for targets that are long off the list.
const absentEvery = time.Minute

// forgetAbsent forgets targets that are long off the list. The caller holds the mutex.
func (t *Tracker) forgetAbsent(now time.Time) {
	if now.Sub(t.absentAt) < absentEvery {
		return
	}
	t.absentAt = now
	for id, target := range t.absent {
		if now.Sub(target.absentAt) > absentLife {
			delete(t.absent, id)
		}
	}
}
