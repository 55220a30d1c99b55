package gateway

import (
	"fmt"

	"github.com/walnutramp/walnutramp/balance"
	"k8s.io/klog/v2"
)

// noteRegion notes a request that leaves its region for a target, and why.
func (g *Gateway) noteRegion(c *call, t *balance.Target, why func() balance.Reason) {
	from, to, crosses := g.targets.Crossing(t)
	if !crosses {
		return
	}
	reason := why()
	g.counters.crossed(from, to, reason)
	klog.InfoS("Request leaves its region", "request", c.id, "from", from, "to", to, "why", reason, "target", t.ID)
}

// noteCopyRegion notes a copy that is to be kept in another region than its run.
func (g *Gateway) noteCopyRegion(run, holder *balance.Target) {
	if holder == nil {
		return
	}
	if from, to, crosses := g.targets.Between(run, holder); crosses {
		g.counters.copied(from, to)
	}
}

// crossed counts a request that is sent from one region to another.
func (c *counters) crossed(from, to string, why balance.Reason) {
	name := fmt.Sprintf("walnutramp_gateway_region_requests_total{from=%q,to=%q,why=%q}", from, to, why)
	c.set.GetOrCreateCounter(name).Inc()
}

// copied counts a copy that is kept in another region than its run.
func (c *counters) copied(from, to string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_region_copies_total{from=%q,to=%q}", from, to)).Inc()
}
