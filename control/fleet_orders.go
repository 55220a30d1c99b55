package control

import (
	"slices"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/fleet"
)

// FleetOrders records the ordered number of targets of a service. It is committed
// before the platform is called, so that a new leader resumes from it.
type FleetOrders struct {
	Service string
	Base    []fleet.HallCount // nil for no change
	Orders  []fleet.Order
	Load    *fleet.Load // provisioned for; nil for no change
}

// applyFleetOrders applies committed orders. The caller holds the mutex.
func (s *State) applyFleetOrders(c *FleetOrders) Result {
	i := slices.IndexFunc(s.fleet, func(r fleet.Record) bool { return r.Service == c.Service })
	s.fleet = slices.Clone(s.fleet)
	if i < 0 {
		i = len(s.fleet)
		s.fleet = append(s.fleet, fleet.Record{Service: c.Service})
	}
	if c.Base != nil {
		s.fleet[i].Base = c.Base
	}
	s.fleet[i].Put(c.Orders)
	if c.Load != nil {
		s.fleet[i].Load = c.Load
	}
	return Result{Code: walnutramp.CodeOK}
}

// fleetRecord returns the committed record of a service; false if there is none.
func (s *State) fleetRecord(service string) (fleet.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.fleet {
		if r.Service == service {
			return r, true
		}
	}
	return fleet.Record{}, false
}
