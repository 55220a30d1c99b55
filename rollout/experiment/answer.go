package experiment

import (
	"container/heap"
	"math"
	"time"

	"github.com/walnutramp/walnutramp/rollout"
)

// target is one target of the model.
type target struct {
	id    string
	hall  int
	new   bool
	grey  bool
	under int // requests under way
}

// answer is what comes back to a node next of one request.
type answer struct {
	at      time.Duration
	stage   stage
	node    int
	key     rollout.Key
	target  *target
	request *rollout.Request
	outcome rollout.Outcome
	unknown bool          // the node knows that the outcome says nothing of the version
	run     time.Duration // of a stream, from its first event on
	pace    time.Duration // between a stream's events
	bad     bool          // the version's own fault
	route   int
	tries   int
}

// stage is a part of an answer.
type stage int

const (
	stageFirst stage = iota // the first event, or the whole answer
	stagePaced              // enough events to tell the pace
	stageEnd
)

// paceEvents is how many events tell a stream's pace.
const paceEvents = 6

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

// take has a node see a part of an answer.
func (p *play) take(a answer) {
	switch a.stage {
	case stageFirst:
		a.request.First()
		if a.run > 0 {
			a.stage, a.at = stagePaced, a.at+min(paceEvents*a.pace, a.run)
			heap.Push(&p.under, a)
			return
		}
	case stagePaced:
		a.request.Pace(a.pace)
		a.stage, a.at = stageEnd, a.at+max(0, a.run-paceEvents*a.pace)
		heap.Push(&p.under, a)
		return
	}
	p.end(a)
}

// end has a node see how a request ended; what failed at the new version is
// tried again at the old one.
func (p *play) end(a answer) {
	a.target.under--
	if a.unknown {
		a.request.Dropped()
	} else {
		a.request.Ended(a.outcome)
	}
	if a.bad {
		p.out.Hurt++
	}
	if a.key.Version == newVersion && (a.bad || a.outcome != rollout.Served) {
		p.badSeen++
		if p.badSeen == fiftieth {
			p.out.Fiftieth = p.now
		}
	}
	if a.outcome != rollout.Served && a.tries < retriesOf {
		p.send(a.node, a.route, a.tries+1)
	}
}

// isBad reports whether the version's fault shows in this answer's target now.
func (p *play) isBad(at *target, route string) bool {
	if !at.new || !p.version.Bad() {
		return false
	}
	switch p.version.When {
	case Later:
		return p.now >= p.badFrom
	case OneRoute:
		return route == p.badWay
	case Loaded:
		return float64(at.under) >= p.loaded
	}
	return true
}

// answer works out what comes back.
func (p *play) answer(node, routeNumber, tries int, at *target, key rollout.Key) answer {
	route := p.site.Routes[routeNumber]
	a := answer{node: node, key: key, route: routeNumber, tries: tries, outcome: rollout.Served}
	work := time.Duration(float64(route.Work) * math.Exp(route.Spread*p.rng.NormFloat64()))
	pace := time.Duration(float64(paceOf) * math.Exp(0.2*p.rng.NormFloat64()))
	run := route.Run
	bad := p.isBad(at, route.Name)
	if bad && p.version.Slow > 1 {
		work = time.Duration(p.version.Slow * float64(work))
		pace = time.Duration(p.version.Slow * float64(pace))
		run = time.Duration(p.version.Slow * float64(run))
		a.bad = true
	}
	a.at, a.run, a.pace = p.now+work, run, pace
	switch {
	case p.down(at, a.at+run):
		a.stage, a.outcome, a.bad = stageEnd, rollout.Lost, false
		a.at = p.now + time.Duration(p.rng.Float64()*float64(work+run))
		a.unknown = p.rng.Float64() < hallKnown
	case bad && p.rng.Float64() < p.version.Fails:
		a.stage, a.outcome, a.bad = stageEnd, rollout.Failed, true
		if p.rng.IntN(2) == 0 && run > 0 {
			a.outcome = rollout.Lost // it breaks off
			a.at += time.Duration(p.rng.Float64() * float64(run))
		}
	case p.rng.Float64() < route.Fails || p.isGrey(at) && p.rng.Float64() < greyFails:
		a.stage, a.outcome = stageEnd, rollout.Failed
	}
	return a
}

// isGrey reports whether a target fails some requests now.
func (p *play) isGrey(at *target) bool {
	return at.grey && p.now >= p.greyAt && p.now < p.greyAt+greyTime
}

// down reports whether a target's data hall crashes before an answer is whole.
// Nodes avoid a hall that is down, but for some requests that find it out.
func (p *play) down(at *target, until time.Duration) bool {
	for _, c := range p.crashes {
		if c.hall != at.hall || until < c.from || p.now > c.from+crashTime {
			continue
		}
		if p.now < c.from || p.rng.Float64() < 0.3 {
			return true
		}
	}
	return false
}
