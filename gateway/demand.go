package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/fleet"
)

// demandCounters sum the client demand for services that can be scaled.
type demandCounters struct {
	mu   sync.Mutex
	rows map[string]fleet.Demand // by service
}

// Demand returns the cumulative demand at this node since its start, ordered by
// service. It covers only services that can be scaled.
func (g *Gateway) Demand() []fleet.Demand {
	g.demands.mu.Lock()
	defer g.demands.mu.Unlock()
	rows := make([]fleet.Demand, 0, len(g.demands.rows))
	for _, service := range slices.Sorted(maps.Keys(g.demands.rows)) {
		rows = append(rows, g.demands.rows[service])
	}
	return rows
}

func (d *demandCounters) add(more fleet.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rows == nil {
		d.rows = map[string]fleet.Demand{}
	}
	sum := d.rows[more.Service]
	sum.Add(more)
	d.rows[more.Service] = sum
}

// countDemand counts a call of a service that can be scaled, unless it resumes an answer.
func (g *Gateway) countDemand(c *call) {
	if c.settings.Scaling == nil || c.hasLast {
		return
	}
	if !c.settings.Engine {
		g.demands.add(fleet.Demand{Service: c.service, Requests: 1})
		return
	}
	out := c.work.MemoryTokens - c.work.PrefillTokens
	run := g.targets.PredictDuration(c.service, c.work.PrefillTokens, out)
	g.demands.add(fleet.Demand{
		Service: c.service, Requests: 1, Read: uint64(c.work.PrefillTokens), Write: uint64(out),
		ReadMS: milliseconds(g.targets.PredictDuration(c.service, c.work.PrefillTokens, 0)), RunMS: milliseconds(run), HoldMS: uint64(c.work.MemoryTokens) * milliseconds(run),
	})
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// countRejectedDemand counts a call, as countDemand does, that no engine could admit.
func (g *Gateway) countRejectedDemand(c *call) {
	if c.settings.Scaling != nil && !c.hasLast {
		g.demands.add(fleet.Demand{Service: c.service, Refused: 1})
	}
}
