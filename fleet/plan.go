package fleet

import (
	"math"
	"slices"
)

// Method names a way in which a plan was made.
type Method string

// The methods.
const (
	// KeepCapacity keeps as many targets as there were, of the cheaper kind,
	// while the load is not known.
	KeepCapacity Method = "keep-capacity"
	// HallReserve has comfortable room after the loss of any one hall.
	HallReserve Method = "hall-reserve"
	// LeastCost has the least expected cost of targets and of what callers
	// lose.
	LeastCost Method = "least-cost"
)

// Plan says how many targets are wanted.
type Plan struct {
	Wanted Counts
	Method Method
	Cost   float64 // expected, a second, in prices of targets; 0 for KeepCapacity
	Other  Method  // the runner-up; empty if there was none
	// OtherWanted and OtherCost are what the runner-up comes to.
	OtherWanted Counts
	OtherCost   float64
}

// Situation is what a plan goes by.
type Situation struct {
	Scaling Scaling
	Engine  Engine
	Risks   Risks
	// Base is how many targets each data hall had before any was ordered. Its
	// halls are those of the service.
	Base map[string]int
	// Load is what to be ready for; nil while it is not known, and for a
	// service of which nobody knows what its targets can do.
	Load *Load
	// Stuck are the places where no more are to be had now, with how many are
	// there.
	Stuck Counts
}

// halls returns the data halls in order.
func (s *Situation) halls() []string {
	halls := make([]string, 0, len(s.Base))
	for hall := range s.Base {
		halls = append(halls, hall)
	}
	slices.Sort(halls)
	return halls
}

// Plan works out how many targets are wanted. In each data hall there are
// from Min to Max of them.
func (s *Situation) Plan() Plan {
	if s.Load == nil {
		return Plan{Wanted: s.keep(), Method: KeepCapacity}
	}
	reserve := s.reserve()
	least := s.cheapest(reserve)
	s.fillUp(least)
	s.bear(least)
	plan := Plan{Wanted: least, Method: LeastCost, Cost: s.expected(least)}
	plan.Other, plan.OtherWanted, plan.OtherCost = HallReserve, reserve, s.expected(reserve)
	return plan
}

// cheapKind returns the kind that costs less.
func (s *Situation) cheapKind() Kind {
	if s.Scaling.SpotPrice > 0 && s.Scaling.SpotPrice < 1 {
		return Spot
	}
	return OnDemand
}

// most returns how many targets a place may have beside those of the other
// kind.
func (s *Situation) most(c Counts, p Place) int {
	most := max(0, s.Scaling.Max-c[Place{p.DataHall, 1 - p.Kind}])
	if there, stuck := s.Stuck[p]; stuck {
		most = min(most, there)
	}
	return most
}

// keep wants as many targets as there were in each hall, of the kinds that
// suit the load that these could bear. What can't be had in a hall is wanted
// in the others.
func (s *Situation) keep() Counts {
	borne := *s
	borne.Load = s.borne()
	kinds := borne.cheapest(borne.reserve())
	wanted := Counts{}
	missing := 0
	cheap := s.cheapKind()
	for _, hall := range s.halls() {
		p, other := Place{hall, cheap}, Place{hall, 1 - cheap}
		base := min(max(s.Base[hall], s.Scaling.Min), s.Scaling.Max)
		wanted[other] = min(base, kinds[other])
		wanted[p] = min(base-wanted[other], s.most(wanted, p))
		missing += base - wanted.Hall(hall)
	}
	for _, kind := range []Kind{cheap, 1 - cheap} {
		missing -= s.spread(wanted, kind, missing)
	}
	s.fillUp(wanted)
	return wanted
}

// borne returns the load that the targets there were could bear in a burst
// after the loss of a hall: an operator who fixed their number had to see to
// that.
func (s *Situation) borne() *Load {
	there := Counts{}
	for hall, n := range s.Base {
		there[Place{hall, OnDemand}] = n
	}
	return &Load{Reading: mostReading * float64(s.afterLoss(there)) / burstSize}
}

// spread adds up to n targets of a kind, each where there are fewest, and
// returns how many it added.
func (s *Situation) spread(wanted Counts, kind Kind, n int) int {
	if kind == Spot && s.Scaling.SpotPrice <= 0 {
		return 0
	}
	halls := s.halls()
	for added := range max(0, n) {
		best := Place{}
		for _, hall := range halls {
			p := Place{hall, kind}
			if wanted[p] >= s.most(wanted, p) {
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

// fillUp brings every hall to its least number.
func (s *Situation) fillUp(wanted Counts) {
	for _, hall := range s.halls() {
		for _, kind := range []Kind{s.cheapKind(), OnDemand} {
			p := Place{hall, kind}
			short := s.Scaling.Min - wanted.Hall(hall)
			wanted[p] += max(0, min(short, s.most(wanted, p)-wanted[p]))
		}
	}
}

// reserve wants comfortable room for the load after the loss of any one hall,
// of the cheaper kind as far as that goes.
func (s *Situation) reserve() Counts {
	wanted := s.base()
	s.fillUp(wanted)
	comfort := int(math.Ceil(s.Engine.needOf(*s.Load).comfort))
	for _, kind := range []Kind{s.cheapKind(), 1 - s.cheapKind()} {
		for s.afterLoss(wanted) < comfort && s.spread(wanted, kind, 1) > 0 {
		}
	}
	s.bear(wanted)
	return wanted
}

// base returns the on-demand targets that each hall has at least where there
// are spot ones: so many that they serve the load alone, without any to spare,
// when all spot targets are gone and a hall is lost. One hall after the other may
// lose its spot targets while the control group can't order others.
func (s *Situation) base() Counts {
	base := Counts{}
	if s.cheapKind() == OnDemand {
		return base
	}
	halls := s.halls()
	each := int(math.Ceil(s.Load.Reading / float64(max(1, len(halls)-1))))
	for _, hall := range halls {
		p := Place{hall, OnDemand}
		base[p] = min(each, s.most(base, p))
	}
	return base
}

// bear adds what the load can't do without.
func (s *Situation) bear(wanted Counts) {
	missing := s.Engine.Least(*s.Load) - wanted.Total()
	for _, kind := range []Kind{s.cheapKind(), 1 - s.cheapKind()} {
		missing -= s.spread(wanted, kind, missing)
	}
}

// afterLoss returns how many targets are left when the hall with the most is
// lost; all of them where there is only one hall.
func (s *Situation) afterLoss(c Counts) int {
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
