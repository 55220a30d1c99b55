package balance

import (
	"cmp"
	"slices"
	"time"
)

// Nodes with the same information that select at the same time select the same engine,
// the fastest idle one, and the more so the fresher their information. So the selection
// is sampled from the best engines, as many as there are probably concurrent selections
// that this node cannot know of yet.

const (
	// candidatesPerConcurrent is the number of engines sampled from per concurrent
	// selection: with two, four in ten selections collide; with one, six.
	candidatesPerConcurrent = 2.0
	// negligibleConcurrent is the number of concurrent selections up to which the best
	// engine is taken: collisions are rare then.
	negligibleConcurrent = 0.5
	// minRunMS is a lower bound of the estimated run duration, in milliseconds: it
	// keeps the number of concurrent selections finite for engines that answer at once.
	minRunMS = 1.0
)

// byScore orders candidates by score, then by list order.
func byScore(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.target.listOrder, b.target.listOrder))
}

// SetPropagationDelay sets how long it takes until most nodes have learned of a new run.
func (t *Tracker) SetPropagationDelay(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.propagationDelay = lag
}

// concurrentSelections estimates the number of other selections made until this one is
// known: the runs that begin in that time and, where a data hall failed the request,
// the runs waiting there for their first event, which must move too. Runs that have
// begun resume from their copies. If the best candidate is in another region, the delay
// to that region is added. The caller holds the mutex.
func (t *Tracker) concurrentSelections(s *scan, candidates []candidate) float64 {
	runs, displaced := 0, 0
	for _, h := range s.pool.ordered {
		runs += h.occupancy.runs
		if s.choice.FailedHalls[h.name] > 0 {
			displaced += h.occupancy.pendingPrefills
		}
	}
	lag := t.propagationDelay
	if t.cfg.Topology.MultiRegion() && len(candidates) > 0 && t.inOtherRegion(slices.MinFunc(candidates, byScore).target) {
		lag += t.crossRegionLag
	}
	runsPerLag := float64(lag.Milliseconds()) / max(minRunMS, t.speedOf(s.choice.Service).runMS.value)
	return float64(runs)*runsPerLag + float64(displaced)
}

// sampleBest returns the best candidate or, with many concurrent selections, a random
// one of the best whose scores are within maxExcess milliseconds of the best: the time
// to prefill one more prompt, which is the cost of a collision.
func (t *Tracker) sampleBest(candidates []candidate, concurrent, maxExcess float64) *Target {
	if len(candidates) == 0 {
		return nil
	}
	if concurrent <= negligibleConcurrent || t.cfg.Policy != Predicted {
		return slices.MinFunc(candidates, byScore).target
	}
	slices.SortFunc(candidates, byScore)
	n := min(len(candidates), 1+int(candidatesPerConcurrent*concurrent))
	for n > 1 && candidates[n-1].score > candidates[0].score+maxExcess {
		n--
	}
	return candidates[t.rng.IntN(n)].target
}
