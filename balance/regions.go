package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/topology"
)

// Between regions latency is higher, every event depends on a long-distance link, and
// reports of new runs arrive later. So a request leaves its region only where it begins
// considerably sooner, and a region accepts spillover only while its own clients leave
// it idle engines.

const (
	// crossRegionGoalShare is the part of Choice.FirstEventGoal by which a new stream must
	// begin sooner in another region to be sent there.
	crossRegionGoalShare = 0.5
	// defaultRoundTripMS is the round trip to another region until one is measured, in
	// milliseconds: links within a country take some 10 ms each way.
	defaultRoundTripMS = 25.0
	// sameRegionCost is the cost of placing a copy in the region of its run, in
	// milliseconds of wait: the engines of a region may be lost together, and a run
	// without a copy elsewhere must then be prefilled again. It outweighs a busy engine,
	// not a full one.
	sameRegionCost = 1000.0
	// spillThreshold is the fraction of a region's engines with prefills pending at which
	// the region stops accepting new streams from others. The rest is left to its own
	// clients.
	spillThreshold = 0.7
)

// SetCrossRegionLag sets the additional delay of reports from nodes in other regions,
// on top of that of other data halls.
func (t *Tracker) SetCrossRegionLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crossRegionLag = lag
}

// inOtherRegion reports whether a target is in another region than this node.
func (t *Tracker) inOtherRegion(target *Target) bool {
	return t.cfg.Topology.MultiRegion() && t.cfg.Topology.Distance(target.DataHall) == topology.OtherRegion
}

// copyInRunRegion reports whether a copy at holder would be in the region of its run, on
// a site of several regions. Choice.AvoidHall is the data hall of the run.
func (t *Tracker) copyInRunRegion(c *Choice, holder *Target) bool {
	return c.Copy && c.AvoidHall != "" && t.cfg.Topology.MultiRegion() &&
		t.cfg.Topology.Between(c.AvoidHall, holder.DataHall) != topology.OtherRegion
}

// RecordRoundTrip records that a connection to a target was opened, in about one round
// trip.
func (t *Tracker) RecordRoundTrip(id string, took time.Duration) {
	t.mu.Lock()
	confirms := false
	if target := t.byIncarnation[id]; target != nil {
		t.roundTrips.Observe(target.DataHall, took, uptime.Now())
		confirms = target.addContact(contact{connections: 1})
	}
	t.mu.Unlock()
	if confirms {
		t.onChange()
	}
}

// roundTripMS returns the round trip to a data hall of another region, in milliseconds.
// The caller holds the mutex.
func (t *Tracker) roundTripMS(hall string, now time.Time) float64 {
	if took, known := t.roundTrips.Mean(hall, now); known {
		return float64(took) / float64(time.Millisecond)
	}
	return defaultRoundTripMS
}

// regionCost returns the cost of a target in a data hall of another region, in
// milliseconds of wait. Choice.Work is empty for requests to plain services. The caller
// holds the mutex.
func (t *Tracker) regionCost(c *Choice, hall string, now time.Time) float64 {
	if c.Work == (Work{}) {
		return t.cfg.RemoteHallSlotCost + t.roundTripMS(hall, now)
	}
	if c.Copy {
		return t.cfg.RemoteHallCost // the latency to a copy delays no client
	}
	cost := t.cfg.RemoteHallCost + reportDelayCost*float64((t.crossHallLag+t.crossRegionLag).Milliseconds())
	return max(cost, crossRegionGoalShare*float64(c.FirstEventGoal.Milliseconds()))
}

// suspectHallCost returns the cost of a target in a suspect data hall. On a site of several
// regions it includes the goal share of regionCost, so that requests leave a region whose
// halls are all suspect.
func (t *Tracker) suspectHallCost(c *Choice) float64 {
	if !t.cfg.Topology.MultiRegion() {
		return hallSuspectCost
	}
	return hallSuspectCost + crossRegionGoalShare*float64(c.FirstEventGoal.Milliseconds())
}

// spillRegions returns the regions that accept new runs from others: those in which few
// of the engines have prefills pending. Nil means no restriction. The caller holds the mutex.
func (t *Tracker) spillRegions(c *Choice, p *pool) map[string]bool {
	if !c.Admission || c.Work == (Work{}) || !t.cfg.Topology.MultiRegion() {
		return nil
	}
	engines, prefilling := map[string]int{}, map[string]int{}
	for _, h := range p.ordered {
		region := t.cfg.Topology.Region(h.name)
		engines[region] += h.accepting
		prefilling[region] += h.prefilling
	}
	accepting := map[string]bool{}
	for region, n := range engines {
		accepting[region] = float64(prefilling[region]) < spillThreshold*float64(n)
	}
	return accepting
}

// reserved reports whether a target is reserved for clients of its own region.
func (t *Tracker) reserved(target *Target, accepting map[string]bool) bool {
	return accepting != nil && t.inOtherRegion(target) && !accepting[t.cfg.Topology.Region(target.DataHall)]
}
