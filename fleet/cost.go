package fleet

import (
	"maps"
	"math"
	"slices"
)

// What callers lose, in prices of an on-demand target for the time that it is
// missed.
const (
	// refusedWorth is what the answers of one target are worth to callers: an
	// operator who sold them for little more than the targets cost would not
	// run the service.
	refusedWorth = 20.0
	// lateWorth is what is lost where they come, but later, or without a copy
	// to go on from.
	lateWorth = 1.0
	// evenShare is how many times the mean of the halls one of them may have. A
	// larger one takes more runs down with it, and the others have no room for
	// the copies that these go on from.
	evenShare = 1.2
	// burstSize is how many times the requests come in a burst.
	burstSize = 2.0
)

// event is something that leaves fewer targets, with the part of the time in
// which it is so.
type event struct {
	share float64
	taken []string // data halls without spot targets
	lost  string   // a data hall without any; empty for none
}

// left returns how many targets an event leaves of some in data halls.
func (e *event) left(halls []string, c Counts) int {
	left := 0
	for _, hall := range halls {
		switch {
		case hall == e.lost:
		case slices.Contains(e.taken, hall):
			left += c[Place{hall, OnDemand}]
		default:
			left += c.Hall(hall)
		}
	}
	return left
}

// mostReclaims bounds of how many data halls the spot targets are held to be
// missing at the same time: more is rare, and the cases to work out would double
// with each hall.
const mostReclaims = 3

// events lists what may be missing: the spot targets of any halls, and all
// targets of one hall at the same time.
func (s *Situation) events() []event {
	halls := s.halls()
	events := []event{{share: 1}}
	for _, hall := range halls {
		for i := range events {
			e := &events[i]
			if len(e.taken) == mostReclaims {
				continue
			}
			taken := append(slices.Clone(e.taken), hall)
			events = append(events, event{share: e.share * s.Risks.Reclaim, taken: taken})
			events[i].share *= 1 - s.Risks.Reclaim
		}
	}
	if len(halls) < 2 {
		return events // no target elsewhere would make up for a hall
	}
	for _, e := range slices.Clone(events) {
		for _, hall := range halls {
			events = append(events, event{share: e.share * s.Risks.HallLost, taken: e.taken, lost: hall})
		}
	}
	return events
}

// uneven returns by how many targets halls are larger than evenShare allows.
func uneven(halls []string, c Counts) float64 {
	bound := evenShare * float64(c.Total()) / float64(len(halls))
	excess := 0.0
	for _, hall := range halls {
		excess += math.Max(0, float64(c.Hall(hall))-bound)
	}
	return excess
}

// price returns the mean price of an on-demand target.
func (s *Situation) price() float64 {
	sum := 0.0
	for _, hall := range s.halls() {
		sum += s.Scaling.price(Place{hall, OnDemand})
	}
	return sum / float64(max(1, len(s.Base)))
}

// expected returns the expected cost of a second: what targets cost, and what
// callers lose.
func (s *Situation) expected(c Counts) float64 { return s.costs()(c) }

// costs returns what expected works out, for many counts.
func (s *Situation) costs() func(Counts) float64 {
	usual, burst := s.Engine.needOf(*s.Load), s.Engine.needOf(s.Load.scaled(burstSize))
	halls, events, price := s.halls(), s.events(), s.price()
	return func(c Counts) float64 {
		lost := 0.0
		for _, e := range events {
			left := float64(e.left(halls, c))
			lost += e.share * ((1-s.Risks.Burst)*usual.loss(left) + s.Risks.Burst*burst.loss(left))
		}
		return s.Scaling.Cost(c) + price*(lost+lateWorth*uneven(halls, c))
	}
}

// loss is what callers lose with so many targets.
func (n need) loss(targets float64) float64 {
	return refusedWorth*math.Max(0, n.most-targets) + lateWorth*math.Max(0, n.comfort-targets)
}

// steps are by how many targets a search goes on, the large ones first.
var steps = []int{16, 4, 1}

// cheapest searches for the least expected cost, from a first guess on, by
// single places, by pairs and by all halls at once. What it finds is never
// dearer than the guess.
func (s *Situation) cheapest(guess Counts) Counts {
	cost, base := s.costs(), s.base()
	best, least := maps.Clone(guess), cost(guess)
	for _, step := range steps {
		for improved := true; improved; {
			improved = false
			for _, change := range s.changes(step) {
				next, ok := s.changed(best, change, base)
				if !ok {
					continue
				}
				if c := cost(next); c < least-smallestGain {
					best, least, improved = next, c, true
				}
			}
		}
	}
	return best
}

// smallestGain, in prices of a target, ends a search that gains nothing.
const smallestGain = 1e-6

// changes lists the changes by a step: at one place, from one place to
// another, and at all halls.
func (s *Situation) changes(step int) []Counts {
	var places []Place
	kinds := []Kind{OnDemand}
	if s.Scaling.SpotPrice > 0 {
		kinds = append(kinds, Spot)
	}
	var changes []Counts
	for _, kind := range kinds {
		more, fewer := Counts{}, Counts{}
		for _, hall := range s.halls() {
			p := Place{hall, kind}
			places = append(places, p)
			more[p], fewer[p] = step, -step
		}
		changes = append(changes, more, fewer)
	}
	for _, from := range places {
		changes = append(changes, Counts{from: step}, Counts{from: -step})
		for _, to := range places {
			if from != to {
				changes = append(changes, Counts{from: -step, to: step})
			}
		}
	}
	return changes
}

// changed returns counts with a change made; false if they may not be so.
func (s *Situation) changed(c, change, base Counts) (Counts, bool) {
	next := maps.Clone(c)
	for p, n := range change {
		next[p] += n
	}
	for p := range change {
		if next[p] < base[p] || next[p] > s.most(next, p) || next.Hall(p.DataHall) < min(c.Hall(p.DataHall), s.Scaling.Min) {
			return nil, false
		}
	}
	return next, true
}
