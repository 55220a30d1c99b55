package fleet

import (
	"maps"
	"math"
	"slices"
)

// Penalties, in units of the price of an on-demand target.
const (
	// refusalPenalty is the penalty for each target short of the number below
	// which requests are refused.
	refusalPenalty = 20.0
	// delayPenalty is the penalty for each target short of the number that serves
	// requests without delay and with backup copies, and for each target in excess
	// of maxHallRatio.
	delayPenalty = 1.0
	// maxHallRatio is the largest size of a data hall, relative to the mean,
	// without a penalty. The loss of a larger one interrupts more runs than the
	// others have copies of.
	maxHallRatio = 1.2
	// burstFactor is the request rate of a burst relative to the normal rate.
	burstFactor = 2.0
)

// lossEvent is a loss of targets and the fraction of time during which it
// applies.
type lossEvent struct {
	probability float64
	reclaimed   []string // data halls whose spot targets are reclaimed
	lostHall    string   // data hall that lost all targets; empty for none
}

// left returns the number of targets that remain after the event.
func (e *lossEvent) left(halls []string, c Counts) int {
	left := 0
	for _, hall := range halls {
		switch {
		case hall == e.lostHall:
		case slices.Contains(e.reclaimed, hall):
			left += c[Place{hall, OnDemand}]
		default:
			left += c.Hall(hall)
		}
	}
	return left
}

// maxReclaims limits the number of data halls with simultaneous reclaims. More
// are rare, and the number of events doubles with each data hall.
const maxReclaims = 3

// lossEvents lists the loss scenarios: reclaimed spot targets in up to
// maxReclaims data halls, combined with the loss of up to one data hall.
func (s *PlanInput) lossEvents() []lossEvent {
	halls := s.halls()
	events := []lossEvent{{probability: 1}}
	for _, hall := range halls {
		for i := range events {
			e := &events[i]
			if len(e.reclaimed) == maxReclaims {
				continue
			}
			reclaimed := append(slices.Clone(e.reclaimed), hall)
			events = append(events, lossEvent{probability: e.probability * s.Risks.Reclaim, reclaimed: reclaimed})
			events[i].probability *= 1 - s.Risks.Reclaim
		}
	}
	if len(halls) < 2 {
		return events // no other data hall could take over
	}
	for _, e := range slices.Clone(events) {
		for _, hall := range halls {
			events = append(events, lossEvent{probability: e.probability * s.Risks.HallLost, reclaimed: e.reclaimed, lostHall: hall})
		}
	}
	return events
}

// imbalance returns the number of targets above maxHallRatio over all data
// halls.
func imbalance(halls []string, c Counts) float64 {
	bound := maxHallRatio * float64(c.Total()) / float64(len(halls))
	excess := 0.0
	for _, hall := range halls {
		excess += math.Max(0, float64(c.Hall(hall))-bound)
	}
	return excess
}

// meanPrice returns the mean on-demand price over the data halls.
func (s *PlanInput) meanPrice() float64 {
	sum := 0.0
	for _, hall := range s.halls() {
		sum += s.Scaling.price(Place{hall, OnDemand})
	}
	return sum / float64(max(1, len(s.Base)))
}

// expectedCost returns the expected cost per second: the price of the targets
// plus the penalties.
func (s *PlanInput) expectedCost(c Counts) float64 { return s.costFunc()(c) }

// costFunc returns expectedCost as a function, with the parts that do not
// depend on the counts computed once.
func (s *PlanInput) costFunc() func(Counts) float64 {
	normal, burst := s.Engine.needOf(*s.Load), s.Engine.needOf(s.Load.scaled(burstFactor))
	halls, events, price := s.halls(), s.lossEvents(), s.meanPrice()
	return func(c Counts) float64 {
		penalty := 0.0
		for _, e := range events {
			left := float64(e.left(halls, c))
			penalty += e.probability * ((1-s.Risks.Burst)*normal.penalty(left) + s.Risks.Burst*burst.penalty(left))
		}
		return s.Scaling.Cost(c) + price*(penalty+delayPenalty*imbalance(halls, c))
	}
}

// penalty returns the penalty for running with the given number of targets.
func (n need) penalty(targets float64) float64 {
	return refusalPenalty*math.Max(0, n.minimum-targets) + delayPenalty*math.Max(0, n.comfort-targets)
}

// stepSizes are the step sizes of the local search, largest first.
var stepSizes = []int{16, 4, 1}

// searchLeastCost runs a local search for the lowest expected cost, starting at
// the guess. Each change, as listed by moves, keeps the limits of apply. The result
// never costs more than the guess, but may be a local minimum.
func (s *PlanInput) searchLeastCost(guess Counts) Counts {
	cost, base := s.costFunc(), s.onDemandBase()
	best, lowest := maps.Clone(guess), cost(guess)
	for _, step := range stepSizes {
		for improved := true; improved; {
			improved = false
			for _, change := range s.moves(step) {
				next, ok := s.apply(best, change, base)
				if !ok {
					continue
				}
				if c := cost(next); c < lowest-minGain {
					best, lowest, improved = next, c, true
				}
			}
		}
	}
	return best
}

// minGain is the improvement of the expected cost below which the search does not
// take a change, in the unit of Scaling.Prices.
const minGain = 1e-6

// moves lists the candidate moves of one step size: at one place, from one
// place to another, and at all data halls.
func (s *PlanInput) moves(step int) []Counts {
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

// apply returns the counts with a change applied; false if the result
// violates a limit.
func (s *PlanInput) apply(c, change, base Counts) (Counts, bool) {
	next := maps.Clone(c)
	for p, n := range change {
		next[p] += n
	}
	for p := range change {
		if next[p] < base[p] || next[p] > s.maxAt(next, p) || next.Hall(p.DataHall) < min(c.Hall(p.DataHall), s.Scaling.Min) {
			return nil, false
		}
	}
	return next, true
}
