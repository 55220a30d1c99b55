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

// Parameters of the simulation; times match those of the real processes.
const (
	reportPeriod     = 200 * time.Millisecond
	decisionPeriod   = 100 * time.Millisecond
	viewDelay        = 60 * time.Millisecond // until most nodes have a new view
	targetBoot       = 1500 * time.Millisecond
	crashDuration    = 1200 * time.Millisecond
	partialShare     = 0.15
	partialErrorRate = 0.4
	partialDuration  = 5 * time.Second
	tick             = 10 * time.Millisecond
	service          = "s"
	oldVersion       = "v1"
	newVersion       = "v2"
	// badLoadPart is the fraction of the full load from which a version that
	// fails under load is bad.
	badLoadPart = 0.5
	minBadLoad  = 2
	// eventInterval is the median time between the events of a stream.
	eventInterval = 120 * time.Millisecond
	// maxRetries limits the retries of a request.
	maxRetries      = 2
	stopWithinAfter = 50
	// hallLossKnown is the share of answers lost in a data hall outage that the
	// node attributes to the outage.
	hallLossKnown = 0.8
)

// Outcome is the result of one simulated rollout.
type Outcome struct {
	State       rollout.State // state at the deadline
	EndedAt     time.Duration // since the order
	Reason      string
	Exposed     float64 // requests to the new version before the deadline
	Over        float64 // largest excess of Exposed over the bound at any time
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
	badFrom     time.Duration
	badRoute    string        // affected route, for OneRoute
	badLoad     float64       // requests in flight at a target from which it is bad, for Loaded
	partialFrom time.Duration // start of the partial failures

	tally      *rollout.Tally
	judge      *rollout.Judge
	record     rollout.Record
	step       rollout.Step
	shiftedAt  time.Duration
	views      []pendingView
	focused    []*target // new targets, sorted for the current focus round
	focusRound uint64
	revision   uint64

	requests   float64
	badAnswers int
	out        Outcome
}

type crash struct {
	hall int
	from time.Duration
}

type pendingView struct {
	at   time.Duration
	view rollout.View
}

// Simulate simulates one rollout of a version on a site. The same seed gives the
// same outcome.
func Simulate(site Site, v Version, troubles Troubles, policy rollout.Policy, seed uint64) Outcome {
	p := newSimulation(site, v, troubles, policy, seed)
	for p.now = 0; p.now < site.Duration; p.now += tick {
		p.deliver()
		p.decide()
		p.report()
		p.generate()
	}
	p.out.State = p.record.State
	return p.out
}

func newSimulation(site Site, v Version, troubles Troubles, policy rollout.Policy, seed uint64) *simulation {
	p := &simulation{site: site, version: v, rng: rand.New(rand.NewPCG(seed, 31)), begin: time.Unix(0, 0), tally: rollout.NewTally(),
		judge: rollout.NewJudge(policy, site.Duration)}
	p.record = rollout.Record{Service: service, InForce: []string{oldVersion}, Number: 1, Target: newVersion, State: rollout.Running, Duration: site.Duration}
	for i := range site.Nodes {
		p.agents = append(p.agents, rollout.NewAgent(seed*1000+uint64(i), rollout.WithClock(p.clock)))
	}
	for i := range site.Targets {
		p.old = append(p.old, &target{id: fmt.Sprint("o", i), hall: i % site.Halls})
		p.new = append(p.new, &target{id: fmt.Sprint("n", i), hall: i % site.Halls, new: true})
	}
	if troubles.Grey {
		p.addPartialFailures()
	}
	if troubles.Crashes {
		for range 2 {
			p.crashes = append(p.crashes, crash{hall: p.rng.IntN(site.Halls), from: time.Duration(p.rng.Float64() * float64(site.Duration))})
		}
	}
	p.badFrom = time.Duration((0.25 + 0.5*p.rng.Float64()) * float64(site.Duration))
	p.partialFrom = time.Duration(p.rng.Float64() * float64(site.Duration-partialDuration))
	p.badLoad = max(minBadLoad, badLoadPart*site.inFlight())
	p.badRoute = site.Routes[p.rng.IntN(len(site.Routes))].Name
	p.publish()
	return p
}

// addPartialFailures selects targets of both versions for partial failures.
func (p *simulation) addPartialFailures() {
	all := slices.Concat(p.old, p.new)
	for _, i := range p.rng.Perm(len(all))[:int(partialShare*float64(len(all)))] {
		all[i].partialFailure = true
	}
}

func (p *simulation) clock() time.Time { return p.begin.Add(p.now) }

// publish sends the record to all nodes after viewDelay.
func (p *simulation) publish() {
	p.revision++
	p.views = append(p.views, pendingView{at: p.now + viewDelay, view: rollout.View{Revision: p.revision, Records: []rollout.Record{p.record}}})
}

// deliver delivers the views and answers that are due.
func (p *simulation) deliver() {
	for len(p.views) > 0 && p.views[0].at <= p.now {
		for _, a := range p.agents {
			a.SetView(p.views[0].view)
		}
		p.views = p.views[1:]
	}
	for len(p.inFlight) > 0 && p.inFlight[0].at <= p.now {
		p.handle(heap.Pop(&p.inFlight).(answer))
	}
}

// decide runs the leader's part: it plans the next step and applies it.
func (p *simulation) decide() {
	if p.record.State != rollout.Running || p.now%decisionPeriod != 0 {
		return
	}
	s := rollout.Situation{Record: p.record, Elapsed: p.now, ShiftedAt: p.shiftedAt, Sums: p.tally.Sums(service), Streams: p.site.Streams,
		OldPlaces: p.site.Targets, Verdict: p.judge.Verdict()}
	if p.now >= targetBoot {
		s.NewPlaces = p.site.Targets
	}
	p.step = p.site.Bounds.Plan(s)
	if p.step.State == rollout.Running && p.step.Stage == p.record.Stage {
		return
	}
	if p.step.Stage != p.record.Stage {
		p.shiftedAt = p.now
	}
	p.record.State, p.record.Stage, p.record.Reason = p.step.State, p.step.Stage, p.step.Reason
	if p.record.State != rollout.Running {
		p.out.EndedAt, p.out.Reason = p.now, p.step.Reason
	}
	if p.record.State == rollout.Completed {
		p.record.InForce = []string{newVersion}
	}
	p.publish()
}

// report delivers the reports that are due and renews the nodes' permits.
func (p *simulation) report() {
	if p.record.State != rollout.Running {
		return
	}
	late := p.judge.Late()
	for i, a := range p.agents {
		offset := time.Duration(i%int(reportPeriod/tick)) * tick
		if p.now%reportPeriod != offset {
			continue
		}
		increments := p.tally.Take(strconv.Itoa(i), 1, a.Report(1))
		p.judge.Take(p.now, newVersion, increments)
		a.SetPermits([]rollout.Permit{{Service: service, Number: 1, Shares: p.step.Shares, Other: p.step.Other, Focus: p.step.Focus, Late: late, For: rollout.PermitLife}}, p.clock())
	}
}

// generate sends the requests that arrive in one tick.
func (p *simulation) generate() {
	for r, route := range p.site.Routes {
		for range p.poisson(route.PerS * tick.Seconds()) {
			p.send(p.rng.IntN(p.site.Nodes), r, 0)
		}
	}
}

func (p *simulation) poisson(mean float64) int {
	n, product := 0, p.rng.Float64()
	for limit := math.Exp(-mean); product > limit; product *= p.rng.Float64() {
		n++
	}
	return n
}

// send sends a request to a target, with the gateway's version selection.
func (p *simulation) send(node, routeNumber, tries int) {
	route := p.site.Routes[routeNumber]
	agent := p.agents[node]
	drawn := (tries == 0 || agent.Shifted(service)) && p.now >= targetBoot && agent.Draw(service, route.Name)
	at := p.pick(agent, drawn)
	p.requests++
	if at.new {
		p.expose(at)
	}
	key := rollout.Key{Service: service, Route: route.Name, Version: oldVersion, DataHall: fmt.Sprint(at.hall), Target: at.id}
	if at.new {
		key.Version = newVersion
	}
	at.inFlight++
	a := p.answer(node, routeNumber, tries, at, key)
	a.target = at
	a.request = agent.Begin(key)
	heap.Push(&p.inFlight, a)
}

func (p *simulation) pick(agent *rollout.Agent, drawn bool) *target {
	versions := agent.Versions(service, drawn)
	if !versions.Has(newVersion) {
		return p.old[p.rng.IntN(len(p.old))]
	}
	focus := agent.Focus(service)
	if focus.Part >= 1 || !drawn {
		return p.new[p.rng.IntN(len(p.new))]
	}
	if p.focused == nil || p.focusRound != focus.Round {
		p.focusRound, p.focused = focus.Round, slices.Clone(p.new)
		round := strconv.FormatUint(focus.Round, 10)
		slices.SortFunc(p.focused, func(a, b *target) int {
			return cmp.Compare(rendezvous.Weight(round, b.id), rendezvous.Weight(round, a.id))
		})
	}
	return p.focused[p.rng.IntN(max(1, int(math.Ceil(focus.Part*float64(len(p.focused))))))]
}

// expose counts a request to the new version.
func (p *simulation) expose(at *target) {
	p.out.Exposed++
	p.out.LastSend = p.now
	b := p.site.Bounds
	p.out.Over = max(p.out.Over, p.out.Exposed-b.Share*p.requests-b.Slack)
}
