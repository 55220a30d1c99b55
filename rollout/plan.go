package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds of a plan.
const (
	// boundDoubt is by how many standard deviations the requests that a new
	// version is to get, up to the deadline and with the last step in it, stay
	// below the site's bound. So the bound holds though the version turns bad at
	// any moment, and more requests come than were expected.
	boundDoubt = 1.5
	// leastCanary is the part of these that it gets before the last step,
	// however short that becomes.
	leastCanary = 0.3
	// mostCanary bounds the share, where the site's slack would allow nearly all
	// of a few requests.
	mostCanary = 0.6
	// settleTime is until when the rate of requests is not known.
	settleTime = 1 * time.Second
	// earlyShare of a stream's canary requests are sent in earlyPart of the time.
	earlyShare = 0.8
	earlyPart  = 0.6
	// mostOfRoute is the most that the new version gets of one route's
	// requests, so that a seldom route is seen about as often as the others.
	mostOfRoute = 0.5
	// badAnswersMost is at how many bad answers beyond the usual a version is
	// taken back whatever else is known: half of what the site counts from.
	badAnswersMost = 25
	// leastAnswers is without how many answers of it a version does not get
	// all requests, however long that takes.
	leastAnswers = 8
	// endMarginPart of the roll-out's time, between the bounds, is left when it
	// is completed: for an acknowledgement that was late, and a new leader.
	endMarginPart     = 0.025
	shortestEndMargin = 300 * time.Millisecond
	longestEndMargin  = 2 * time.Second
	// shortestShift is how long all requests go to the new version before the
	// old targets are given up: a permit and a report, so that no node sends to
	// them any more, and what comes of that is seen.
	shortestShift = 550 * time.Millisecond
	// streamShift is the same of streams, which tell nothing in so short a time:
	// what it saves is for the canary.
	streamShift = 450 * time.Millisecond
	// wholeRun is how much longer old targets are left to finish streams, if
	// the bound on the new version's requests leaves room for it.
	wholeRun = 5 * time.Second
	// enoughPlaces is the part of the old targets' places that the new ones
	// must have to take all requests.
	enoughPlaces = 0.6
	// focusEvery is how long the same few targets get the canary's requests.
	focusEvery = 600 * time.Millisecond
	// focusLeast bounds the part of the targets from below.
	focusLeast = 0.02
)

// Situation is what a plan goes by.
type Situation struct {
	Record    Record
	Elapsed   time.Duration // since the order
	ShiftedAt time.Duration // since the order, when StageShift began
	Sums      map[Key]Counts
	NewPlaces int // of the new version's targets that take work
	OldPlaces int
	Streams   bool // the service's answers are streams
	Verdict   Verdict
}

// Step is what is to be done next.
type Step struct {
	State  State // Running, or how the roll-out ends
	Stage  Stage
	Reason string
	Shares map[string]float64 // by route
	Other  float64
	Focus  Focus
}

// Plan says what is to be done next.
func (b Bounds) Plan(s Situation) Step {
	if reason := s.bad(); reason != "" {
		return Step{State: RolledBack, Reason: reason}
	}
	end := s.Record.Duration - s.endMargin()
	if s.Record.Stage == StageShift {
		return b.shift(s, end)
	}
	if s.Elapsed >= end {
		return Step{State: RolledBack, Reason: s.unready()}
	}
	if s.unready() == "" && s.Elapsed >= end-b.shiftTime(s) {
		return Step{State: Running, Stage: StageShift, Other: 1, Focus: Focus{Part: 1}, Reason: "no evidence against the version"}
	}
	return b.canary(s)
}

// bad says why the version is to be taken back now, or nothing.
func (s *Situation) bad() string {
	if s.Verdict.Bad {
		return "bad: " + s.Verdict.Evidence
	}
	if s.Verdict.Excess >= badAnswersMost {
		return "too many bad answers"
	}
	return ""
}

// unready says why the version may not get all requests, or nothing.
func (s *Situation) unready() string {
	switch {
	case s.NewPlaces == 0:
		return "no target of the version"
	case float64(s.NewPlaces) < enoughPlaces*float64(s.OldPlaces):
		return "too few targets of the version"
	case s.Verdict.Answers < leastAnswers:
		return "too few answers of the version"
	case s.Verdict.Doubtful:
		return "doubtful: " + s.Verdict.Evidence
	}
	return ""
}

func (s *Situation) endMargin() time.Duration {
	part := time.Duration(endMarginPart * float64(s.Record.Duration))
	return min(max(part, shortestEndMargin), longestEndMargin)
}

// shift goes on with the last step until it is completed.
func (b Bounds) shift(s Situation, end time.Duration) Step {
	shifted := s.Elapsed - s.ShiftedAt
	all, exposed := s.requests()
	finished := shifted >= s.longestShift() || exposed >= b.allowed(all)
	if shifted >= s.leastShift() && (finished || s.Elapsed >= end) {
		if s.Verdict.Doubtful {
			return Step{State: RolledBack, Reason: "doubtful: " + s.Verdict.Evidence}
		}
		return Step{State: Completed, Stage: StageShift, Reason: "no evidence against the version"}
	}
	return Step{State: Running, Stage: StageShift, Other: 1, Focus: Focus{Part: 1}}
}

func (s *Situation) leastShift() time.Duration {
	if s.Streams {
		return streamShift
	}
	return shortestShift
}

func (s *Situation) longestShift() time.Duration {
	if s.Streams {
		return wholeRun
	}
	return shortestShift
}

// shiftTime is how long before the end all requests go to the new version: as
// long as old targets need to finish, if the requests that it gets until the
// deadline stay within the bound though it turns bad meanwhile.
func (b Bounds) shiftTime(s Situation) time.Duration {
	wanted := s.longestShift()
	all, exposed := s.requests()
	if s.Elapsed <= 0 || all == 0 {
		return wanted
	}
	perS := all / s.Elapsed.Seconds()
	left := b.allowed(perS*s.Record.Duration.Seconds()) - exposed
	room := time.Duration(left/perS*float64(time.Second)) - s.endMargin()
	return min(max(room, s.leastShift()), wanted)
}

// allowed is how many requests a new version may get, of so many.
func (b Bounds) allowed(all float64) float64 {
	bound := b.Share*all + b.Slack
	return max(0, bound-boundDoubt*math.Sqrt(bound))
}

// requests returns the requests of the service that were sent since the order,
// and those of them that went to the new version.
func (s *Situation) requests() (all, exposed float64) {
	for key, counts := range s.Sums {
		all += float64(counts.Sent)
		if key.Version == s.Record.Target {
			exposed += float64(counts.Sent)
		}
	}
	return all, exposed
}

// canary shares the requests that the new version gets among the routes, so
// that each is seen about as often.
func (b Bounds) canary(s Situation) Step {
	step := Step{State: Running, Stage: StageCanary}
	all, exposed := s.requests()
	if s.NewPlaces == 0 || exposed > b.allowed(all) {
		return step // with no share
	}
	share := b.canaryShare(s, all)
	byRoute := map[string]float64{}
	for key, counts := range s.Sums {
		byRoute[key.Route] += float64(counts.Sent)
	}
	step.Other = share
	step.Shares = evenShares(byRoute, share)
	step.Focus = Focus{Round: uint64(s.Elapsed / focusEvery), Part: max(share, focusLeast)}
	return step
}

// canaryShare returns the share of all requests that the new version gets until
// they all go to it.
func (b Bounds) canaryShare(s Situation, all float64) float64 {
	if s.Elapsed < settleTime || all == 0 {
		return leastCanary * b.Share
	}
	perS := all / s.Elapsed.Seconds()
	last := s.endMargin() + s.leastShift()
	allowed := b.allowed(perS * s.Record.Duration.Seconds())
	allowed = max(allowed-perS*last.Seconds(), leastCanary*allowed)
	share := allowed / (perS * max(s.Record.Duration-last, settleTime).Seconds())
	if s.Streams {
		share *= s.frontLoad()
	}
	return min(share, mostCanary)
}

// frontLoad is how many times its mean share the new version gets now: most of
// it early where answers take long, since those that have not come before the
// last step say nothing.
func (s *Situation) frontLoad() float64 {
	if s.Elapsed.Seconds() < earlyPart*s.Record.Duration.Seconds() {
		return earlyShare / earlyPart
	}
	return (1 - earlyShare) / (1 - earlyPart)
}

// evenShares returns the share of each route's requests with which all routes
// are seen equally often, as far as mostOfRoute lets them, and the share of all
// requests is kept to.
func evenShares(byRoute map[string]float64, share float64) map[string]float64 {
	shares := map[string]float64{}
	left := 0.0
	for _, n := range byRoute {
		left += share * n
	}
	routes := slices.SortedFunc(maps.Keys(byRoute), func(a, b string) int {
		return cmp.Or(cmp.Compare(byRoute[a], byRoute[b]), cmp.Compare(a, b))
	})
	for i, route := range routes {
		n := byRoute[route]
		if n == 0 {
			continue
		}
		part := min(left/float64(len(routes)-i), mostOfRoute*n)
		shares[route] = part / n
		left -= part
	}
	return shares
}
