package balance

import (
	"time"
)

// Limits on the targets scanned per selection.
const (
	// fullScanLimit is the pool size up to which all targets are scanned.
	fullScanLimit = 64
	// localScan and remoteScan are the numbers of healthy targets that suffice in this
	// node's data hall and in all others together. As many unhealthy ones may be scanned
	// as well.
	localScan  = 24
	remoteScan = 24
	// minHallScan is the minimum of healthy targets in each other data hall.
	minHallScan = 4
	// preferredScan bounds the targets scanned in addition: those that this node owns in its
	// data hall and, for each data hall, those to which it has an idle connection.
	preferredScan = 8
)

// candidate is a target that is eligible for the request, with its score; lower is
// better.
type candidate struct {
	target *Target
	score  float64
}

// exploreInterval is the interval, in selections, at which idle connections are ignored,
// so that new or unused targets get requests too.
const exploreInterval = 8

// scan is the state of one selection.
type scan struct {
	tracker         *Tracker
	choice          *Choice
	pool            *pool
	now             time.Time
	affine          *Target         // affinity target of Choice.Key; may be nil
	cacheHolder     *Target         // most likely to have the prompt cached; may be nil
	spillRegions    map[string]bool // regions that accept spillover; nil for all
	preferConnected bool            // prefer targets with an idle connection
}

// candidates returns the eligible targets that were scanned: in each data hall those
// with the fewest runs, until hallLimit of them are healthy, and those of addPreferred.
// The result is
// valid until the next selection. The caller holds the mutex.
func (s *scan) candidates() []candidate {
	t := s.tracker
	t.scans++
	t.candidates = t.candidates[:0]
	for _, h := range s.pool.ordered {
		s.scanHall(h, s.hallLimit(h))
		s.addLimited(h)
	}
	s.addPreferred()
	return t.candidates
}

// addPreferred considers the targets preferred for this request or by this node.
func (s *scan) addPreferred() {
	if s.affine != nil {
		s.consider(s.affine)
	}
	if s.cacheHolder != nil {
		s.consider(s.cacheHolder)
	}
	if local := s.pool.halls[s.tracker.cfg.DataHall]; local != nil {
		s.addSample(local.owned, preferredScan)
	}
	for _, h := range s.pool.ordered {
		s.addSample(h.connected, preferredScan)
	}
}

// addSample considers up to limit of the given targets, from a random one on.
func (s *scan) addSample(targets []*Target, limit int) {
	if len(targets) == 0 {
		return
	}
	start := s.tracker.rng.IntN(len(targets))
	for i := range min(limit, len(targets)) {
		s.consider(targets[(start+i)%len(targets)])
	}
}

// hallLimit returns how many healthy targets of a data hall suffice. Policies other than
// Predicted scan all targets.
func (s *scan) hallLimit(h *hallPool) int {
	if s.pool.size <= fullScanLimit || s.tracker.cfg.Policy != Predicted {
		return s.pool.size
	}
	if h.name == s.tracker.cfg.DataHall {
		return localScan
	}
	return max(minHallScan, remoteScan/len(s.pool.ordered))
}

// scanHall considers a data hall's targets by increasing number of runs, starting at a
// random one among those with the same number, until limit of them are healthy.
func (s *scan) scanHall(h *hallPool, limit int) {
	healthy, unhealthy := 0, 0
	for _, bucket := range h.buckets {
		if len(bucket) == 0 {
			continue
		}
		start := s.tracker.rng.IntN(len(bucket))
		for i := range bucket {
			at := start + i
			if at >= len(bucket) {
				at -= len(bucket)
			}
			target := bucket[at]
			if !target.healthy(s.choice, s.now) {
				if unhealthy < limit && s.consider(target) {
					unhealthy++ // selected only if no healthy one is left
				}
				continue
			}
			if s.consider(target) {
				healthy++
			}
			if healthy >= limit {
				return
			}
		}
	}
}

// healthy reports whether a target is neither in backoff nor suspect nor, for a copy,
// unconfirmed. The caller holds the mutex.
func (t *Target) healthy(c *Choice, now time.Time) bool {
	return !now.Before(t.backoffUntil) && !t.suspect(now) && !(c.Copy && t.unconfirmed(now))
}

// consider scores a target and adds it to the candidates if it is eligible. It reports
// whether it did.
func (s *scan) consider(target *Target) bool {
	if target.lastScan == s.tracker.scans {
		return false
	}
	target.lastScan = s.tracker.scans
	backlog := 0.0
	if s.choice.Work != (Work{}) {
		backlog = target.backlog(s.now)
	}
	if !s.eligible(target, backlog) {
		return false
	}
	allowance := s.allowance(target)
	if allowance == NoAllowance {
		return false
	}
	score := target.score(s, backlog)
	if allowance == AllowanceObtainable {
		score += limitedCost
	}
	if target.hall.suspect {
		target.hallSuspectAt = s.now
		score += s.tracker.suspectHallCost(s.choice)
	}
	s.tracker.candidates = append(s.tracker.candidates, candidate{target: target, score: score})
	return true
}

// eligible reports whether a target is eligible for the request: available, with
// capacity, and not reserved for its own region.
func (s *scan) eligible(target *Target, backlog float64) bool {
	c := s.choice
	if !c.HeardSince.IsZero() && target.silent(c.HeardSince, s.now) {
		return false
	}
	if !target.available(s.now) || c.Exclude != nil && c.Exclude(target) {
		return false
	}
	if c.Connected && !s.now.Before(target.connectedUntil) {
		return false
	}
	if c.moves && !target.hasPlace(c, s.now) {
		return false
	}
	return c.Work == (Work{}) || target.fits(c, backlog, s.now) && !s.tracker.reserved(target, s.spillRegions)
}

// anyEligible reports whether any target is eligible.
func (s *scan) anyEligible() bool {
	for _, h := range s.pool.ordered {
		for _, bucket := range h.buckets {
			for _, target := range bucket {
				if s.eligible(target, target.backlog(s.now)) {
					return true
				}
			}
		}
		for _, target := range h.limited.items {
			if s.eligible(target, target.backlog(s.now)) && s.allowance(target) != NoAllowance {
				return true
			}
		}
	}
	return false
}
