package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/topology"
)

// Between regions a request takes longer, each event is at the mercy of a long
// link, and what the nodes there have begun is known later. So a request leaves
// its region only where that lets it begin well sooner, and another region lends
// engines only while its own callers don't need them.

const (
	// regionShare is the part of its aim by which a new stream must begin sooner
	// in another region to be sent there.
	regionShare = 0.5
	// regionSlotCost is what a plain request's way to another region and back
	// costs, in milliseconds: links between regions take some 10 ms each way.
	regionSlotCost = 25.0
	// lendShare is the part of a region's engines that may have prompts to read
	// before it lends none to other regions: with the rest its own callers find
	// an idle engine until word of what came from afar is there.
	lendShare = 0.7
)

// SetRegionLag says by how much longer it takes until nodes of other regions
// tell what they began than until those of other data halls in the own one do.
func (t *Tracker) SetRegionLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regionLag = lag
}

// distance returns how far a target is from this node.
func (t *Tracker) distance(target *Target) topology.Distance {
	return t.cfg.Topology.Distance(target.DataHall)
}

// startOf returns the data hall from which a choice's distances count: that of
// the run whose copy is to be kept, since it is copied from there; else the own
// one, as on sites of one region for copies, too.
func (t *Tracker) startOf(c *Choice) string {
	if c.Copy && c.OtherHall != "" && t.cfg.Topology.Several() {
		return c.OtherHall
	}
	return t.cfg.DataHall
}

// regionCost is what speaks against a target in another region. The caller holds
// the mutex.
func (t *Tracker) regionCost(c *Choice) float64 {
	if c.Work == (Work{}) {
		return t.cfg.FarSlotCost + regionSlotCost
	}
	known := t.cfg.FarCost + unseenCost*float64((t.farLag+t.regionLag).Milliseconds())
	return max(known, regionShare*float64(c.Aim.Milliseconds()))
}

// lendingRegions returns the regions that take new runs from others, by name: a
// region lends while few of its engines have prompts to read. Nil where every
// target may be taken. The caller holds the mutex.
func (t *Tracker) lendingRegions(c *Choice, taken map[*Target]*occupancy, now time.Time) map[string]bool {
	if !c.Admission || !t.cfg.Topology.Several() {
		return nil
	}
	engines, reading := map[string]int{}, map[string]int{}
	for target, o := range taken {
		if !target.open(now) {
			continue
		}
		region := t.cfg.Topology.Region(target.DataHall)
		engines[region]++
		if unread(o.runs) > 0 {
			reading[region]++
		}
	}
	lending := map[string]bool{}
	for region, n := range engines {
		lending[region] = float64(reading[region]) < lendShare*float64(n)
	}
	return lending
}

// keptForOwn reports whether a target is kept for the callers of its own region.
func (t *Tracker) keptForOwn(target *Target, lending map[string]bool) bool {
	return lending != nil && t.distance(target) == topology.OtherRegion &&
		!lending[t.cfg.Topology.Region(target.DataHall)]
}
