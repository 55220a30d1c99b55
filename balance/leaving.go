package balance

import (
	"github.com/walnutramp/walnutramp/topology"
)

// Reason says why a request left its region.
type Reason string

// Reasons for leaving the region.
const (
	ReasonCopy   Reason = "copy"    // the copy of its run is there
	ReasonNoRoom Reason = "no-room" // no target of its own region can take it
	ReasonFailed Reason = "failed"  // targets of its own region failed it
	ReasonSooner Reason = "sooner"  // it begins considerably sooner there
)

// Crossing returns the regions of this node and of a target; false if they are the
// same.
func (t *Tracker) Crossing(target *Target) (from, to string, crosses bool) {
	return t.between(t.cfg.Topology.Hall(), target.DataHall)
}

// Between returns the regions of two targets; false if they are the same.
func (t *Tracker) Between(a, b *Target) (from, to string, crosses bool) {
	return t.between(a.DataHall, b.DataHall)
}

func (t *Tracker) between(a, b string) (from, to string, crosses bool) {
	m := &t.cfg.Topology
	if m.Between(a, b) != topology.OtherRegion {
		return "", "", false
	}
	return m.Region(a), m.Region(b), true
}

// canPlace reports whether any target is eligible for a request. It leaves no trace in
// later selections.
func (t *Tracker) canPlace(c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newScan(&c).anyEligible()
}

// CrossRegionReason returns why a selection chose a target in another region. It never
// returns ReasonCopy, which does not follow from the selection.
func (t *Tracker) CrossRegionReason(c Choice) Reason {
	excluded := c.Exclude
	c.Exclude = func(target *Target) bool {
		return t.inOtherRegion(target) || excluded != nil && excluded(target)
	}
	switch {
	case !t.canPlace(c):
		return ReasonNoRoom
	case len(c.FailedHalls) > 0:
		return ReasonFailed
	}
	return ReasonSooner
}
