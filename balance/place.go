package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A silent run is given up only for a place at another target. The place is held until the
// run begins there, so that no other run is given up for it as well.

// placeInterval is the minimum time between two runs that move to an engine whose slots are
// not known: what it has accepted shows in reports that are this old at most.
const placeInterval = time.Second

// silenceTTL is how long a target counts as silent after a run was given up for its silence.
const silenceTTL = 1500 * time.Millisecond

// Place is room at a target that is held for one run.
type Place struct {
	target    *Target
	occupancy occupancy
	released  bool
}

// Hold holds a place for a run that may be given up for it; nil if no usable target has
// one. The place must be released.
func (t *Tracker) Hold(c Choice) *Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.moves = true
	target := t.pick(&c)
	if target == nil || !target.usable(uptime.Now()) {
		return nil
	}
	p := &Place{target: target, occupancy: occupancy{runs: 1, runTokens: c.Work.MemoryTokens}}
	target.places++
	target.addOccupancy(p.occupancy, 1)
	return p
}

// Release releases the place.
func (p *Place) Release() {
	tracker := p.target.tracker
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	p.target.places--
	p.target.addOccupancy(p.occupancy, -1)
}

// RecordMove records that a run begins at the target that has run elsewhere before.
func (t *Target) RecordMove() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.movedAt = uptime.Now()
}

// hasPlace reports whether the target has a place that is not held. The caller holds the
// mutex.
func (t *Target) hasPlace(c *Choice, now time.Time) bool {
	if !c.Admission {
		return t.places < max(1, t.Slots)
	}
	if slots := t.tracker.engines[t.Service].Slots; slots > 0 {
		return t.occupancy.runs < slots
	}
	return t.places == 0 && now.Sub(t.movedAt) >= placeInterval
}

// Silent reports whether this node has runs at the target that have brought nothing since a
// time, or one was given up for its silence just now and the target has not answered since.
func (t *Target) Silent(since time.Time) bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return t.silent(since, uptime.Now())
}

// silent is Silent. The caller holds the mutex.
func (t *Target) silent(since, now time.Time) bool {
	if len(t.runs) > 0 && t.heardAt.Before(since) {
		return true
	}
	return t.ownUnresponsiveAt.After(t.heardAt) && now.Sub(t.ownUnresponsiveAt) < silenceTTL
}
