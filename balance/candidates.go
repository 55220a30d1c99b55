package balance

import (
	"time"
)

// How many targets a choice looks at. With fewer engines busy than idle, the best of a
// few drawn is as good as the best of all; where all are busy, the best of n drawn is
// among the best n-th part, and a difference there is less than what a choice knows.
const (
	// lookAtAll is up to how many targets of a service all are looked at.
	lookAtAll = 64
	// lookNear and lookFar are how many are looked at in the node's data hall and in
	// the others together.
	lookNear = 24
	lookFar  = 24
	// leastLook is the same in any one data hall.
	leastLook = 4
	// lookTied is how many of the targets that the node owns are looked at beside, and
	// of those to which it keeps a connection.
	lookTied = 8
)

// candidate is a target that may be chosen.
type candidate struct {
	target *Target
	score  float64
}

// lookElsewhere is one in how many choices goes by no kept connections, so that a target
// that is new, or was left alone for a while, gets requests too.
const lookElsewhere = 8

// look is one choice's look at the targets of a service.
type look struct {
	tracker *Tracker
	choice  *Choice
	pool    *pool
	now     time.Time
	home    *Target
	keeper  *Target
	taking  map[string]bool // regions that take the request; nil for all
	keep    bool            // a kept connection speaks for its target
}

// candidates returns the targets that may take the request, as far as they are looked
// at: in each data hall those with the fewest runs, until enough are sound. They are
// valid until the next choice. The caller holds the mutex.
func (l *look) candidates() []candidate {
	t := l.tracker
	t.looks++
	t.candidates = t.candidates[:0]
	for _, h := range l.pool.order {
		l.lookInto(h, l.quota(h))
	}
	l.lookAtTies()
	return t.candidates
}

// lookAtTies considers the targets that the request or the node has a tie to.
func (l *look) lookAtTies() {
	if l.home != nil {
		l.consider(l.home)
	}
	if l.keeper != nil {
		l.consider(l.keeper)
	}
	if near := l.pool.halls[l.tracker.cfg.DataHall]; near != nil {
		l.lookAtSome(near.owned)
	}
	for _, h := range l.pool.order {
		l.lookAtSome(h.kept)
	}
}

// lookAtSome considers a few of some targets, which are drawn.
func (l *look) lookAtSome(targets []*Target) {
	if len(targets) == 0 {
		return
	}
	start := l.tracker.rng.IntN(len(targets))
	for i := range min(lookTied, len(targets)) {
		l.consider(targets[(start+i)%len(targets)])
	}
}

// quota returns how many sound targets of a data hall are enough.
func (l *look) quota(h *hallPool) int {
	if l.pool.size <= lookAtAll || l.tracker.cfg.Policy != Predicted {
		return l.pool.size
	}
	if h.name == l.tracker.cfg.DataHall {
		return lookNear
	}
	return max(leastLook, lookFar/len(l.pool.order))
}

// lookInto considers a data hall's targets, the least busy first and from a place that
// is drawn, until so many are sound.
func (l *look) lookInto(h *hallPool, enough int) {
	sound, unsound := 0, 0
	for _, alike := range h.byRuns {
		if len(alike) == 0 {
			continue
		}
		start := l.tracker.rng.IntN(len(alike))
		for i := range alike {
			at := start + i
			if at >= len(alike) {
				at -= len(alike)
			}
			target := alike[at]
			if !target.sound(l.choice, l.now) {
				if unsound < enough && l.consider(target) {
					unsound++ // taken only where no other is left
				}
				continue
			}
			if l.consider(target) {
				sound++
			}
			if sound >= enough {
				return
			}
		}
	}
}

// sound reports whether nothing is known to have happened to a target. The caller
// holds the mutex.
func (t *Target) sound(c *Choice, now time.Time) bool {
	return !now.Before(t.avoid) && !t.suspect(now) && !(c.Copy && t.unheard(now))
}

// consider makes a target a candidate if it may take the request.
func (l *look) consider(target *Target) bool {
	if target.looked == l.tracker.looks {
		return false
	}
	target.looked = l.tracker.looks
	backlog := 0.0
	if l.choice.Work != (Work{}) {
		backlog = target.backlog(l.now)
	}
	if !l.mayTake(target, backlog) {
		return false
	}
	score := target.score(l, backlog)
	if target.hall.inDoubt {
		target.doubted = l.now
		score += l.tracker.doubtCost(l.choice)
	}
	l.tracker.candidates = append(l.tracker.candidates, candidate{target: target, score: score})
	return true
}

// mayTake reports whether a target may be given the request: it is open, has room, and
// is not kept for its own region.
func (l *look) mayTake(target *Target, backlog float64) bool {
	c := l.choice
	if !target.open(l.now) || c.Exclude != nil && c.Exclude(target) {
		return false
	}
	return c.Work == (Work{}) || target.fits(c, backlog, l.now) && !l.tracker.reserved(target, l.taking)
}

// any reports whether any target may take the request.
func (l *look) any() bool {
	for _, h := range l.pool.order {
		for _, alike := range h.byRuns {
			for _, target := range alike {
				if l.mayTake(target, target.backlog(l.now)) {
					return true
				}
			}
		}
	}
	return false
}
