package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/topology"
)

// Between regions a request takes longer, each event is at the mercy of a long
// link, and what the nodes there have begun is known later. So a request leaves
// its region only where that lets it begin well sooner, and another region takes
// what spills over only while its own callers don't need its engines.

const (
	// regionShare is the part of its aim by which a new stream must begin sooner
	// in another region to be sent there.
	regionShare = 0.5
	// assumedRoundTrip is the way to another region and back while none was
	// measured, in milliseconds: links within a country take some 10 ms each way.
	assumedRoundTrip = 25.0
	// sameRegionCost is what speaks against a copy in the region of its run, in
	// milliseconds of waiting: a region's engines may be lost together, and then a
	// run without a copy elsewhere is silent for as long as its prompt is read. It
	// outweighs a busy engine, not a full one.
	sameRegionCost = 1000.0
	// spillShare is the part of a region's engines that may have prompts to read
	// before it takes no new streams of other regions: at the rest its own callers
	// find an idle engine while word of what came from elsewhere is on its way.
	spillShare = 0.7
)

// SetRegionLag says by how much longer it takes until nodes of other regions
// tell what they began than until those of other data halls in the own one do.
func (t *Tracker) SetRegionLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regionLag = lag
}

// inOtherRegion reports whether a target is in another region than this node.
func (t *Tracker) inOtherRegion(target *Target) bool {
	return t.cfg.Topology.Several() && t.cfg.Topology.Distance(target.DataHall) == topology.OtherRegion
}

// inRegionOfRun reports whether a copy would be kept in the region of its run, on a
// site of several.
func (t *Tracker) inRegionOfRun(c *Choice, holder *Target) bool {
	return c.Copy && c.OtherHall != "" && t.cfg.Topology.Several() &&
		t.cfg.Topology.Between(c.OtherHall, holder.DataHall) != topology.OtherRegion
}

// NoteRoundTrip takes how long the way to a target and back took.
func (t *Tracker) NoteRoundTrip(id string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target := t.byLife[id]; target != nil {
		t.trips.Observe(target.DataHall, took, uptime.Now())
	}
}

// roundTripMS is the way to a data hall of another region and back, in
// milliseconds. The caller holds the mutex.
func (t *Tracker) roundTripMS(hall string, now time.Time) float64 {
	if took, known := t.trips.To(hall, now); known {
		return float64(took) / float64(time.Millisecond)
	}
	return assumedRoundTrip
}

// regionCost is what speaks against a target in a data hall of another region.
// The caller holds the mutex.
func (t *Tracker) regionCost(c *Choice, hall string, now time.Time) float64 {
	if c.Work == (Work{}) {
		return t.cfg.FarSlotCost + t.roundTripMS(hall, now)
	}
	if c.Copy {
		return t.cfg.FarCost // nobody waits for a copy, however long its way
	}
	known := t.cfg.FarCost + unseenCost*float64((t.farLag+t.regionLag).Milliseconds())
	return max(known, regionShare*float64(c.Aim.Milliseconds()))
}

// doubtCost is what speaks against a target in a data hall that is in doubt. Where
// all halls of the region are, it must weigh more than the way out of the region.
func (t *Tracker) doubtCost(c *Choice) float64 {
	if !t.cfg.Topology.Several() {
		return doubtCost
	}
	return doubtCost + regionShare*float64(c.Aim.Milliseconds())
}

// spillRegions returns the regions that take new runs from others, by name: those
// few of whose engines have prompts to read. Nil where every target may be taken.
// The caller holds the mutex.
func (t *Tracker) spillRegions(c *Choice, p *pool) map[string]bool {
	if !c.Admission || c.Work == (Work{}) || !t.cfg.Topology.Several() {
		return nil
	}
	engines, reading := map[string]int{}, map[string]int{}
	for _, h := range p.order {
		region := t.cfg.Topology.Region(h.name)
		engines[region] += h.live
		reading[region] += h.reading
	}
	taking := map[string]bool{}
	for region, n := range engines {
		taking[region] = float64(reading[region]) < spillShare*float64(n)
	}
	return taking
}

// reserved reports whether a target is kept for the callers of its own region.
func (t *Tracker) reserved(target *Target, taking map[string]bool) bool {
	return taking != nil && t.inOtherRegion(target) && !taking[t.cfg.Topology.Region(target.DataHall)]
}
