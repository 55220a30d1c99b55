package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Choice describes the request that a target is selected for.
type Choice struct {
	Service string
	Work    Work
	// Key identifies the request or the prefix that it shares with others; a retry
	// is best sent to the same target.
	Key string
	// Retried says that a request with this key was sent before.
	Retried bool
	// Exclude filters out targets, such as those already tried.
	Exclude func(*Target) bool
	// Allowance reports whether a target with a rate limit may be sent the request; nil if
	// limits do not matter. It must not call the Tracker.
	Allowance func(*Target) Allowance
	// Bounded says that Allowance decides about all targets of the service.
	Bounded bool
	// Copy selects a target to hold a copy of a run, rather than to run the request.
	Copy bool
	// Admission marks a new request: only a target with capacity for it is selected,
	// predicted to begin it within MaxWait.
	Admission bool
	MaxWait   time.Duration // 0 for no limit
	// FirstEventGoal is the objective for the time to the first event of a new request;
	// 0 for as soon as possible.
	FirstEventGoal time.Duration
	// Rank is the number of more urgent ranks, for which memory is reserved.
	Rank int
	// FailedHalls counts the targets by data hall that failed this request.
	FailedHalls map[string]int
	// Connected selects among the targets to which this node has an idle connection.
	Connected bool
	// HeardSince excludes targets that are silent since a time; zero for no limit.
	HeardSince time.Time
	// AvoidHall is a data hall that the target should not be in, if possible.
	AvoidHall string

	moves         bool    // for a run that may be given up for the target
	meanRunTokens float64 // mean memory of the service's runs, in tokens
}

// Costs in milliseconds of wait.
const (
	backoffCost = 1e6

	copySuspectCost    = 5e4
	runSuspectCost     = 300.0
	hallSuspectCost    = 1500.0
	failedHallCost     = 400.0 // per target of the data hall that failed the request
	sameHallCost       = 1e4
	tieBreakNoise      = 20.0
	randomRange        = 100.0
	requestCost        = 15.0  // per active run at an engine
	interferenceWeight = 0.6   // part of the prefill time charged per active run that it delays
	affinityBonus      = 250.0 // for the affinity target of the key
	cachedReadShare    = 0.2   // part of a cached prompt that is prefilled again
	// connectedBonus is the bonus for a target with an idle connection: a new one costs a
	// round trip and work of the target, which random differences between equal targets
	// must not outweigh.
	connectedBonus = 25.0
	memoryCost     = 100.0 // per thousand tokens above softMemoryShare
	// reportDelayCost is the cost per millisecond of report delay, in milliseconds of wait:
	// several nodes select the same idle engine during it.
	reportDelayCost = 4.0
	// crossHallGoalShare is the part of FirstEventGoal by which a new stream must begin
	// sooner in another data hall to be sent there. Beginning sooner than that goal gains
	// nothing, and a link between halls may lose packets.
	crossHallGoalShare = 0.25
	slotCost           = 30.0 // per request ahead at a plain service, divided by its slots
)

// Pick returns the best target; nil if none is eligible or, for a copy, if the service
// lacks memory. Targets in backoff are selected only if no other is left.
func (t *Tracker) Pick(c Choice) *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.pick(&c)
	if best != nil {
		t.roundRobinSeq++
		best.roundRobinSeq = t.roundRobinSeq
	}
	return best
}

// pick is Pick. The caller holds the mutex.
func (t *Tracker) pick(c *Choice) *Target {
	s := t.newScan(c)
	if c.Copy && !t.hasMemoryForCopy(c, s.pool) {
		return nil
	}
	candidates := s.candidates()
	return t.sampleBest(candidates, t.concurrentSelections(s, candidates), t.prefillMS(c.Service, c.Work.PrefillTokens))
}

// newScan prepares a selection. The caller holds the mutex.
func (t *Tracker) newScan(c *Choice) *scan {
	now := uptime.Now()
	t.expirePeers(now)
	s := &scan{tracker: t, choice: c, pool: t.poolOf(c.Service), now: now, affine: t.affinityTarget(*c, now), cacheHolder: t.likelyCacheHolder(*c, now)}
	s.preferConnected = !c.Copy && t.rng.IntN(exploreInterval) > 0
	s.pool.markSuspectHalls(now)
	c.meanRunTokens = s.pool.meanRunTokens(c)
	s.spillRegions = t.spillRegions(c, s.pool)
	return s
}

// Expected predicts the time to the first event at a target, for comparison with the
// actual one.
func (t *Tracker) Expected(c Choice, at *Target) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	read := at.prefillMS(c.Work.PrefillTokens, now)
	if t.likelyCacheHolder(c, now) == at {
		read *= cachedReadShare
	}
	return time.Duration((at.backlog(now) + read) * float64(time.Millisecond))
}

// WorkAt returns the work of c at a target, less the part of the prompt that is expected
// in its cache.
func (t *Tracker) WorkAt(c Choice, at *Target) Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := c.Work
	if t.likelyCacheHolder(c, uptime.Now()) == at {
		work.PrefillTokens = int(float64(work.PrefillTokens) * cachedReadShare)
		work.Cached = true
	}
	return work
}

// available reports whether a target accepts new work now. The caller holds the mutex.
func (t *Target) available(now time.Time) bool { return t.accepting(now) && !t.cooldown.active(now) }

// accepting reports whether a target accepts new work, if perhaps only after a cooldown: it
// has not ended and is not draining. The caller holds the mutex.
func (t *Target) accepting(now time.Time) bool {
	return !t.ended && t.State != discovery.TargetDraining && !t.refused(now)
}

// affinityTarget returns the affinity target of a key, in this node's data hall if any
// there is available. The caller holds the mutex.
func (t *Tracker) affinityTarget(c Choice, now time.Time) *Target {
	p := t.poolOf(c.Service)
	if c.Key == "" {
		return nil
	}
	if local := p.halls[t.cfg.DataHall]; local != nil {
		if best, _ := local.affinityTarget(c.Key, now); best != nil {
			return best
		}
	}
	var home *Target
	highest := uint64(0)
	for _, h := range p.ordered {
		if target, weight := h.affinityTarget(c.Key, now); target != nil && (home == nil || weight > highest) {
			home, highest = target, weight
		}
	}
	return home
}

// crossHallCost returns the cost of a target in another data hall: links between halls lose
// packets now and then, which delays events, and reports of runs there arrive later. The
// caller holds the mutex.
func (t *Tracker) crossHallCost(choice *Choice, target *Target, now time.Time) float64 {
	if t.inOtherRegion(target) {
		return t.regionCost(choice, target.DataHall, now)
	}
	if choice.Work == (Work{}) {
		return t.cfg.RemoteHallSlotCost
	}
	cost := t.cfg.RemoteHallCost + reportDelayCost*float64(t.crossHallLag.Milliseconds())
	return max(cost, crossHallGoalShare*float64(choice.FirstEventGoal.Milliseconds()))
}

// score returns the predicted wait at a target with the given prefill backlog, plus
// costs, in milliseconds. The caller holds the mutex.
func (t *Target) score(s *scan, backlog float64) float64 {
	cfg, c, now := &t.tracker.cfg, s.choice, s.now
	score := t.tracker.rng.Float64() * tieBreakNoise
	switch cfg.Policy {
	case Random:
		return t.addCommonCosts(c, now, t.tracker.rng.Float64()*randomRange)
	case RoundRobin:
		return t.addCommonCosts(c, now, float64(t.roundRobinSeq))
	case LeastReported:
		return t.addCommonCosts(c, now, score+slotCost*float64(t.load.Running+t.load.Waiting))
	}
	if c.Work == (Work{}) {
		score += t.slotWait(now)
	} else {
		score += t.engineWait(s, backlog)
	}
	if s.preferConnected && now.Before(t.connectedUntil) {
		score -= connectedBonus
	}
	if t.DataHall != cfg.DataHall {
		score += t.tracker.crossHallCost(c, t, now)
	}
	if t.tracker.copyInRunRegion(c, t) {
		score += sameRegionCost
	}
	return t.addCommonCosts(c, now, score)
}

// addCommonCosts adds the costs that apply under every policy. The caller holds the mutex.
func (t *Target) addCommonCosts(c *Choice, now time.Time, score float64) float64 {
	score += failedHallCost * float64(c.FailedHalls[t.DataHall])
	if c.AvoidHall != "" && t.DataHall == c.AvoidHall {
		score += sameHallCost
	}
	if t.suspect(now) || c.Copy && t.unconfirmed(now) {
		score += suspectCost(c)
	}
	if now.Before(t.backoffUntil) {
		score += backoffCost + t.backoffUntil.Sub(now).Seconds()
	}
	if t.refusedPeer(now) {
		score += backoffCost
	}
	return score
}

// slotWait predicts the wait at a plain service from this node's active requests and
// the latest reported load, which decays with age.
func (t *Target) slotWait(now time.Time) float64 {
	halvings := float64(now.Sub(t.loadAt)) / float64(t.tracker.cfg.LoadHalfLife)
	peerLoad := float64(t.load.Running+t.load.Waiting-t.activeAtLoad) * math.Exp2(-halvings)
	wait := (float64(len(t.runs)) + math.Max(0, peerLoad)) * slotCost / float64(max(1, t.Slots))
	return wait + t.slowdownMS(now)
}

// maxSlowdown bounds a reported slowdown, so that one wrong value does not keep a
// target unused for long.
const maxSlowdown = 20.0

// slowdownMS returns the additional processing time at a plain service, in milliseconds,
// from the latest reported slowdown.
func (t *Target) slowdownMS(now time.Time) float64 {
	runMS := &t.tracker.speedOf(t.Service).runMS
	if t.load.Slowdown == 0 || runMS.samples == 0 {
		return 0
	}
	halvings := float64(now.Sub(t.loadAt)) / float64(t.tracker.cfg.SlowdownHalfLife)
	return runMS.value * (min(t.load.Slowdown, maxSlowdown) - 1) * math.Exp2(-halvings)
}

// suspectCost returns the cost of a suspect target. Trying one costs little, unless it
// is to keep a copy.
func suspectCost(c *Choice) float64 {
	if c.Copy {
		return copySuspectCost
	}
	return runSuspectCost
}

// engineWait predicts the time to the first event at an engine, plus the delay of other
// runs there, in milliseconds.
func (t *Target) engineWait(s *scan, backlog float64) float64 {
	c := s.choice
	prefill := t.prefillMS(c.Work.PrefillTokens, s.now)
	if t == s.cacheHolder {
		prefill *= cachedReadShare
	}
	interference := (requestCost + interferenceWeight*prefill) * float64(t.occupancy.runs)
	if t == s.affine && !c.Retried {
		prefill -= affinityBonus
	}
	wait := backlog + prefill + interference - t.ownershipBonus()
	softLimit := softMemoryShare * float64(t.tracker.memoryOf(t.Service))
	if excess := float64(t.occupancy.runTokens+t.occupancy.copyTokens+c.Work.MemoryTokens) - softLimit; excess > 0 {
		wait += memoryCost * excess / 1000
	}
	return wait
}

// backlog predicts how long an engine takes to finish its pending prefills one after
// the other, in milliseconds. The caller holds the mutex.
func (t *Target) backlog(now time.Time) float64 {
	if t.occupancy.pendingPrefills == 0 {
		return 0
	}
	runs := t.pendingPrefills(now)
	slices.SortFunc(runs, func(a, b RunReport) int { return cmp.Compare(b.Age, a.Age) })
	finish := math.Inf(-1) // relative to now
	for _, r := range runs {
		start := -float64(r.Age.Milliseconds())
		// An overdue prefill is assumed to need a while longer.
		finish = math.Max(math.Max(finish, start)+t.prefillMS(r.PendingTokens, now), overduePrefillMS)
	}
	return math.Max(0, finish)
}

// overduePrefillMS is the assumed remaining time of an overdue prefill, in milliseconds.
const overduePrefillMS = 100.0
