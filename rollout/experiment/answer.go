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
func (p *simulation) handle(a answer) {
	switch a.stage {
	case stageFirst:
		a.request.First()
		if a.run > 0 {
			a.stage, a.at = stageInterval, a.at+min(intervalEvents*a.interval, a.run)
			heap.Push(&p.inFlight, a)
			return
		}
	case stageInterval:
		a.request.Pace(a.interval)
		a.stage, a.at = stageEnd, a.at+max(0, a.run-intervalEvents*a.interval)
		heap.Push(&p.inFlight, a)
		return
	}
	p.end(a)
}

// end records the outcome of a request, and retries failed requests.
func (p *simulation) end(a answer) {
	a.target.inFlight--
	if a.unknown {
		a.request.Dropped()
	} else {
		a.request.Ended(a.outcome)
	}
	if a.bad {
		p.out.BadAnswers++
	}
	if a.key.Version == newVersion && (a.bad || a.outcome != rollout.Served) {
		p.badAnswers++
		if p.badAnswers == stopWithinAfter {
			p.out.FiftiethBad = p.now
		}
	}
	if a.outcome != rollout.Served && a.tries < maxRetries {
		p.send(a.node, a.route, a.tries+1)
	}
}

// isBad reports whether the version's fault affects a request at a target now.
func (p *simulation) isBad(at *target, route string) bool {
	if !at.new || !p.version.Bad() {
		return false
	}
	switch p.version.When {
	case Later:
		return p.now >= p.badFrom
	case OneRoute:
		return route == p.badRoute
	case Loaded:
		return float64(at.inFlight) >= p.badLoad
	}
	return true
}

// answer simulates the answer to a request.
func (p *simulation) answer(node, routeNumber, tries int, at *target, key rollout.Key) answer {
	route := p.site.Routes[routeNumber]
	a := answer{node: node, key: key, route: routeNumber, tries: tries, outcome: rollout.Served}
	latency := time.Duration(float64(route.Latency) * math.Exp(route.Spread*p.rng.NormFloat64()))
	interval := time.Duration(float64(eventInterval) * math.Exp(0.2*p.rng.NormFloat64()))
	run := route.StreamTime
	bad := p.isBad(at, route.Name)
	if bad && p.version.Slow > 1 {
		latency = time.Duration(p.version.Slow * float64(latency))
		interval = time.Duration(p.version.Slow * float64(interval))
		run = time.Duration(p.version.Slow * float64(run))
		a.bad = true
	}
	a.at, a.run, a.interval = p.now+latency, run, interval
	switch {
	case p.down(at, a.at+run):
		a.stage, a.outcome, a.bad = stageEnd, rollout.Lost, false
		a.at = p.now + time.Duration(p.rng.Float64()*float64(latency+run))
		a.unknown = p.rng.Float64() < hallLossKnown
	case bad && p.rng.Float64() < p.version.Fails:
		a.stage, a.outcome, a.bad = stageEnd, rollout.Failed, true
		if p.rng.IntN(2) == 0 && run > 0 {
			a.outcome = rollout.Lost // the stream is truncated
			a.at += time.Duration(p.rng.Float64() * float64(run))
		}
	case p.rng.Float64() < route.ErrorRate || p.failsPartially(at) && p.rng.Float64() < partialErrorRate:
		a.stage, a.outcome = stageEnd, rollout.Failed
	}
	return a
}

// failsPartially reports whether a target currently has a partial failure.
func (p *simulation) failsPartially(at *target) bool {
	return at.partialFailure && p.now >= p.partialFrom && p.now < p.partialFrom+partialDuration
}

// down reports whether a target's data hall crashes before an answer is
// complete. Nodes avoid a hall that is down, except for some requests that
// detect it.
func (p *simulation) down(at *target, until time.Duration) bool {
	for _, c := range p.crashes {
		if c.hall != at.hall || until < c.from || p.now > c.from+crashDuration {
			continue
		}
		if p.now < c.from || p.rng.Float64() < 0.3 {
			return true
		}
	}
	return false
}
