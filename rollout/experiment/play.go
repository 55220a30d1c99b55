package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/rollout"
)

// Parameters of the simulation. reportPeriod and decisionPeriod are those of package
// control.
const (
	reportPeriod     = 200 * time.Millisecond
	decisionPeriod   = 100 * time.Millisecond
	viewDelay        = 60 * time.Millisecond // until a change of the rollout's record reaches the nodes
	targetBoot       = 1500 * time.Millisecond
	crashDuration    = 1200 * time.Millisecond
	partialShare     = 0.15 // of the targets that have partial failures, under Faults.Grey
	partialErrorRate = 0.4
	partialDuration  = 5 * time.Second
	tick             = 10 * time.Millisecond
	service          = "s"
	oldVersion       = "v1"
	newVersion       = "v2"
	// badLoadPart is the fraction of the full load from which a version that
	// fails under load is bad.
	badLoadPart = 0.5
	minBadLoad  = 2 // requests in flight
	// eventInterval is the median time between the events of a stream.
	eventInterval = 120 * time.Millisecond
	// maxRetries limits the retries of a request.
	maxRetries = 2
	// Bounds.StopWithin starts at the new version's bad answer of this number.
	stopWithinAfter = 50
	// hallLossKnown is the share of answers lost in a data hall outage that the
	// node attributes to the outage.
	hallLossKnown = 0.8
)

// Outcome is the result of one simulated rollout.
type Outcome struct {
	State       rollout.State // state at the deadline
	EndedAt     time.Duration // since the start; 0 if still running at the deadline
	Reason      string
	Exposed     float64 // requests to the new version before the deadline
	Over        float64 // largest excess of Exposed over Bounds.Share of all requests plus Bounds.Slack; 0 if never exceeded
	LastSend    time.Duration
	FiftiethBad time.Duration // time of the new version's 50th bad answer; 0 if there was none
	BadAnswers  int           // bad answers caused by the new version
}

// TooLate reports whether the new version got requests later than StopWithin
// after its 50th bad answer.
func (o *Outcome) TooLate(b rollout.Bounds) bool {
	return o.FiftiethBad > 0 && o.LastSend > o.FiftiethBad+b.StopWithin
}

// simulation is the state of one simulated rollout.
type simulation struct {
	site        Site
	version     Version
	rng         *rand.Rand
	now         time.Duration
	begin       time.Time
	agents      []*rollout.Agent
	old         []*target
	new         []*target
	inFlight    answers
	crashes     []crash
	badFrom     time.Duration // start of the version's fault, for Later
	badRoute    string        // affected route, for OneRoute
	badLoad     float64       // requests in flight at a target from which it is bad, for Loaded
	partialFrom time.Duration // start of the partial failures

	aggregator *rollout.Aggregator
	evaluator  *rollout.Evaluator
	record     rollout.Record
	step       rollout.Step
	shiftedAt  time.Duration
	views      []pendingView
	focused    []*target // new targets, sorted for the current focus round
	focusRound uint64
	revision   uint64

	requests   float64
	badAnswers int // bad or failed answers of the new version, whatever the cause
	out        Outcome
}

// crash is an outage of a data hall's targets that lasts crashDuration.
type crash struct {
	hall int
	from time.Duration
}

// pendingView is a view that reaches the nodes at a later time.
type pendingView struct {
	at   time.Duration
	view rollout.View
}

// Simulate simulates one rollout of a version on a site. The same seed gives
// the same outcome.
func Simulate(site Site, v Version, faults Faults, policy rollout.Policy, seed uint64) Outcome {
	sim := newSimulation(site, v, faults, policy, seed)
	for sim.now = 0; sim.now < site.Duration; sim.now += tick {
		sim.deliver()
		sim.decide()
		sim.report()
		sim.generate()
	}
	sim.out.State = sim.record.State
	return sim.out
}

func newSimulation(site Site, v Version, faults Faults, policy rollout.Policy, seed uint64) *simulation {
	sim := &simulation{site: site, version: v, rng: rand.New(rand.NewPCG(seed, 31)), begin: time.Unix(0, 0), aggregator: rollout.NewAggregator(),
		evaluator: rollout.NewEvaluator(policy, site.Duration)}
	sim.record = rollout.Record{Service: service, InForce: []string{oldVersion}, Number: 1, Target: newVersion, State: rollout.Running, Duration: site.Duration}
	for i := range site.Nodes {
		sim.agents = append(sim.agents, rollout.NewAgent(seed*1000+uint64(i), rollout.WithClock(sim.clock)))
	}
	for i := range site.Targets {
		sim.old = append(sim.old, &target{id: fmt.Sprint("o", i), hall: i % site.Halls})
		sim.new = append(sim.new, &target{id: fmt.Sprint("n", i), hall: i % site.Halls, new: true})
	}
	if faults.Grey {
		sim.addPartialFailures()
	}
	if faults.Crashes {
		for range 2 {
			sim.crashes = append(sim.crashes, crash{hall: sim.rng.IntN(site.Halls), from: time.Duration(sim.rng.Float64() * float64(site.Duration))})
		}
	}
	sim.badFrom = time.Duration((0.25 + 0.5*sim.rng.Float64()) * float64(site.Duration))
	sim.partialFrom = time.Duration(sim.rng.Float64() * float64(site.Duration-partialDuration))
	sim.badLoad = max(minBadLoad, badLoadPart*site.inFlight())
	sim.badRoute = site.Routes[sim.rng.IntN(len(site.Routes))].Name
	sim.publish()
	return sim
}

// addPartialFailures selects targets of both versions for partial failures.
func (sim *simulation) addPartialFailures() {
	all := slices.Concat(sim.old, sim.new)
	for _, i := range sim.rng.Perm(len(all))[:int(partialShare*float64(len(all)))] {
		all[i].partialFailure = true
	}
}

func (sim *simulation) clock() time.Time { return sim.begin.Add(sim.now) }

// publish sends the record to all nodes after viewDelay.
func (sim *simulation) publish() {
	sim.revision++
	sim.views = append(sim.views, pendingView{at: sim.now + viewDelay, view: rollout.View{Revision: sim.revision, Records: []rollout.Record{sim.record}}})
}

// deliver delivers the views and answers that are due.
func (sim *simulation) deliver() {
	for len(sim.views) > 0 && sim.views[0].at <= sim.now {
		for _, a := range sim.agents {
			a.SetView(sim.views[0].view)
		}
		sim.views = sim.views[1:]
	}
	for len(sim.inFlight) > 0 && sim.inFlight[0].at <= sim.now {
		sim.handle(heap.Pop(&sim.inFlight).(answer))
	}
}

// decide runs the leader's part: it plans the next step and applies it.
func (sim *simulation) decide() {
	if sim.record.State != rollout.Running || sim.now%decisionPeriod != 0 {
		return
	}
	s := rollout.PlanInput{Record: sim.record, Elapsed: sim.now, ShiftedAt: sim.shiftedAt, Sums: sim.aggregator.Sums(service), Streams: sim.site.Streams,
		OldSlots: sim.site.Targets, Verdict: sim.evaluator.Verdict()}
	if sim.now >= targetBoot {
		s.NewSlots = sim.site.Targets
	}
	sim.step = sim.site.Bounds.Plan(s)
	if sim.step.State == rollout.Running && sim.step.Stage == sim.record.Stage {
		return
	}
	if sim.step.Stage != sim.record.Stage {
		sim.shiftedAt = sim.now
	}
	sim.record.State, sim.record.Stage, sim.record.Reason = sim.step.State, sim.step.Stage, sim.step.Reason
	if sim.record.State != rollout.Running {
		sim.out.EndedAt, sim.out.Reason = sim.now, sim.step.Reason
	}
	if sim.record.State == rollout.Completed {
		sim.record.InForce = []string{newVersion}
	}
	sim.publish()
}

// report delivers the reports that are due and renews the nodes' permits.
func (sim *simulation) report() {
	if sim.record.State != rollout.Running {
		return
	}
	late := sim.evaluator.SlowThresholds()
	for i, a := range sim.agents {
		offset := time.Duration(i%int(reportPeriod/tick)) * tick
		if sim.now%reportPeriod != offset {
			continue
		}
		increments := sim.aggregator.Merge(strconv.Itoa(i), 1, a.Report(1))
		sim.evaluator.Add(sim.now, newVersion, increments)
		a.SetPermits([]rollout.Permit{{Service: service, Number: 1, Shares: sim.step.Shares, Other: sim.step.Other, Focus: sim.step.Focus, Late: late, For: rollout.PermitLife}}, sim.clock())
	}
}

// generate sends the requests that arrive in one tick.
func (sim *simulation) generate() {
	for r, route := range sim.site.Routes {
		for range sim.poisson(route.PerS * tick.Seconds()) {
			sim.send(sim.rng.IntN(sim.site.Nodes), r, 0)
		}
	}
}

// poisson returns a random number with a Poisson distribution.
func (sim *simulation) poisson(mean float64) int {
	n, product := 0, sim.rng.Float64()
	for limit := math.Exp(-mean); product > limit; product *= sim.rng.Float64() {
		n++
	}
	return n
}

// send sends a request to a target, with the gateway's version selection.
func (sim *simulation) send(node, routeNumber, tries int) {
	route := sim.site.Routes[routeNumber]
	agent := sim.agents[node]
	canary := (tries == 0 || agent.Shifted(service)) && sim.now >= targetBoot && agent.SelectCanary(service, route.Name)
	at := sim.pick(agent, canary)
	sim.requests++
	if at.new {
		sim.expose(at)
	}
	key := rollout.Key{Service: service, Route: route.Name, Version: oldVersion, DataHall: fmt.Sprint(at.hall), Target: at.id}
	if at.new {
		key.Version = newVersion
	}
	at.inFlight++
	a := sim.answer(node, routeNumber, tries, at, key)
	a.target = at
	a.request = agent.Begin(key)
	heap.Push(&sim.inFlight, a)
}

// pick selects a target of a version that the agent allows. Canary means that the
// request was selected for the new version, whose targets are then limited to the
// agent's focus.
func (sim *simulation) pick(agent *rollout.Agent, canary bool) *target {
	versions := agent.Versions(service, canary)
	if !versions.Has(newVersion) {
		return sim.old[sim.rng.IntN(len(sim.old))]
	}
	focus := agent.Focus(service)
	if focus.Part >= 1 || !canary {
		return sim.new[sim.rng.IntN(len(sim.new))]
	}
	if sim.focused == nil || sim.focusRound != focus.Round {
		sim.focusRound, sim.focused = focus.Round, slices.Clone(sim.new)
		round := strconv.FormatUint(focus.Round, 10)
		slices.SortFunc(sim.focused, func(a, b *target) int {
			return cmp.Compare(rendezvous.Weight(round, b.id), rendezvous.Weight(round, a.id))
		})
	}
	return sim.focused[sim.rng.IntN(max(1, int(math.Ceil(focus.Part*float64(len(sim.focused))))))]
}

// expose counts a request to the new version.
func (sim *simulation) expose(at *target) {
	sim.out.Exposed++
	sim.out.LastSend = sim.now
	b := sim.site.Bounds
	sim.out.Over = max(sim.out.Over, sim.out.Exposed-b.Share*sim.requests-b.Slack)
}
