package route

import (
	"math"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
)

// Constants of health tracking and prediction.
const (
	firstBackoff         = 250 * time.Millisecond
	maxBackoff           = 4 * time.Second
	meanSmoothing        = 1.0 / 8 // weight of the latest gap in the mean gap between tokens
	deviationSmoothing   = 1.0 / 4 // weight of the latest gap in the mean deviation
	stallDeviations      = 8       // deviations above the mean that count as a stall
	defaultPrefillRate   = 4000.0  // tokens per second, if not reported
	firstTokenFactor     = 4       // factor on the predicted wait for the first token
	firstTokenFloor      = 700 * time.Millisecond
	defaultTokenInterval = 40 * time.Millisecond
	fullBatchDelay       = 30 * time.Millisecond // predicted delay of a full batch
)

// targetState is the router's state of one target.
type targetState struct {
	spec     bundle.Target
	leaving  bool
	draining bool

	report          target.LoadReport
	shareLeft       int // requests that this node may add above uncoordinatedShare until the next report
	active          int // this node's active requests
	activeAtReport  int // active when the report arrived
	pendingPrefill  int // prompt tokens sent whose first token is pending
	prefillAtReport int // pendingPrefill when the report arrived
	resumes         int // resumed prefills in progress

	failures  int
	downUntil time.Time

	meanGap      time.Duration
	gapDeviation time.Duration
	reported     bool
}

func newTargetState(t bundle.Target) *targetState {
	return &targetState{spec: t, meanGap: defaultTokenInterval, gapDeviation: defaultTokenInterval}
}

func (r *Router) applyReport(s *targetState, report target.LoadReport) {
	s.report = report
	s.shareLeft = r.drawShare(s)
	s.activeAtReport = s.active
	s.prefillAtReport = s.pendingPrefill
	s.draining = report.Draining
	s.reported = true
	if s.failures > 0 && time.Now().After(s.downUntil) {
		s.failures = 0
	}
}

// drawShare returns this node's share of a target's free slots, rounded randomly: all
// nodes read the same report and must not exceed its free slots together.
func (r *Router) drawShare(s *targetState) int {
	free := max(s.slots()-s.report.Running-s.report.Waiting, 0)
	share := float64(free) / float64(max(r.nodes, 1))
	whole := int(share)
	if r.rng.Float64() < share-float64(whole) {
		whole++
	}
	return whole
}

func (s *targetState) recordFailure(now time.Time) {
	s.failures++
	backoff := firstBackoff << min(s.failures-1, 8)
	s.downUntil = now.Add(min(backoff, maxBackoff))
}

func (s *targetState) backoffOver(now time.Time) bool { return !now.Before(s.downUntil) }

// load predicts the current number of requests at the target.
func (s *targetState) load() int {
	return max(s.report.Running+s.report.Waiting+s.active-s.activeAtReport, s.active)
}

func (s *targetState) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return s.spec.Slots
}

func (s *targetState) prefillRate() float64 {
	if s.report.PrefillRate > 0 {
		return s.report.PrefillRate
	}
	return defaultPrefillRate
}

// predictedWait predicts the time to first token of a prompt with the given uncached
// tokens.
func (s *targetState) predictedWait(uncached int) time.Duration {
	ahead := max(s.report.WaitingTokens+s.pendingPrefill-s.prefillAtReport, s.pendingPrefill)
	seconds := float64(ahead+uncached) / s.prefillRate()
	busy := float64(s.load()) / float64(s.slots())
	return time.Duration(seconds*float64(time.Second)) + time.Duration(busy*float64(fullBatchDelay))
}

// observeGap records the gap before a token.
func (s *targetState) observeGap(gap time.Duration) {
	diff := gap - s.meanGap
	s.meanGap += time.Duration(meanSmoothing * float64(diff))
	s.gapDeviation += time.Duration(deviationSmoothing * (math.Abs(float64(diff)) - float64(s.gapDeviation)))
}

// stallLimit returns the gap that counts as a stall.
func (s *targetState) stallLimit(floor, limit time.Duration) time.Duration {
	return min(max(s.meanGap+stallDeviations*s.gapDeviation, floor), limit)
}

// live returns the targets of a model that accept new work now.
func (r *Router) live(m walnutramp.ModelName, now time.Time) []*targetState {
	var live []*targetState
	for _, s := range r.byModel[m] {
		if r.accepting(s, now) && r.cooldown(s) <= 0 {
			live = append(live, s)
		}
	}
	return live
}

// allows reports whether a request may run at a target.
func (req Request) allows(s *targetState) bool {
	return !req.Bound || s.report.Software == req.Software
}

// usable returns the live targets at which a request may run.
func (r *Router) usable(req Request) []*targetState {
	return slices.DeleteFunc(r.live(req.Model, time.Now()), func(s *targetState) bool { return !req.allows(s) })
}

// accepting reports whether a target accepts new work, if perhaps only after a
// cooldown.
func (r *Router) accepting(s *targetState, now time.Time) bool {
	return s.backoffOver(now) && !s.leaving && !s.draining && !r.leaving[s.spec.Name]
}

// cooldown returns the remaining cooldown of a target.
func (r *Router) cooldown(s *targetState) time.Duration {
	if r.cfg.CooldownLeft == nil {
		return 0
	}
	return r.cfg.CooldownLeft(s.spec)
}

// modelCooldown returns the shortest remaining cooldown of those targets of a model that
// otherwise accept work; 0 if none of them is in cooldown.
func (r *Router) modelCooldown(m walnutramp.ModelName, now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range r.byModel[m] {
		remaining := r.cooldown(s)
		if r.accepting(s, now) && remaining > 0 && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest
}

// grant places req at a target with capacity, or returns nil.
func (r *Router) grant(req Request) *Grant {
	live := r.usable(req)
	var s *targetState
	if r.cfg.Policy == Predicted {
		s = r.chooseWithCapacity(live, req)
	} else {
		s = r.baseline(live)
	}
	if s == nil {
		return nil
	}
	if !req.Resume {
		r.budget.earn()
	}
	return r.place(s, req)
}

func (r *Router) chooseWithCapacity(live []*targetState, req Request) *targetState {
	var candidates []*targetState
	for _, s := range live {
		if r.hasCapacity(s, req, len(live)) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return r.choose(candidates, req)
}

func (r *Router) hasCapacity(s *targetState, req Request, live int) bool {
	if slices.Contains(req.Avoid, s.spec.Name) && live > 1 {
		return false
	}
	if req.Resume {
		return s.resumes < r.cfg.MaxResumes
	}
	limit := (s.slots()*uncoordinatedShare + 99) / 100
	if !s.reported {
		limit = s.slots()
	}
	return s.load() < limit || s.load() < s.slots() && s.shareLeft > 0
}

// uncoordinatedShare is the percentage of a target's slots up to which nodes send without
// coordination.
const uncoordinatedShare = 75

// choose returns the target with the lowest predicted wait among a few random
// candidates and the affinity target of the prompt key.
func (r *Router) choose(candidates []*targetState, req Request) *targetState {
	best := r.affinityTarget(candidates, req.PromptKey)
	bestWait := time.Duration(math.MaxInt64)
	if best != nil {
		bestWait = r.cost(best, req) - affinityBonus
	}
	for range min(r.cfg.Candidates, len(candidates)) {
		s := candidates[r.rng.IntN(len(candidates))]
		if wait := r.cost(s, req); wait < bestWait {
			best, bestWait = s, wait
		}
	}
	return best
}

// affinityBonus is the time saved by a probable prefix-cache hit.
const affinityBonus = 20 * time.Millisecond

// affinityTarget returns the target that ranks highest for the prompt key, nil for key 0.
func (r *Router) affinityTarget(candidates []*targetState, key uint64) *targetState {
	if key == 0 {
		return nil
	}
	var best *targetState
	var top uint64
	for _, s := range candidates {
		if rank := rankHash(key, string(s.spec.Name)); best == nil || rank > top {
			best, top = s, rank
		}
	}
	return best
}

func (r *Router) cost(s *targetState, req Request) time.Duration {
	wait := s.predictedWait(req.PromptTokens)
	if s.spec.DataHall != r.cfg.DataHall {
		wait += r.cfg.HallPenalty
	}
	return wait
}
