package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/fleet"
)

// A simulation plays a load, a platform and a controller against each other,
// and counts what targets cost and what callers get.

const (
	simStep    = 200 * time.Millisecond
	simList    = time.Second // by which the list lags
	simDrain   = 4 * time.Second
	simNotice  = 2 * time.Second
	simReading = 1.0    // seconds of a target for one prompt
	simRun     = 5.0    // seconds of a run
	simHold    = 8800.0 // tokens that a run holds
)

var simHalls = []string{"a", "b", "c"}

func simScaling() fleet.Scaling {
	return fleet.Scaling{Min: 1, Max: 120, Boot: 4 * time.Second, SpotPrice: 0.15, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}
}

func simEngine() fleet.Engine { return fleet.Engine{Slots: 48, Memory: 88000, Copies: true} }

// simTarget is one target of the platform.
type simTarget struct {
	place  fleet.Place
	boots  time.Duration // when it serves
	drains time.Duration // when it takes no new work any more; 0 for not yet
	ends   time.Duration
}

// simulation is the state of a play. Times are since its start.
type simulation struct {
	t       *testing.T
	scaling fleet.Scaling
	halls   []string
	base    int // targets of a hall at the start
	load    func(at time.Duration) float64
	down    func(at time.Duration) bool          // the platform answers nothing
	late    func(at time.Duration) time.Duration // by which it carries an order out after it lost the answer
	dry     map[fleet.Place]func(time.Duration) bool
	leaders []time.Duration // when another leader takes over

	now     time.Duration
	targets []*simTarget
	lists   []simListed
	delayed []simDelayed
	record  fleet.Record
	mover   *fleet.Mover
	tally   *fleet.Tally
	f       *fleet.Forecast
	demand  fleet.Demand
	life    uint64

	cost    float64 // of targets
	wanted  float64 // requests
	refused float64
	calls   int
	steps   []simOrder
	lowest  int // targets that served at once, from the first request on
}

type simListed struct {
	at               time.Duration
	serving, leaving fleet.Counts
}

type simDelayed struct {
	at    time.Duration
	order fleet.Order
}

type simOrder struct {
	at   time.Duration
	step fleet.Step
}

func newSimulation(t *testing.T, load func(time.Duration) float64) *simulation {
	return &simulation{t: t, scaling: simScaling(), halls: simHalls, base: 60, load: load, dry: map[fleet.Place]func(time.Duration) bool{}, lowest: math.MaxInt}
}

// wave is the usual load: 41 requests a second on average, with a crest every
// 11 s, from 9 s on.
func wave(at time.Duration) float64 {
	if at < 9*time.Second {
		return 0
	}
	return 41 * (1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11))
}

func (s *simulation) run(until time.Duration) {
	for _, hall := range s.halls {
		for range s.base {
			s.targets = append(s.targets, &simTarget{place: fleet.Place{DataHall: hall}})
		}
		s.record.Base = append(s.record.Base, fleet.HallCount{DataHall: hall, Count: s.base})
	}
	s.record.Service, s.demand.Service = "engines", "engines"
	s.lead()
	for s.now = 0; s.now < until; s.now += simStep {
		for len(s.leaders) > 0 && s.now >= s.leaders[0] {
			s.leaders = s.leaders[1:]
			s.lead()
		}
		s.play()
		s.decide()
	}
}

// lead begins the time of a new leader, who knows the record alone.
func (s *simulation) lead() {
	s.mover, s.tally, s.f = fleet.NewMover("engines"), fleet.NewTally(), &fleet.Forecast{}
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// play takes the platform and the callers a step further.
func (s *simulation) play() {
	for len(s.delayed) > 0 && s.now >= s.delayed[0].at {
		s.carryOut(s.delayed[0].order)
		s.delayed = s.delayed[1:]
	}
	serving, there, listed := 0, s.targets[:0], simListed{at: s.now, serving: fleet.Counts{}, leaving: fleet.Counts{}}
	for _, t := range s.targets {
		if t.drains > 0 && s.now >= t.ends {
			continue
		}
		there = append(there, t)
		s.cost += simStep.Seconds() * s.scaling.Cost(fleet.Counts{t.place: 1})
		switch {
		case t.drains > 0:
			listed.leaving[t.place]++
		case s.now >= t.boots:
			listed.serving[t.place]++
			serving++
		}
	}
	s.targets = there
	s.lists = append(s.lists, listed)
	s.serve(serving)
}

// serve lets requests come, as many as targets read.
func (s *simulation) serve(serving int) {
	wanted := s.load(s.now) * simStep.Seconds()
	able := float64(serving) / simReading * simStep.Seconds()
	if wanted == 0 {
		return
	}
	s.lowest = min(s.lowest, serving)
	s.wanted += wanted
	s.refused += max(0, wanted-able)
	s.demand.Requests += uint64(math.Round(wanted * 1000)) // in thousandths, to keep the fractions
	s.demand.ReadMS += uint64(wanted * simReading * 1000)
	s.demand.RunMS += uint64(wanted * simRun * 1000)
	s.demand.HoldMS += uint64(wanted * simRun * simHold * 1000)
}

// decide does what a leader does.
func (s *simulation) decide() {
	listed, ok := s.listed()
	if !ok {
		return
	}
	s.tally.Take("entry", s.life, []fleet.Demand{s.demand})
	total, _ := s.tally.Of("engines")
	s.f.Observe(s.clock(), total)
	load := s.record.Load
	if s.f.Known() {
		expected := s.f.Expected()
		load = &expected
	}
	view := fleet.View{
		Scaling: s.scaling, Ordered: s.record.Ordered(), Given: s.record.Given(), Serving: listed.serving, Leaving: listed.leaving,
		Idle: load == nil && s.demand.Requests == 0,
	}
	s.mover.Look(s.clock(), &view)
	situation := fleet.Situation{
		Scaling: s.scaling, Engine: simEngine(), Risks: fleet.AssumedRisks(), Base: s.record.BaseCounts(), Load: load,
		Stuck: s.mover.Stuck(s.clock(), listed.serving),
	}
	view.Wanted, view.Least = situation.Plan().Wanted, situation.Least()
	for _, step := range s.mover.Next(s.clock(), &view) {
		s.steps = append(s.steps, simOrder{s.now, step})
		s.record.Put([]fleet.Order{step.Order})
		s.record.Load = load
		outcome := s.call(step.Order)
		if outcome == duty.Rejected {
			before := step.Order
			before.Count = step.Before
			s.record.Put([]fleet.Order{before})
		}
		s.mover.Sent(s.clock(), step, outcome, s.scaling.Boot)
	}
}

// listed returns the list as it is read now.
func (s *simulation) listed() (simListed, bool) {
	for i := len(s.lists) - 1; i >= 0; i-- {
		if s.now-s.lists[i].at >= simList {
			return s.lists[i], true
		}
	}
	return simListed{}, false
}

// call gives the platform an order.
func (s *simulation) call(o fleet.Order) duty.Outcome {
	s.calls++
	if s.down != nil && s.down(s.now) {
		return duty.Unclear
	}
	if dry := s.dry[o.Place()]; dry != nil && dry(s.now) && o.Count > s.count(o.Place()) {
		return duty.Rejected
	}
	if s.late != nil {
		if by := s.late(s.now); by > 0 {
			s.delayed = append(s.delayed, simDelayed{s.now + by, o})
			return duty.Unclear
		}
	}
	s.carryOut(o)
	return duty.Done
}

func (s *simulation) count(p fleet.Place) int {
	n := 0
	for _, t := range s.targets {
		if t.place == p && t.drains == 0 {
			n++
		}
	}
	return n
}

func (s *simulation) carryOut(o fleet.Order) {
	p := o.Place()
	other := s.count(fleet.Place{DataHall: p.DataHall, Kind: 1 - p.Kind})
	if sum := o.Count + other; sum > s.scaling.Max || sum < s.scaling.Min {
		s.t.Errorf("%v: %d targets ordered in hall %s beside %d, want %d to %d", s.now, o.Count, p.DataHall, other, s.scaling.Min, s.scaling.Max)
	}
	for n := s.count(p); n < o.Count; n++ {
		s.targets = append(s.targets, &simTarget{place: p, boots: s.now + s.scaling.Boot})
	}
	s.take(p, max(0, s.count(p)-o.Count), simDrain)
}

// take has so many targets of a place leave.
func (s *simulation) take(p fleet.Place, n int, drain time.Duration) {
	for _, t := range s.targets {
		if n > 0 && t.place == p && t.drains == 0 {
			t.drains, t.ends = s.now, s.now+drain
			n--
		}
	}
}

// at calls a function once the play has come to a time, with every step.
func (s *simulation) at(when time.Duration, do func()) {
	load, done := s.load, false
	s.load = func(now time.Duration) float64 {
		if !done && now >= when {
			done = true
			do()
		}
		return load(now)
	}
}

func (s *simulation) served() float64 { return 1 - s.refused/s.wanted }
