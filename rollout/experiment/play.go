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

// Times of the model, as of the real processes.
const (
	reportEvery = 200 * time.Millisecond
	lookEvery   = 100 * time.Millisecond
	viewDelay   = 60 * time.Millisecond // until most nodes know a new stage
	targetsCome = 1500 * time.Millisecond
	crashTime   = 1200 * time.Millisecond
	greyShare   = 0.15
	greyFails   = 0.4
	greyTime    = 5 * time.Second
	tick        = 10 * time.Millisecond
	service     = "s"
	oldVersion  = "v1"
	newVersion  = "v2"
	// loadedPart is from what part on of the load of a whole roll-out a
	// version that is bad under load is bad.
	loadedPart  = 0.5
	leastLoaded = 2
	// paceOf is a stream's usual time between events.
	paceOf = 120 * time.Millisecond
	// retriesOf bounds the tries of one request.
	retriesOf = 2
	fiftieth  = 50
	// hallKnown is the share of answers lost with a data hall of which the
	// node knows so.
	hallKnown = 0.8
)

// Outcome is how one roll-out went.
type Outcome struct {
	State    rollout.State // at the deadline
	EndedAt  time.Duration // since the order
	Reason   string
	Exposed  float64 // requests that the new version got before the deadline
	Over     float64 // by how many these were above the bound, at the worst moment
	LastSend time.Duration
	Fiftieth time.Duration // when the new version's fiftieth bad answer came; 0 for never
	Hurt     int           // bad answers of the new version that the old one would not have given
}

// TooLate reports whether the new version got requests too long after its
// fiftieth bad answer.
func (o *Outcome) TooLate(b rollout.Bounds) bool {
	return o.Fiftieth > 0 && o.LastSend > o.Fiftieth+b.StopWithin
}

// play is one roll-out under way.
type play struct {
	site    Site
	version Version
	rng     *rand.Rand
	now     time.Duration
	begin   time.Time
	agents  []*rollout.Agent
	old     []*target
	new     []*target
	under   answers
	crashes []crash
	badFrom time.Duration // for Later
	badWay  string        // route, for OneRoute
	loaded  float64       // requests under way at a target, for Loaded
	greyAt  time.Duration // when grey targets begin to fail

	tally   *rollout.Tally
	judge   *rollout.Judge
	record  rollout.Record
	step    rollout.Step
	shifted time.Duration
	views   []pendingView
	focused []*target // in the order of the newest round
	round   uint64
	rev     uint64

	all     float64
	badSeen int
	out     Outcome
}

type crash struct {
	hall int
	from time.Duration
}

type pendingView struct {
	at   time.Duration
	view rollout.View
}

// Play plays one roll-out of a version on a site.
func Play(site Site, v Version, troubles Troubles, policy rollout.Policy, seed uint64) Outcome {
	p := newPlay(site, v, troubles, policy, seed)
	for p.now = 0; p.now < site.Duration; p.now += tick {
		p.deliver()
		p.look()
		p.report()
		p.arrive()
	}
	p.out.State = p.record.State
	return p.out
}

func newPlay(site Site, v Version, troubles Troubles, policy rollout.Policy, seed uint64) *play {
	p := &play{site: site, version: v, rng: rand.New(rand.NewPCG(seed, 31)), begin: time.Unix(0, 0), tally: rollout.NewTally(),
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
		p.makeGrey()
	}
	if troubles.Crashes {
		for range 2 {
			p.crashes = append(p.crashes, crash{hall: p.rng.IntN(site.Halls), from: time.Duration(p.rng.Float64() * float64(site.Duration))})
		}
	}
	p.badFrom = time.Duration((0.25 + 0.5*p.rng.Float64()) * float64(site.Duration))
	p.greyAt = time.Duration(p.rng.Float64() * float64(site.Duration-greyTime))
	p.loaded = max(leastLoaded, loadedPart*site.underWay())
	p.badWay = site.Routes[p.rng.IntN(len(site.Routes))].Name
	p.tell()
	return p
}

// makeGrey has some of the targets of both versions fail requests.
func (p *play) makeGrey() {
	all := slices.Concat(p.old, p.new)
	for _, i := range p.rng.Perm(len(all))[:int(greyShare*float64(len(all)))] {
		all[i].grey = true
	}
}

func (p *play) clock() time.Time { return p.begin.Add(p.now) }

// tell has every node know the record in a while.
func (p *play) tell() {
	p.rev++
	p.views = append(p.views, pendingView{at: p.now + viewDelay, view: rollout.View{Revision: p.rev, Records: []rollout.Record{p.record}}})
}

// deliver hands nodes the views and answers that are due.
func (p *play) deliver() {
	for len(p.views) > 0 && p.views[0].at <= p.now {
		for _, a := range p.agents {
			a.SetView(p.views[0].view)
		}
		p.views = p.views[1:]
	}
	for len(p.under) > 0 && p.under[0].at <= p.now {
		p.take(heap.Pop(&p.under).(answer))
	}
}

// look is the leader's part.
func (p *play) look() {
	if p.record.State != rollout.Running || p.now%lookEvery != 0 {
		return
	}
	s := rollout.Situation{Record: p.record, Elapsed: p.now, ShiftedAt: p.shifted, Sums: p.tally.Sums(service), Streams: p.site.Streams,
		OldPlaces: p.site.Targets, Verdict: p.judge.Verdict()}
	if p.now >= targetsCome {
		s.NewPlaces = p.site.Targets
	}
	p.step = p.site.Bounds.Plan(s)
	if p.step.State == rollout.Running && p.step.Stage == p.record.Stage {
		return
	}
	if p.step.Stage != p.record.Stage {
		p.shifted = p.now
	}
	p.record.State, p.record.Stage, p.record.Reason = p.step.State, p.step.Stage, p.step.Reason
	if p.record.State != rollout.Running {
		p.out.EndedAt, p.out.Reason = p.now, p.step.Reason
	}
	if p.record.State == rollout.Completed {
		p.record.InForce = []string{newVersion}
	}
	p.tell()
}

// report has the nodes whose turn it is report, and gives them permits.
func (p *play) report() {
	if p.record.State != rollout.Running {
		return
	}
	late := p.judge.Late()
	for i, a := range p.agents {
		offset := time.Duration(i%int(reportEvery/tick)) * tick
		if p.now%reportEvery != offset {
			continue
		}
		news := p.tally.Take(strconv.Itoa(i), 1, a.Report(1))
		p.judge.Take(p.now, newVersion, news)
		a.SetPermits([]rollout.Permit{{Service: service, Number: 1, Shares: p.step.Shares, Other: p.step.Other, Focus: p.step.Focus, Late: late, For: rollout.PermitLife}}, p.clock())
	}
}

// arrive sends the requests of one tick.
func (p *play) arrive() {
	for r, route := range p.site.Routes {
		for range p.poisson(route.PerS * tick.Seconds()) {
			p.send(p.rng.IntN(p.site.Nodes), r, 0)
		}
	}
}

func (p *play) poisson(mean float64) int {
	n, product := 0, p.rng.Float64()
	for limit := math.Exp(-mean); product > limit; product *= p.rng.Float64() {
		n++
	}
	return n
}

// send sends a request to a target, as the gateway does.
func (p *play) send(node, routeNumber, tries int) {
	route := p.site.Routes[routeNumber]
	agent := p.agents[node]
	drawn := (tries == 0 || agent.Shifted(service)) && p.now >= targetsCome && agent.Draw(service, route.Name)
	at := p.pick(agent, drawn)
	p.all++
	if at.new {
		p.expose(at)
	}
	key := rollout.Key{Service: service, Route: route.Name, Version: oldVersion, DataHall: fmt.Sprint(at.hall), Target: at.id}
	if at.new {
		key.Version = newVersion
	}
	at.under++
	a := p.answer(node, routeNumber, tries, at, key)
	a.target = at
	a.request = agent.Begin(key)
	heap.Push(&p.under, a)
}

func (p *play) pick(agent *rollout.Agent, drawn bool) *target {
	versions := agent.Versions(service, drawn)
	if !versions.Has(newVersion) {
		return p.old[p.rng.IntN(len(p.old))]
	}
	focus := agent.Focus(service)
	if focus.Part >= 1 || !drawn {
		return p.new[p.rng.IntN(len(p.new))]
	}
	if p.focused == nil || p.round != focus.Round {
		p.round, p.focused = focus.Round, slices.Clone(p.new)
		round := strconv.FormatUint(focus.Round, 10)
		slices.SortFunc(p.focused, func(a, b *target) int {
			return cmp.Compare(rendezvous.Weight(round, b.id), rendezvous.Weight(round, a.id))
		})
	}
	return p.focused[p.rng.IntN(max(1, int(math.Ceil(focus.Part*float64(len(p.focused))))))]
}

// expose counts a request that goes to the new version.
func (p *play) expose(at *target) {
	p.out.Exposed++
	p.out.LastSend = p.now
	b := p.site.Bounds
	p.out.Over = max(p.out.Over, p.out.Exposed-b.Share*p.all-b.Slack)
}
