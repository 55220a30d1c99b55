package experiment

import (
	"container/heap"
	"math"
	"time"

	"github.com/walnutramp/walnutramp/rollout"
)

// target is a simulated target.
type target struct {
	id             string
	hall           int
	new            bool
	partialFailure bool
	inFlight       int // requests in flight
}

// answer is the next event of a request at a node.
type answer struct {
	at       time.Duration
	stage    stage
	node     int
	key      rollout.Key
	target   *target
	request  *rollout.Request
	outcome  rollout.Outcome
	unknown  bool          // the node knows that the outcome is unrelated to the version
	run      time.Duration // duration of a stream after its first event
	interval time.Duration // interval between a stream's events
	bad      bool          // caused by the version's fault
	route    int
	tries    int
}

// stage is a stage of an answer.
type stage int

const (
	stageFirst    stage = iota // first event, or the complete answer
	stageInterval              // enough events to measure their interval
	stageEnd
)

// intervalEvents is the number of events from which the mean event interval is
// measured.
const intervalEvents = 6

type answers []answer

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at < a[j].at }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(answer)) }
func (a *answers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// handle delivers the next event of an answer to its node.
func (sim *simulation) handle(a answer) {
	switch a.stage {
	case stageFirst:
		a.request.RecordFirstEvent()
		if a.run > 0 {
			a.stage, a.at = stageInterval, a.at+min(intervalEvents*a.interval, a.run)
			heap.Push(&sim.inFlight, a)
			return
		}
	case stageInterval:
		a.request.RecordEventInterval(a.interval)
		a.stage, a.at = stageEnd, a.at+max(0, a.run-intervalEvents*a.interval)
		heap.Push(&sim.inFlight, a)
		return
	}
	sim.end(a)
}

// end records the outcome of a request, and retries failed requests.
func (sim *simulation) end(a answer) {
	a.target.inFlight--
	if a.unknown {
		a.request.Discard()
	} else {
		a.request.Finish(a.outcome)
	}
	if a.bad {
		sim.out.BadAnswers++
	}
	if a.key.Version == newVersion && (a.bad || a.outcome != rollout.Served) {
		sim.badAnswers++
		if sim.badAnswers == stopWithinAfter {
			sim.out.FiftiethBad = sim.now
		}
	}
	if a.outcome != rollout.Served && a.tries < maxRetries {
		sim.send(a.node, a.route, a.tries+1)
	}
}

// isBad reports whether the version's fault affects a request at a target now.
func (sim *simulation) isBad(at *target, route string) bool {
	if !at.new || !sim.version.Bad() {
		return false
	}
	switch sim.version.When {
	case Later:
		return sim.now >= sim.badFrom
	case OneRoute:
		return route == sim.badRoute
	case Loaded:
		return float64(at.inFlight) >= sim.badLoad
	}
	return true
}

// answer simulates the answer to a request.
func (sim *simulation) answer(node, routeNumber, tries int, at *target, key rollout.Key) answer {
	route := sim.site.Routes[routeNumber]
	a := answer{node: node, key: key, route: routeNumber, tries: tries, outcome: rollout.Served}
	latency := time.Duration(float64(route.Latency) * math.Exp(route.Spread*sim.rng.NormFloat64()))
	interval := time.Duration(float64(eventInterval) * math.Exp(0.2*sim.rng.NormFloat64()))
	run := route.StreamTime
	bad := sim.isBad(at, route.Name)
	if bad && sim.version.Slow > 1 {
		latency = time.Duration(sim.version.Slow * float64(latency))
		interval = time.Duration(sim.version.Slow * float64(interval))
		run = time.Duration(sim.version.Slow * float64(run))
		a.bad = true
	}
	a.at, a.run, a.interval = sim.now+latency, run, interval
	switch {
	case sim.down(at, a.at+run):
		a.stage, a.outcome, a.bad = stageEnd, rollout.Lost, false
		a.at = sim.now + time.Duration(sim.rng.Float64()*float64(latency+run))
		a.unknown = sim.rng.Float64() < hallLossKnown
	case bad && sim.rng.Float64() < sim.version.Fails:
		a.stage, a.outcome, a.bad = stageEnd, rollout.Failed, true
		if sim.rng.IntN(2) == 0 && run > 0 {
			a.outcome = rollout.Lost // the stream is truncated
			a.at += time.Duration(sim.rng.Float64() * float64(run))
		}
	case sim.rng.Float64() < route.ErrorRate || sim.failsPartially(at) && sim.rng.Float64() < partialErrorRate:
		a.stage, a.outcome = stageEnd, rollout.Failed
	}
	return a
}

// failsPartially reports whether a target currently has a partial failure.
func (sim *simulation) failsPartially(at *target) bool {
	return at.partialFailure && sim.now >= sim.partialFrom && sim.now < sim.partialFrom+partialDuration
}

// down reports whether a target's data hall crashes before an answer is
// complete. Nodes avoid a hall that is down, except for some requests that
// detect it.
func (sim *simulation) down(at *target, until time.Duration) bool {
	for _, c := range sim.crashes {
		if c.hall != at.hall || until < c.from || sim.now > c.from+crashDuration {
			continue
		}
		if sim.now < c.from || sim.rng.Float64() < 0.3 {
			return true
		}
	}
	return false
}
