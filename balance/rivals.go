package balance

import (
	"cmp"
	"slices"
	"time"
)

// Nodes that know the same and choose at the same moment choose the same engine:
// the fastest idle one. The fresher their knowledge, the more so. So a choice is
// drawn among as many of the best engines as there are choices at the same time,
// most likely, that this node can't know of yet.

const (
	// roomPerRival is how many engines are drawn among for each other choice:
	// with two, four in ten choices meet another one; with one, six.
	roomPerRival = 2.0
	// fewRivals is up to how many of them the best engine is taken: it is rarely
	// another one's, too.
	fewRivals = 0.5
	// shortestRunMS bounds the estimate of a whole run from below, in
	// milliseconds: engines that answer at once would have endless rivals.
	shortestRunMS = 1.0
)

// byScore puts the best first, of those alike the one listed first.
func byScore(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.target.order, b.target.order))
}

// SetNewsLag says how long it takes until most nodes know what one has begun.
func (t *Tracker) SetNewsLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newsLag = lag
}

// rivals is how many other choices are made, most likely, until this one is
// known: as many as runs begin in that time, and, where a data hall failed the
// request, as many as wait there for their first event and must go elsewhere,
// too. Those that have begun go on from their copies. Where the best candidate is
// in another region, its own nodes hear of the choice that much later. The caller
// holds the mutex.
func (t *Tracker) rivals(l *look, candidates []candidate) float64 {
	runs, displaced := 0, 0
	for _, h := range l.pool.order {
		runs += h.taken.runs
		if l.choice.FailedHalls[h.name] > 0 {
			displaced += h.taken.unread
		}
	}
	lag := t.newsLag
	if t.cfg.Topology.Several() && len(candidates) > 0 && t.inOtherRegion(slices.MinFunc(candidates, byScore).target) {
		lag += t.regionLag
	}
	wholeRuns := float64(lag.Milliseconds()) / max(shortestRunMS, t.paceOf(l.choice.Service).wholeMS.value)
	return float64(runs)*wholeRuns + float64(displaced)
}

// draw takes the best candidate, or, among many rivals, one of the best, of
// which none is worse than the best by more than a time in milliseconds: that of
// reading one more prompt, which is what meeting a rival would cost.
func (t *Tracker) draw(candidates []candidate, rivals, worse float64) *Target {
	if len(candidates) == 0 {
		return nil
	}
	if rivals <= fewRivals || t.cfg.Policy != Predicted {
		return slices.MinFunc(candidates, byScore).target
	}
	slices.SortFunc(candidates, byScore)
	n := min(len(candidates), 1+int(roomPerRival*rivals))
	for n > 1 && candidates[n-1].score > candidates[0].score+worse {
		n--
	}
	return candidates[t.rng.IntN(n)].target
}
