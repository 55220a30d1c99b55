package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the planner.
const (
	// boundSigmas is the safety margin, in standard deviations, by which the
	// requests planned for the new version stay below the site's bound. It
	// covers random variation and traffic growth.
	boundSigmas = 1.5
	// minCanaryPart is the part of the allowed requests reserved for the canary
	// stage.
	minCanaryPart = 0.3
	// maxCanaryShare limits the canary share, since Slack would otherwise allow
	// nearly all requests of a low-traffic service.
	maxCanaryShare = 0.6
	// settleTime is the time after the order during which the request rate is
	// not yet known.
	settleTime = 1 * time.Second
	// For streams, earlyShare of the canary requests are sent in the first
	// earlyPart of the rollout.
	earlyShare = 0.8
	earlyPart  = 0.6
	// maxRouteShare limits the canary share of one route, which is raised for
	// low-traffic routes to sample all routes evenly.
	maxRouteShare = 0.5
	// maxExcessBad is the number of excess bad answers at which a version is
	// rolled back regardless of Score: half of the 50 from which
	// Bounds.StopWithin counts.
	maxExcessBad = 25
	// minAnswers is the number of answers of the new version needed to promote
	// it.
	minAnswers = 8
	// endMarginPart is the fraction of the duration, within the limits below,
	// left before the deadline for late acknowledgements and a leader change.
	endMarginPart = 0.025
	minEndMargin  = 300 * time.Millisecond
	maxEndMargin  = 2 * time.Second
	// minShift is the shortest time that all requests go to the new version
	// before the rollout completes: time for permits to reach all nodes and for
	// their reports to come back.
	minShift = 550 * time.Millisecond
	// minStreamShift is the minimum for streams, which yield hardly any samples
	// in that time; a longer canary stage is more useful.
	minStreamShift = 450 * time.Millisecond
	// maxStreamShift is the longest time that old targets are given to finish
	// streams, if the exposure bound allows it.
	maxStreamShift = 5 * time.Second
	// minCapacityRatio is the part of the old version's capacity that the new
	// version needs before it is promoted.
	minCapacityRatio = 0.6
	// focusPeriod is how long the canary stage uses the same selection of
	// targets.
	focusPeriod = 600 * time.Millisecond
	// minFocusPart is the smallest fraction of targets selected.
	minFocusPart = 0.02
)

// PlanInput is the input of a plan.
type PlanInput struct {
	Record    Record
	Elapsed   time.Duration // since the order
	ShiftedAt time.Duration // since the order, start of StageShift
	Sums      map[Key]Counts
	NewSlots  int  // total slots of the new version's available targets
	OldSlots  int  // total slots of the old version's targets
	Streams   bool // the service's answers are streams
	Verdict   Verdict
}

// Step is the next action of a rollout.
type Step struct {
	State  State // Running, or the final state
	Stage  Stage
	Reason string
	Shares map[string]float64 // canary share by route
	Other  float64
	Focus  Focus
}

// Plan returns the next step of a rollout.
func (b Bounds) Plan(s PlanInput) Step {
	if reason := s.rollbackReason(); reason != "" {
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

// rollbackReason returns why the version must be rolled back now, or "".
func (s *PlanInput) rollbackReason() string {
	if s.Verdict.Bad {
		return "bad: " + s.Verdict.Evidence
	}
	if s.Verdict.Excess >= maxExcessBad {
		return "too many bad answers"
	}
	return ""
}

// unready returns why the version may not be promoted, or "".
func (s *PlanInput) unready() string {
	switch {
	case s.NewSlots == 0:
		return "no target of the version"
	case float64(s.NewSlots) < minCapacityRatio*float64(s.OldSlots):
		return "too few targets of the version"
	case s.Verdict.Answers < minAnswers:
		return "too few answers of the version"
	case s.Verdict.Doubtful:
		return "doubtful: " + s.Verdict.Evidence
	}
	return ""
}

func (s *PlanInput) endMargin() time.Duration {
	part := time.Duration(endMarginPart * float64(s.Record.Duration))
	return min(max(part, minEndMargin), maxEndMargin)
}

// shift plans StageShift until the rollout completes.
func (b Bounds) shift(s PlanInput, end time.Duration) Step {
	shifted := s.Elapsed - s.ShiftedAt
	all, exposed := s.requests()
	drained := shifted >= s.shiftMax() || exposed >= b.allowance(all)
	if shifted >= s.shiftMin() && (drained || s.Elapsed >= end) {
		if s.Verdict.Doubtful {
			return Step{State: RolledBack, Reason: "doubtful: " + s.Verdict.Evidence}
		}
		return Step{State: Completed, Stage: StageShift, Reason: "no evidence against the version"}
	}
	return Step{State: Running, Stage: StageShift, Other: 1, Focus: Focus{Part: 1}}
}

func (s *PlanInput) shiftMin() time.Duration {
	if s.Streams {
		return minStreamShift
	}
	return minShift
}

func (s *PlanInput) shiftMax() time.Duration {
	if s.Streams {
		return maxStreamShift
	}
	return minShift
}

// shiftTime returns how long before the end StageShift begins: the time that
// old targets need to drain, shortened so that the requests to the new version
// stay within the bound up to the deadline.
func (b Bounds) shiftTime(s PlanInput) time.Duration {
	wanted := s.shiftMax()
	all, exposed := s.requests()
	if s.Elapsed <= 0 || all == 0 {
		return wanted
	}
	perS := all / s.Elapsed.Seconds()
	remaining := b.allowance(perS*s.Record.Duration.Seconds()) - exposed
	room := time.Duration(remaining/perS*float64(time.Second)) - s.endMargin()
	return min(max(room, s.shiftMin()), wanted)
}

// allowance returns the number of requests that a new version may receive out
// of all, with the safety margin.
func (b Bounds) allowance(all float64) float64 {
	bound := b.Share*all + b.Slack
	return max(0, bound-boundSigmas*math.Sqrt(bound))
}

// requests returns the number of requests sent since the order, and how many of
// them went to the new version.
func (s *PlanInput) requests() (all, exposed float64) {
	for key, counts := range s.Sums {
		all += float64(counts.Sent)
		if key.Version == s.Record.Target {
			exposed += float64(counts.Sent)
		}
	}
	return all, exposed
}

// canary plans StageCanary. It distributes the canary requests over the routes
// so that all are sampled about equally.
func (b Bounds) canary(s PlanInput) Step {
	step := Step{State: Running, Stage: StageCanary}
	all, exposed := s.requests()
	if s.NewSlots == 0 || exposed > b.allowance(all) {
		return step // no requests to the new version
	}
	share := b.canaryShare(s, all)
	byRoute := map[string]float64{}
	for key, counts := range s.Sums {
		byRoute[key.Route] += float64(counts.Sent)
	}
	step.Other = share
	step.Shares = evenShares(byRoute, share)
	step.Focus = Focus{Round: uint64(s.Elapsed / focusPeriod), Part: max(share, minFocusPart)}
	return step
}

// canaryShare returns the share of requests that goes to the new version during
// StageCanary.
func (b Bounds) canaryShare(s PlanInput, all float64) float64 {
	if s.Elapsed < settleTime || all == 0 {
		return minCanaryPart * b.Share
	}
	perS := all / s.Elapsed.Seconds()
	reserved := s.endMargin() + s.shiftMin()
	allowed := b.allowance(perS * s.Record.Duration.Seconds())
	allowed = max(allowed-perS*reserved.Seconds(), minCanaryPart*allowed)
	share := allowed / (perS * max(s.Record.Duration-reserved, settleTime).Seconds())
	if s.Streams {
		share *= s.frontLoad()
	}
	return min(share, maxCanaryShare)
}

// frontLoad returns the factor on the canary share of streams at this time.
// More are sent early, because answers that arrive after the canary stage
// cannot be evaluated.
func (s *PlanInput) frontLoad() float64 {
	if s.Elapsed.Seconds() < earlyPart*s.Record.Duration.Seconds() {
		return earlyShare / earlyPart
	}
	return (1 - earlyShare) / (1 - earlyPart)
}

// evenShares returns the share by route that samples all routes equally often,
// limited to maxRouteShare per route, and keeps the given share of all
// requests.
func evenShares(byRoute map[string]float64, share float64) map[string]float64 {
	shares := map[string]float64{}
	remaining := 0.0
	for _, n := range byRoute {
		remaining += share * n
	}
	routes := slices.SortedFunc(maps.Keys(byRoute), func(a, b string) int {
		return cmp.Or(cmp.Compare(byRoute[a], byRoute[b]), cmp.Compare(a, b))
	})
	for i, route := range routes {
		n := byRoute[route]
		if n == 0 {
			continue
		}
		count := min(remaining/float64(len(routes)-i), maxRouteShare*n)
		shares[route] = count / n
		remaining -= count
	}
	return shares
}
