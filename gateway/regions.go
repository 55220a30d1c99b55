package gateway

import (
	"fmt"

	"github.com/walnutramp/walnutramp/balance"
	"k8s.io/klog/v2"
)

// recordRegionCrossing records a request if its target is in another region. why returns
// the reason, and is called only then.
func (g *Gateway) recordRegionCrossing(c *call, t *balance.Target, why func() balance.Reason) {
	from, to, crosses := g.targets.Crossing(t)
	if !crosses {
		return
	}
	reason := why()
	g.counters.countRegionRequest(from, to, reason)
	klog.InfoS("Request sent to another region", "request", c.id, "from", from, "to", to, "why", reason, "target", t.ID)
}

// recordCopyRegion counts a run's KV-cache copy if its holder is in another region.
// holder may be nil.
func (g *Gateway) recordCopyRegion(run, holder *balance.Target) {
	if holder == nil {
		return
	}
	if from, to, crosses := g.targets.Between(run, holder); crosses {
		g.counters.countRegionCopy(from, to)
	}
}

// countRegionRequest counts a request that is sent from one region to another.
func (c *counters) countRegionRequest(from, to string, why balance.Reason) {
	name := fmt.Sprintf("walnutramp_gateway_region_requests_total{from=%q,to=%q,why=%q}", from, to, why)
	c.set.GetOrCreateCounter(name).Inc()
}

// countRegionCopy counts a KV-cache copy that is stored in a region other than its run's.
func (c *counters) countRegionCopy(from, to string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_region_copies_total{from=%q,to=%q}", from, to)).Inc()
}
