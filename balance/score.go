package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Choice says what a target is wanted for.
type Choice struct {
	Service string
	Work    Work
	// Key names what the request shares with others of its own; a request
	// that comes again is best sent where the first one went.
	Key string
	// Again says that the request with this key came before.
	Again bool
	// Exclude leaves targets out, such as those already tried.
	Exclude func(*Target) bool
	// Copy says that the target is to keep a copy of a run.
	Copy bool
	// Admission says that the request is new: only a target with room for it
	// is picked, where it is predicted to begin within a time.
	Admission bool
	Within    time.Duration // 0 for no bound
	// Aim is within which the answer of a new request has to begin; 0 for as
	// soon as can be.
	Aim time.Duration
	// Rank counts the ranks of more urgent requests, for which some room is
	// kept.
	Rank int
	// FailedHalls counts the targets in a data hall that failed this request.
	FailedHalls map[string]int
	// OtherHall asks for a data hall that is not this one, if one is there.
	OtherHall string

	usualHold float64 // what a run of the service takes up, in tokens
}

// Costs in milliseconds of waiting.
const (
	avoidCost = 1e6

	copySuspectCost = 5e4
	trySuspectCost  = 300.0
	doubtCost       = 1500.0
	failedHallCost  = 400.0 // for each target of the data hall that failed the request
	sameHallCost    = 1e4
	noiseCost       = 20.0
	randomCost      = 100.0
	requestCost     = 15.0  // of one more request under way at an engine
	crowdWeight     = 0.6   // of the time that reading takes from each run under way there
	homeGain        = 250.0 // for the target that the key names, so that it is found again
	keptRead        = 0.2   // share of a prompt read again where it was read before
	// keptGain is for a target to which a connection is kept: a new one takes a round trip
	// and work of the target, and what is drawn between targets alike must not outweigh it.
	keptGain   = 25.0
	memoryCost = 100.0 // for each thousand tokens beyond a comfortable memory
	// unseenCost is what a millisecond without word of other nodes costs, in
	// milliseconds of waiting: several nodes choose the same idle engine in it.
	unseenCost = 4.0
	// nearShare is the part of its aim by which a new stream must begin sooner
	// at an engine in another data hall to be sent there. To begin sooner than
	// the aim gains nothing, and between halls each event is at the mercy of a
	// link.
	nearShare = 0.25
	slotCost  = 30.0 // a request before this one at a plain service, times its share of the slots
)

// Pick returns the best target, or nil. Targets that lately failed are taken
// only where no other is left.
func (t *Tracker) Pick(c Choice) *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookFor(&c)
	if c.Copy && !t.roomForCopies(&c, l.pool) {
		return nil
	}
	candidates := l.candidates()
	best := t.draw(candidates, t.rivals(l, candidates), t.readMS(c.Service, c.Work.Read))
	if best != nil {
		t.turn++
		best.turn = t.turn
	}
	return best
}

// lookFor returns a look for a choice. The caller holds the mutex.
func (t *Tracker) lookFor(c *Choice) *look {
	now := uptime.Now()
	t.forgetSilentNodes(now)
	l := &look{tracker: t, choice: c, pool: t.poolOf(c.Service), now: now, home: t.home(*c, now), keeper: t.keeper(*c, now)}
	l.keep = !c.Copy && t.rng.IntN(lookElsewhere) > 0
	l.pool.findDoubt(now)
	c.usualHold = l.pool.usualHold(c)
	l.taking = t.spillRegions(c, l.pool)
	return l
}

// Expected predicts the time to the first event at a target, for whoever
// compares it with what came.
func (t *Tracker) Expected(c Choice, at *Target) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	read := at.readMS(c.Work.Read, now)
	if t.keeper(c, now) == at {
		read *= keptRead
	}
	return time.Duration((at.backlog(now) + read) * float64(time.Millisecond))
}

// Kept returns what a request asks of a target: where its prompt was read
// before, most of it is in the cache.
func (t *Tracker) Kept(c Choice, at *Target) Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := c.Work
	if t.keeper(c, uptime.Now()) == at {
		work.Read = int(float64(work.Read) * keptRead)
		work.Cached = true
	}
	return work
}

// open reports whether a target takes new work now. The caller holds the mutex.
func (t *Target) open(now time.Time) bool { return t.there(now) && !t.rest.holds(now) }

// there reports whether a target takes new work, if not at this moment: it has not
// ended and does not leave. The caller holds the mutex.
func (t *Target) there(now time.Time) bool {
	return !t.gone && t.State != discovery.TargetDraining && now.Sub(t.refused) > refusedLife
}

// home returns the target that a key names, in this node's data hall if any there
// takes work. The caller holds the mutex.
func (t *Tracker) home(c Choice, now time.Time) *Target {
	p := t.poolOf(c.Service)
	if c.Key == "" {
		return nil
	}
	if near := p.halls[t.cfg.DataHall]; near != nil {
		if home, _ := near.home(c.Key, now); home != nil {
			return home
		}
	}
	var home *Target
	highest := uint64(0)
	for _, h := range p.order {
		if target, weight := h.home(c.Key, now); target != nil && (home == nil || weight > highest) {
			home, highest = target, weight
		}
	}
	return home
}

// farCost is what speaks against a target in another data hall: the links
// between halls lose packets now and then, and every event that is sent anew
// comes late. Besides, what other nodes have just begun there is known later
// than what they began in the own hall.
func (t *Tracker) farCost(choice *Choice, target *Target, now time.Time) float64 {
	if t.inOtherRegion(target) {
		return t.regionCost(choice, target.DataHall, now)
	}
	if choice.Work == (Work{}) {
		return t.cfg.FarSlotCost
	}
	known := t.cfg.FarCost + unseenCost*float64(t.farLag.Milliseconds())
	return max(known, nearShare*float64(choice.Aim.Milliseconds()))
}

// score is the wait expected at a target that has so long to read, in milliseconds,
// with what else speaks against it. The caller holds the mutex.
func (t *Target) score(l *look, backlog float64) float64 {
	cfg, c, now := &t.tracker.cfg, l.choice, l.now
	score := t.tracker.rng.Float64() * noiseCost
	switch cfg.Policy {
	case Random:
		return t.common(c, now, t.tracker.rng.Float64()*randomCost)
	case RoundRobin:
		return t.common(c, now, float64(t.turn))
	case LeastReported:
		return t.common(c, now, score+slotCost*float64(t.told.Running+t.told.Waiting))
	}
	if c.Work == (Work{}) {
		score += t.slotWait(now)
	} else {
		score += t.engineWait(l, backlog)
	}
	if l.keep && now.Before(t.keptUntil) {
		score -= keptGain
	}
	if t.DataHall != cfg.DataHall {
		score += t.tracker.farCost(c, t, now)
	}
	if t.tracker.inRegionOfRun(c, t) {
		score += sameRegionCost
	}
	return t.common(c, now, score)
}

// common adds what speaks against a target under every policy. The caller holds
// the mutex.
func (t *Target) common(c *Choice, now time.Time, score float64) float64 {
	score += failedHallCost * float64(c.FailedHalls[t.DataHall])
	if c.OtherHall != "" && t.DataHall == c.OtherHall {
		score += sameHallCost
	}
	if t.suspect(now) || c.Copy && t.unheard(now) {
		score += suspectCost(c)
	}
	if now.Before(t.avoid) {
		score += avoidCost + t.avoid.Sub(now).Seconds()
	}
	return score
}

// slotWait is the wait at a plain service: own requests are known, others'
// from what the target told last, which counts less as it grows older.
func (t *Target) slotWait(now time.Time) float64 {
	halvings := float64(now.Sub(t.toldAt)) / float64(t.tracker.cfg.LoadHalfLife)
	others := float64(t.told.Running+t.told.Waiting-t.own) * math.Exp2(-halvings)
	wait := (float64(len(t.runs)) + math.Max(0, others)) * slotCost / float64(max(1, t.Slots))
	return wait + t.extraWork(now)
}

// mostSlowdown bounds a told slowdown: one wrong figure must not keep a target out
// of use for long.
const mostSlowdown = 20.0

// extraWork is how much longer than usual a request takes at a plain service, in
// milliseconds, by the slowdown that the target told last.
func (t *Target) extraWork(now time.Time) float64 {
	whole := &t.tracker.paceOf(t.Service).wholeMS
	if t.told.Slowdown == 0 || whole.seen == 0 {
		return 0
	}
	halvings := float64(now.Sub(t.toldAt)) / float64(t.tracker.cfg.SlowdownHalfLife)
	return whole.value * (min(t.told.Slowdown, mostSlowdown) - 1) * math.Exp2(-halvings)
}

// suspectCost is what speaks against a target that may have ended. To find
// out costs little, unless it were to keep a copy.
func suspectCost(c *Choice) float64 {
	if c.Copy {
		return copySuspectCost
	}
	return trySuspectCost
}

// engineWait predicts the time to the first event of an engine, and what the
// run would cost others there, in milliseconds.
func (t *Target) engineWait(l *look, backlog float64) float64 {
	c := l.choice
	read := t.readMS(c.Work.Read, l.now)
	if t == l.keeper {
		read *= keptRead
	}
	crowd := (requestCost + crowdWeight*read) * float64(t.taken.runs)
	if t == l.home && !c.Again {
		read -= homeGain
	}
	wait := backlog + read + crowd - t.ownershipGain()
	comfort := comfortShare * float64(t.tracker.memoryOf(t.Service))
	if over := float64(t.taken.held+t.taken.copies+c.Work.Hold) - comfort; over > 0 {
		wait += memoryCost * over / 1000
	}
	return wait
}

// backlog is how long an engine still reads the prompts that came before, in
// milliseconds, if it reads them one after the other. The caller holds the
// mutex.
func (t *Target) backlog(now time.Time) float64 {
	if t.taken.unread == 0 {
		return 0
	}
	runs := t.unreadRuns(now)
	slices.SortFunc(runs, func(a, b Shared) int { return cmp.Compare(b.Age, a.Age) })
	finish := math.Inf(-1) // relative to now
	for _, r := range runs {
		start := -float64(r.Age.Milliseconds())
		// A prompt whose time is over but that is not read yet is held to
		// need a while longer.
		finish = math.Max(math.Max(finish, start)+t.readMS(r.Read, now), lateRead)
	}
	return math.Max(0, finish)
}

// lateRead is what an overdue prompt is held to need still, in milliseconds.
const lateRead = 100.0
