package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/fleet"
)

// The simulation runs the aggregator, the forecast, the plan and the reconciler, as the
// leader does, against a model of a platform and a load. It adds up the cost and the
// refused requests.

const (
	simStep        = 200 * time.Millisecond
	simListDelay   = time.Second     // delay of the target list
	simDrain       = 4 * time.Second // from the removal of a target until it has gone
	simNotice      = 2 * time.Second // from the notice of a reclaim until the target has gone
	simPrefillTime = 1.0             // prefill time of a prompt, in seconds
	simRunTime     = 5.0             // duration of a run, in seconds
	simRunMemory   = 8800.0          // KV memory of a run, in tokens
)

var simHalls = []string{"a", "b", "c"}

func simScaling() fleet.Scaling {
	return fleet.Scaling{Min: 1, Max: 120, Boot: 4 * time.Second, SpotPrice: 0.15, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}
}

func simEngine() fleet.Engine { return fleet.Engine{Slots: 48, Memory: 88000, Copies: true} }

// simTarget is a simulated target.
type simTarget struct {
	place    fleet.Place
	servesAt time.Duration // when it starts to serve
	drainsAt time.Duration // when it starts to drain; 0 if it does not
	endsAt   time.Duration
}

// simulation is the state of a simulation. Times are relative to its start.
type simulation struct {
	t               *testing.T
	scaling         fleet.Scaling
	halls           []string
	base            int // initial targets per data hall
	load            func(at time.Duration) float64
	down            func(at time.Duration) bool          // whether the platform does not answer
	lostAnswerDelay func(at time.Duration) time.Duration // delay with which the platform executes an order whose answer is lost
	noCapacity      map[fleet.Place]func(time.Duration) bool
	leaders         []time.Duration // times of leader changes

	now         time.Duration
	targets     []*simTarget
	history     []simList
	delayed     []simDelayed
	record      fleet.Record
	reconciler  *fleet.Reconciler
	aggregator  *fleet.Aggregator
	forecast    *fleet.Forecast
	demand      fleet.Demand
	incarnation uint64 // of the only reporting process; never changes

	cost       float64
	requests   float64
	refused    float64
	calls      int
	steps      []simOrder
	minServing int // lowest number of serving targets since the first request
}

// simList is the platform's target list at one time.
type simList struct {
	at                time.Duration
	serving, draining fleet.Counts
}

// simDelayed is an order that the platform executes later.
type simDelayed struct {
	at    time.Duration
	order fleet.Order
}

// simOrder is an order with the time at which it was sent.
type simOrder struct {
	at   time.Duration
	step fleet.Step
}

func newSimulation(t *testing.T, load func(time.Duration) float64) *simulation {
	return &simulation{t: t, scaling: simScaling(), halls: simHalls, base: 60, load: load, noCapacity: map[fleet.Place]func(time.Duration) bool{}, minServing: math.MaxInt}
}

// periodicLoad is the default load: on average 41 requests/s from 9 s on, with
// a peak every 11 s.
func periodicLoad(at time.Duration) float64 {
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
		s.advance()
		s.decide()
	}
}

// lead starts a new leader, which knows only the record.
func (s *simulation) lead() {
	s.reconciler, s.aggregator, s.forecast = fleet.NewReconciler("engines"), fleet.NewAggregator(), &fleet.Forecast{}
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// advance runs one step of the platform and the load.
func (s *simulation) advance() {
	for len(s.delayed) > 0 && s.now >= s.delayed[0].at {
		s.execute(s.delayed[0].order)
		s.delayed = s.delayed[1:]
	}
	serving, remaining, listed := 0, s.targets[:0], simList{at: s.now, serving: fleet.Counts{}, draining: fleet.Counts{}}
	for _, t := range s.targets {
		if t.drainsAt > 0 && s.now >= t.endsAt {
			continue
		}
		remaining = append(remaining, t)
		s.cost += simStep.Seconds() * s.scaling.Cost(fleet.Counts{t.place: 1})
		switch {
		case t.drainsAt > 0:
			listed.draining[t.place]++
		case s.now >= t.servesAt:
			listed.serving[t.place]++
			serving++
		}
	}
	s.targets = remaining
	s.history = append(s.history, listed)
	s.serve(serving)
}

// serve adds the requests of one step. Each serving target takes simPrefillTime for
// a prompt; prompts beyond that are refused.
func (s *simulation) serve(serving int) {
	arriving := s.load(s.now) * simStep.Seconds()
	capacity := float64(serving) / simPrefillTime * simStep.Seconds()
	if arriving == 0 {
		return
	}
	s.minServing = min(s.minServing, serving)
	s.requests += arriving
	s.refused += max(0, arriving-capacity)
	s.demand.Requests += uint64(math.Round(arriving * 1000)) // in thousandths, to keep fractions
	s.demand.ReadMS += uint64(arriving * simPrefillTime * 1000)
	s.demand.RunMS += uint64(arriving * simRunTime * 1000)
	s.demand.HoldMS += uint64(arriving * simRunTime * simRunMemory * 1000)
}

// decide runs one step of the leader: it plans, sends orders and takes the answers.
func (s *simulation) decide() {
	listed, ok := s.listed()
	if !ok {
		return
	}
	s.aggregator.Merge("node", s.incarnation, []fleet.Demand{s.demand})
	total, _ := s.aggregator.Of("engines")
	s.forecast.Observe(s.clock(), total)
	load := s.record.Load
	if s.forecast.Known() {
		expected := s.forecast.Expected()
		load = &expected
	}
	view := fleet.ReconcileInput{
		Scaling: s.scaling, Ordered: s.record.Ordered(), Explicit: s.record.OrderCounts(), Serving: listed.serving, Draining: listed.draining,
		Idle: load == nil && s.demand.Requests == 0,
	}
	s.reconciler.Observe(s.clock(), &view)
	input := fleet.PlanInput{
		Scaling: s.scaling, Engine: simEngine(), Risks: fleet.AssumedRisks(), Base: s.record.BaseCounts(), Load: load,
		Exhausted: s.reconciler.Exhausted(s.clock(), listed.serving),
	}
	view.Wanted, view.Least = input.Plan().Wanted, input.Least()
	for _, step := range s.reconciler.Next(s.clock(), &view) {
		s.steps = append(s.steps, simOrder{s.now, step})
		s.record.Put([]fleet.Order{step.Order})
		s.record.Load = load
		outcome := s.call(step.Order)
		if outcome == duty.Rejected {
			before := step.Order
			before.Count = step.Before
			s.record.Put([]fleet.Order{before})
		}
		s.reconciler.RecordOutcome(s.clock(), step, outcome, s.scaling.Boot)
	}
}

// listed returns the target list as the leader sees it, simListDelay late; false if
// there is none yet.
func (s *simulation) listed() (simList, bool) {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.now-s.history[i].at >= simListDelay {
			return s.history[i], true
		}
	}
	return simList{}, false
}

// call sends an order to the platform and returns the outcome that the leader sees.
func (s *simulation) call(o fleet.Order) duty.Outcome {
	s.calls++
	if s.down != nil && s.down(s.now) {
		return duty.Unclear
	}
	if exhausted := s.noCapacity[o.Place()]; exhausted != nil && exhausted(s.now) && o.Count > s.count(o.Place()) {
		return duty.Rejected
	}
	if s.lostAnswerDelay != nil {
		if delay := s.lostAnswerDelay(s.now); delay > 0 {
			s.delayed = append(s.delayed, simDelayed{s.now + delay, o})
			return duty.Unclear
		}
	}
	s.execute(o)
	return duty.Done
}

// count returns the number of targets of a place that don't drain, whether or not
// they serve yet.
func (s *simulation) count(p fleet.Place) int {
	n := 0
	for _, t := range s.targets {
		if t.place == p && t.drainsAt == 0 {
			n++
		}
	}
	return n
}

// execute applies an order on the platform, and fails the test if the data hall's
// count would leave the limits.
func (s *simulation) execute(o fleet.Order) {
	p := o.Place()
	other := s.count(fleet.Place{DataHall: p.DataHall, Kind: 1 - p.Kind})
	if sum := o.Count + other; sum > s.scaling.Max || sum < s.scaling.Min {
		s.t.Errorf("%v: order of %d targets in hall %s with %d of the other kind, want %d to %d in total", s.now, o.Count, p.DataHall, other, s.scaling.Min, s.scaling.Max)
	}
	for n := s.count(p); n < o.Count; n++ {
		s.targets = append(s.targets, &simTarget{place: p, servesAt: s.now + s.scaling.Boot})
	}
	s.drain(p, max(0, s.count(p)-o.Count), simDrain)
}

// drain starts to drain n targets of a place; they have gone after the given time.
func (s *simulation) drain(p fleet.Place, n int, drain time.Duration) {
	for _, t := range s.targets {
		if n > 0 && t.place == p && t.drainsAt == 0 {
			t.drainsAt, t.endsAt = s.now, s.now+drain
			n--
		}
	}
}

// at makes the first step at or after the given time call a function.
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

func (s *simulation) served() float64 { return 1 - s.refused/s.requests }
