package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/fleet"
)

// demands count what clients ask of the services whose targets can be ordered.
type demands struct {
	mu   sync.Mutex
	rows map[string]fleet.Demand // by service
}

// Demand returns what clients have asked for at this node since its start, by
// service in order; nothing of services whose targets can't be ordered.
func (g *Gateway) Demand() []fleet.Demand {
	g.demands.mu.Lock()
	defer g.demands.mu.Unlock()
	rows := make([]fleet.Demand, 0, len(g.demands.rows))
	for _, service := range slices.Sorted(maps.Keys(g.demands.rows)) {
		rows = append(rows, g.demands.rows[service])
	}
	return rows
}

// add adds to what is asked of a service.
func (d *demands) add(more fleet.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rows == nil {
		d.rows = map[string]fleet.Demand{}
	}
	sum := d.rows[more.Service]
	sum.Add(more)
	d.rows[more.Service] = sum
}

// noteDemand counts a call that its client has not begun to get an answer to.
func (g *Gateway) noteDemand(c *call) {
	if c.engine.Scaling == nil || c.hasLast {
		return
	}
	if !c.engine.Engine {
		g.demands.add(fleet.Demand{Service: c.service, Requests: 1})
		return
	}
	out := c.work.Hold - c.work.Read
	run := g.targets.RunTime(c.service, c.work.Read, out)
	g.demands.add(fleet.Demand{
		Service: c.service, Requests: 1, Read: uint64(c.work.Read), Write: uint64(out),
		ReadMS: whole(g.targets.RunTime(c.service, c.work.Read, 0)), RunMS: whole(run), HoldMS: uint64(c.work.Hold) * whole(run),
	})
}

func whole(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// noteNoRoom counts a call, as noteDemand does, that was refused because no
// engine had room.
func (g *Gateway) noteNoRoom(c *call) {
	if c.engine.Scaling != nil && !c.hasLast {
		g.demands.add(fleet.Demand{Service: c.service, Refused: 1})
	}
}
