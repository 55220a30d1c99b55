package fleet

import (
	"math"
	"slices"
)

// Method is a planning method.
type Method string

// The planning methods.
const (
	// KeepCapacity keeps the initial number of targets, with cheaper kinds,
	// while the load is unknown.
	KeepCapacity Method = "keep-capacity"
	// HallReserve provisions for comfortable use after the loss of any one data
	// hall.
	HallReserve Method = "hall-reserve"
	// LeastCost minimizes the expected cost of targets and penalties.
	LeastCost Method = "least-cost"
)

// Plan is the wanted counts and how they were chosen.
type Plan struct {
	Wanted Counts
	Method Method
	Cost   float64 // expected cost per second, in the unit of Scaling.Prices; 0 for KeepCapacity
	Other  Method  // the alternative method; empty if there was none
	// OtherWanted and OtherCost are the result of the alternative method.
	OtherWanted Counts
	OtherCost   float64
}

// PlanInput is the input of a plan.
type PlanInput struct {
	Scaling Scaling
	Engine  Engine
	Risks   Risks
	// Base is the initial number of targets by data hall, before any orders. It
	// also defines the data halls of the service.
	Base map[string]int
	// Load is the load to provision for; nil if it or the capacity of a target
	// is unknown.
	Load *Load
	// Exhausted are the places without further capacity, with their current counts.
	Exhausted Counts
}

// halls returns the data halls, sorted.
func (s *PlanInput) halls() []string {
	halls := make([]string, 0, len(s.Base))
	for hall := range s.Base {
		halls = append(halls, hall)
	}
	slices.Sort(halls)
	return halls
}

// Plan returns the wanted counts. In each data hall they are at most Max, and at
// least Min as far as capacity is available.
func (s *PlanInput) Plan() Plan {
	if s.Load == nil {
		return Plan{Wanted: s.keepCapacity(), Method: KeepCapacity}
	}
	reserve := s.hallReserve()
	least := s.searchLeastCost(reserve)
	s.ensureMin(least)
	s.ensureLeast(least)
	plan := Plan{Wanted: least, Method: LeastCost, Cost: s.expectedCost(least)}
	plan.Other, plan.OtherWanted, plan.OtherCost = HallReserve, reserve, s.expectedCost(reserve)
	return plan
}

// cheapKind returns the kind with the lower price: Spot if it is offered below the
// on-demand price, else OnDemand.
func (s *PlanInput) cheapKind() Kind {
	if s.Scaling.SpotPrice > 0 && s.Scaling.SpotPrice < 1 {
		return Spot
	}
	return OnDemand
}

// maxAt returns the highest count of a place, given the count of the other kind
// and any capacity shortage.
func (s *PlanInput) maxAt(c Counts, p Place) int {
	limit := max(0, s.Scaling.Max-c[Place{p.DataHall, 1 - p.Kind}])
	if available, exhausted := s.Exhausted[p]; exhausted {
		limit = min(limit, available)
	}
	return limit
}

// keepCapacity returns the initial number of targets for each data hall, with
// kinds chosen for the load that these targets can bear. Counts that are not
// available in a data hall move to others.
func (s *PlanInput) keepCapacity() Counts {
	bearable := *s
	bearable.Load = s.bearableLoad()
	cheapest := bearable.searchLeastCost(bearable.hallReserve())
	wanted := Counts{}
	missing := 0
	cheap := s.cheapKind()
	for _, hall := range s.halls() {
		p, other := Place{hall, cheap}, Place{hall, 1 - cheap}
		base := min(max(s.Base[hall], s.Scaling.Min), s.Scaling.Max)
		wanted[other] = min(base, cheapest[other])
		wanted[p] = min(base-wanted[other], s.maxAt(wanted, p))
		missing += base - wanted.Hall(hall)
	}
	for _, kind := range []Kind{cheap, 1 - cheap} {
		missing -= s.spread(wanted, kind, missing)
	}
	s.ensureMin(wanted)
	return wanted
}

// bearableLoad returns the load that the initial targets can bear in a burst
// after the loss of a data hall, assuming that the operator sized them for
// that. Only Reading is set, since nothing is known of the other dimensions.
func (s *PlanInput) bearableLoad() *Load {
	initial := Counts{}
	for hall, n := range s.Base {
		initial[Place{hall, OnDemand}] = n
	}
	return &Load{Reading: maxReading * float64(s.afterLoss(initial)) / burstFactor}
}

// spread adds up to n targets of a kind, one at a time in the data hall with
// the fewest, and returns the number added.
func (s *PlanInput) spread(wanted Counts, kind Kind, n int) int {
	if kind == Spot && s.Scaling.SpotPrice <= 0 {
		return 0
	}
	halls := s.halls()
	for added := range max(0, n) {
		best := Place{}
		for _, hall := range halls {
			p := Place{hall, kind}
			if wanted[p] >= s.maxAt(wanted, p) {
				continue
			}
			if best.DataHall == "" || wanted.Hall(hall) < wanted.Hall(best.DataHall) {
				best = p
			}
		}
		if best.DataHall == "" {
			return added
		}
		wanted[best]++
	}
	return max(0, n)
}

// ensureMin raises every data hall to Scaling.Min, as far as capacity is available.
func (s *PlanInput) ensureMin(wanted Counts) {
	for _, hall := range s.halls() {
		for _, kind := range []Kind{s.cheapKind(), OnDemand} {
			p := Place{hall, kind}
			short := s.Scaling.Min - wanted.Hall(hall)
			wanted[p] += max(0, min(short, s.maxAt(wanted, p)-wanted[p]))
		}
	}
}

// hallReserve returns counts that serve the load comfortably after the loss of
// any one data hall, of the cheaper kind where possible.
func (s *PlanInput) hallReserve() Counts {
	wanted := s.onDemandBase()
	s.ensureMin(wanted)
	comfort := int(math.Ceil(s.Engine.needOf(*s.Load).comfort))
	for _, kind := range []Kind{s.cheapKind(), 1 - s.cheapKind()} {
		for s.afterLoss(wanted) < comfort && s.spread(wanted, kind, 1) > 0 {
		}
	}
	s.ensureLeast(wanted)
	return wanted
}

// onDemandBase returns the minimum of on-demand targets by data hall if spot
// targets are used. With every target busy, they can just do the prefill of the load
// after all spot targets are reclaimed and one data hall is lost, since successive
// reclaims may occur while the control group cannot scale.
func (s *PlanInput) onDemandBase() Counts {
	base := Counts{}
	if s.cheapKind() == OnDemand {
		return base
	}
	halls := s.halls()
	each := int(math.Ceil(s.Load.Reading / float64(max(1, len(halls)-1))))
	for _, hall := range halls {
		p := Place{hall, OnDemand}
		base[p] = min(each, s.maxAt(base, p))
	}
	return base
}

// ensureLeast adds targets until the load can be served or no capacity is left.
func (s *PlanInput) ensureLeast(wanted Counts) {
	missing := s.Engine.Least(*s.Load) - wanted.Total()
	for _, kind := range []Kind{s.cheapKind(), 1 - s.cheapKind()} {
		missing -= s.spread(wanted, kind, missing)
	}
}

// afterLoss returns the number of targets left after the loss of the largest
// data hall, or all if there is only one.
func (s *PlanInput) afterLoss(c Counts) int {
	halls := s.halls()
	if len(halls) < 2 {
		return c.Total()
	}
	largest := 0
	for _, hall := range halls {
		largest = max(largest, c.Hall(hall))
	}
	return c.Total() - largest
}
