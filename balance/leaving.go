package balance

import (
	"github.com/walnutramp/walnutramp/topology"
)

// Reason says why a request leaves its region.
type Reason string

// The reasons.
const (
	ReasonCopy   Reason = "copy"    // its copy is kept there
	ReasonNoRoom Reason = "no-room" // no target of the own region takes it
	ReasonFailed Reason = "failed"  // targets of the own region failed it
	ReasonSooner Reason = "sooner"  // it begins well sooner there
)

// Crossing names the regions of this node and of a target in another one; false
// where the target is in the same region.
func (t *Tracker) Crossing(target *Target) (from, to string, crosses bool) {
	return t.between(t.cfg.Topology.Hall(), target.DataHall)
}

// Between names the regions of two targets; false where they are in the same one.
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

// takes reports whether any target takes a request. It changes nothing that
// later choices go by.
func (t *Tracker) takes(c Choice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookFor(&c).any()
}

// WhyLeft says why a choice fell on a target in another region.
func (t *Tracker) WhyLeft(c Choice) Reason {
	excluded := c.Exclude
	c.Exclude = func(target *Target) bool {
		return t.inOtherRegion(target) || excluded != nil && excluded(target)
	}
	switch {
	case !t.takes(c):
		return ReasonNoRoom
	case len(c.FailedHalls) > 0:
		return ReasonFailed
	}
	return ReasonSooner
}
