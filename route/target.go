package route

import (
	"math"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
)

// Health and smoothing constants.
const (
	firstBackoff       = 250 * time.Millisecond
	maxBackoff         = 4 * time.Second
	smoothing          = 1.0 / 8 // of mean silence between tokens
	deviationSmoothing = 1.0 / 4 // of its deviation
	silenceDeviations  = 8       // deviations above the mean before a stall is called
	defaultPrefillRate = 4000.0  // tokens a second until a report tells
	firstTokenSlack    = 4       // times the predicted wait before a first token is late
	firstTokenFloor    = 700 * time.Millisecond
	defaultInterval    = 40 * time.Millisecond
	loadWeight         = 30 * time.Millisecond // predicted cost of a full batch
)

// state is what the router knows of one target.
type state struct {
	spec     bundle.Target
	leaving  bool
	draining bool

	report      target.LoadReport
	share       int // requests this node may add near the top until the next report
	own         int // requests of this node there now
	ownAtReport int // the same when the report came
	prefill     int // prompt tokens sent whose first token has not come
	prefillOld  int // the same when the report came
	resumes     int // resumed prefills under way

	failures  int
	downUntil time.Time

	meanSilence time.Duration
	deviation   time.Duration
	seen        bool
}

func newState(t bundle.Target) *state {
	return &state{spec: t, meanSilence: defaultInterval, deviation: defaultInterval}
}

func (r *Router) take(s *state, report target.LoadReport) {
	s.report = report
	s.share = r.shareOf(s)
	s.ownAtReport = s.own
	s.prefillOld = s.prefill
	s.draining = report.Draining
	s.seen = true
	if s.failures > 0 && time.Now().After(s.downUntil) {
		s.failures = 0
	}
}

// shareOf draws how many of a target's free places are this node's: every
// other node reads the same report, and together they must not send more than
// there is room for.
func (r *Router) shareOf(s *state) int {
	free := max(s.slots()-s.report.Running-s.report.Waiting, 0)
	share := float64(free) / float64(max(r.nodes, 1))
	whole := int(share)
	if r.rng.Float64() < share-float64(whole) {
		whole++
	}
	return whole
}

func (s *state) fail(now time.Time) {
	s.failures++
	backoff := firstBackoff << min(s.failures-1, 8)
	s.downUntil = now.Add(min(backoff, maxBackoff))
}

func (s *state) up(now time.Time) bool { return !now.Before(s.downUntil) }

// load predicts the requests at the target now.
func (s *state) load() int {
	return max(s.report.Running+s.report.Waiting+s.own-s.ownAtReport, s.own)
}

func (s *state) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return s.spec.Slots
}

func (s *state) prefillRate() float64 {
	if s.report.PrefillRate > 0 {
		return s.report.PrefillRate
	}
	return defaultPrefillRate
}

// wait predicts the time to first token of a prompt with so many uncached
// tokens.
func (s *state) wait(uncached int) time.Duration {
	ahead := max(s.report.WaitingTokens+s.prefill-s.prefillOld, s.prefill)
	seconds := float64(ahead+uncached) / s.prefillRate()
	busy := float64(s.load()) / float64(s.slots())
	return time.Duration(seconds*float64(time.Second)) + time.Duration(busy*float64(loadWeight))
}

// observe takes the silence before a token.
func (s *state) observe(silence time.Duration) {
	diff := silence - s.meanSilence
	s.meanSilence += time.Duration(smoothing * float64(diff))
	s.deviation += time.Duration(deviationSmoothing * (math.Abs(float64(diff)) - float64(s.deviation)))
}

// silenceLimit is how long a silence may last before it counts as a stall.
func (s *state) silenceLimit(floor, limit time.Duration) time.Duration {
	return min(max(s.meanSilence+silenceDeviations*s.deviation, floor), limit)
}

// live returns the targets of a model that may get new work.
func (r *Router) live(m walnutramp.ModelName, now time.Time) []*state {
	var live []*state
	for _, s := range r.byModel[m] {
		if r.takesWork(s, now) && r.restLeft(s) <= 0 {
			live = append(live, s)
		}
	}
	return live
}

// takesWork reports whether a target may get new work, if not at this moment.
func (r *Router) takesWork(s *state, now time.Time) bool {
	return s.up(now) && !s.leaving && !s.draining && !r.leaving[s.spec.Name]
}

// restLeft returns for how long a target wants nothing from this node.
func (r *Router) restLeft(s *state) time.Duration {
	if r.cfg.RestLeft == nil {
		return 0
	}
	return r.cfg.RestLeft(s.spec)
}

// restOfModel returns how long it takes until the first of a model's targets, which
// all rest, takes work again; 0 if there are none.
func (r *Router) restOfModel(m walnutramp.ModelName, now time.Time) time.Duration {
	var least time.Duration
	for _, s := range r.byModel[m] {
		left := r.restLeft(s)
		if r.takesWork(s, now) && left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// grant finds a place for req now, or returns nil.
func (r *Router) grant(req Request) *Grant {
	live := r.live(req.Model, time.Now())
	var s *state
	if r.cfg.Policy == Predicted {
		s = r.chooseWithRoom(live, req)
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

func (r *Router) chooseWithRoom(live []*state, req Request) *state {
	var room []*state
	for _, s := range live {
		if r.hasRoom(s, req, len(live)) {
			room = append(room, s)
		}
	}
	if len(room) == 0 {
		return nil
	}
	return r.choose(room, req)
}

func (r *Router) hasRoom(s *state, req Request, live int) bool {
	if slices.Contains(req.Avoid, s.spec.Name) && live > 1 {
		return false
	}
	if req.Resume {
		return s.resumes < r.cfg.ResumeRoom
	}
	open := (s.slots()*openShare + 99) / 100
	if !s.seen {
		open = s.slots()
	}
	return s.load() < open || s.load() < s.slots() && s.share > 0
}

// openShare is the percentage of a target's slots up to which nodes send
// without regard to each other.
const openShare = 75

// choose compares a few random candidates, and the one that the prompt's
// beginning maps to, by predicted wait.
func (r *Router) choose(room []*state, req Request) *state {
	best := r.affine(room, req.PromptKey)
	bestWait := time.Duration(math.MaxInt64)
	if best != nil {
		bestWait = r.cost(best, req) - affinityBonus
	}
	for range min(r.cfg.Choices, len(room)) {
		s := room[r.rng.IntN(len(room))]
		if wait := r.cost(s, req); wait < bestWait {
			best, bestWait = s, wait
		}
	}
	return best
}

// affinityBonus is what a likely cached prefix is held to be worth.
const affinityBonus = 20 * time.Millisecond

// affine returns the target that the prompt key ranks first, if it is there.
func (r *Router) affine(room []*state, key uint64) *state {
	if key == 0 {
		return nil
	}
	var best *state
	var top uint64
	for _, s := range room {
		if rank := rankHash(key, string(s.spec.Name)); best == nil || rank > top {
			best, top = s, rank
		}
	}
	return best
}

func (r *Router) cost(s *state, req Request) time.Duration {
	wait := s.wait(req.PromptTokens)
	if s.spec.DataHall != r.cfg.DataHall {
		wait += r.cfg.HallPenalty
	}
	return wait
}
