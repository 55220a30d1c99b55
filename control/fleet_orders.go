package control

import (
	"slices"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/fleet"
)

// FleetOrders notes how many targets of a service are ordered, before the
// platform is told: a new leader goes on from it.
type FleetOrders struct {
	Service string
	Base    []fleet.HallCount // nil to leave it as it is
	Orders  []fleet.Order
	Load    *fleet.Load // what they are to be ready for; nil to leave it as it is
}

// orderFleet applies orders. The caller holds the mutex.
func (s *State) orderFleet(c *FleetOrders) Result {
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

// fleetRecord returns what is agreed on about a service's targets; false if
// there is nothing yet.
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
