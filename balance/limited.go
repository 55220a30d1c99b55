package balance

// A target that publishes a rate limit rejects most of the requests that a target of its
// load could take. Such targets are kept apart from the others, so that a selection does
// not pass over thousands of them when few have a permit left.

// Allowance says whether a request may be sent to a target with a rate limit.
type Allowance int

// The allowances.
const (
	NoAllowance         Allowance = iota // the limit leaves none
	AllowanceObtainable                  // after a wait, or from another node
	AllowanceInHand
)

// limitedScan bounds the targets with a rate limit that are scanned in each data hall:
// as many again of those of which this node has a part of the rate.
const limitedScan = 8

// limitedCost is the cost of a target with a rate limit, in milliseconds of wait, unless
// this node has a permit in hand: others are preferred, but not as long as they are loaded.
const limitedCost = 20.0

// targetSet is a set of targets in arbitrary order.
type targetSet struct {
	items []*Target
	index map[*Target]int
}

func (s *targetSet) add(t *Target) {
	if _, in := s.index[t]; in {
		return
	}
	if s.index == nil {
		s.index = map[*Target]int{}
	}
	s.index[t] = len(s.items)
	s.items = append(s.items, t)
}

func (s *targetSet) remove(t *Target) {
	at, in := s.index[t]
	if !in {
		return
	}
	last := s.items[len(s.items)-1]
	s.items[at], s.index[last] = last, at
	s.items[len(s.items)-1] = nil
	s.items = s.items[:len(s.items)-1]
	delete(s.index, t)
}

// SetLimited records whether a target publishes a rate limit, and whether this node has a
// part of its rate. It ignores an incarnation that is not listed.
func (t *Tracker) SetLimited(incarnation string, limited, owned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.byIncarnation[incarnation]
	if target == nil {
		return
	}
	target.removeFromHall()
	target.limited, target.limitOwned = limited, limited && owned
	target.addToHall()
}

// addToHall indexes the target in its data hall: by its number of runs, or among those
// with a rate limit.
func (t *Target) addToHall() {
	if !t.limited {
		t.addToBucket()
		return
	}
	t.hall.limited.add(t)
	if t.limitOwned {
		t.hall.limitOwned.add(t)
	}
}

func (t *Target) removeFromHall() {
	if !t.limited {
		t.removeFromBucket()
		return
	}
	t.hall.limited.remove(t)
	t.hall.limitOwned.remove(t)
}

// addLimited considers targets with a rate limit that have an allowance.
func (s *scan) addLimited(h *hallPool) {
	s.addSample(h.limitOwned.items, limitedScan)
	s.addSample(h.limited.items, limitedScan)
}

// allowance returns whether the request may be sent to a target despite its rate limit, or
// its slots.
func (s *scan) allowance(t *Target) Allowance {
	if !t.limited && !s.choice.Bounded || s.choice.Allowance == nil {
		return AllowanceInHand
	}
	return s.choice.Allowance(t)
}
