package control

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// Times of the control of a fleet.
const (
	fleetEvery = 200 * time.Millisecond // between two looks; the list is read once a second
	scaleLimit = 3 * time.Second        // of one order, the wait for its turn included
	// settleTime is how long the list must have shown no more on-demand targets
	// before any is ordered away: at the start of a site they appear over some
	// seconds.
	settleTime = 1200 * time.Millisecond
	seenEvery  = 1 * time.Second // bounds the lines about what the list shows
)

// FleetServices reads from a document which services' targets can be ordered.
type FleetServices func(doc []byte) (map[string]fleet.Service, error)

// FleetController orders targets on the leader. What it has ordered is agreed
// on by the group; what it has seen is not: nodes tell a new leader again.
type FleetController struct {
	member   *consensus.Member
	server   *Server
	state    *State
	roster   *Roster
	caller   duty.Caller
	scaler   fleet.Scaler
	services FleetServices

	// Used by Run alone.
	version   uint64 // of the document that was read
	scalable  map[string]fleet.Service
	movers    map[string]*fleet.Mover // by service
	forecasts map[string]*fleet.Forecast
	calls     sync.WaitGroup
	settling  map[string]time.Time // by service, when the list last showed more targets than were known
	plans     map[string]planned   // by service
	seenAt    map[string]time.Time // when what the list shows was logged, by service

	mu    sync.Mutex
	tally *fleet.Tally
	ended []endedCall
	busy  map[string]map[string]bool // data halls with a call under way, by service

	figures map[string]*fleetFigures // by service
}

// endedCall is a call that an outcome is known of.
type endedCall struct {
	began   time.Time
	step    fleet.Step
	outcome duty.Outcome
}

// NewFleetController returns a controller for a member's server.
func NewFleetController(m *consensus.Member, s *Server, caller duty.Caller, scaler fleet.Scaler, services FleetServices) *FleetController {
	c := &FleetController{member: m, server: s, state: s.state, roster: s.roster, caller: caller, scaler: scaler, services: services}
	c.forget()
	return c
}

// Run controls the fleet while this member leads, until ctx ends.
func (c *FleetController) Run(ctx context.Context) {
	defer c.calls.Wait()
	for pause.For(ctx, fleetEvery) {
		if !c.member.Leads() {
			c.forget()
			continue
		}
		c.readDocument()
		for _, service := range slices.Sorted(maps.Keys(c.scalable)) {
			c.control(ctx, service)
		}
	}
}

// Take takes what a node tells of demand; life names its process.
func (c *FleetController) Take(node string, life uint64, rows []fleet.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Take(node, life, rows)
}

// forget drops what this member saw as the leader.
func (c *FleetController) forget() {
	c.movers, c.forecasts, c.settling = map[string]*fleet.Mover{}, map[string]*fleet.Forecast{}, map[string]time.Time{}
	c.plans, c.seenAt = map[string]planned{}, map[string]time.Time{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally = fleet.NewTally()
	c.ended, c.busy, c.figures = nil, map[string]map[string]bool{}, map[string]*fleetFigures{}
}

// readDocument learns which services' targets can be ordered.
func (c *FleetController) readDocument() {
	version, doc := c.state.newestDocument()
	if version == c.version {
		return
	}
	services, err := c.services(doc)
	if err != nil {
		klog.ErrorS(err, "Document tells nothing of targets to order", "version", version)
		return
	}
	c.version, c.scalable = version, services
}

// control looks at a service's targets, and gives the orders that are due.
func (c *FleetController) control(ctx context.Context, service string) {
	listed, list := c.roster.held()
	if listed == 0 {
		return
	}
	serving, leaving := countTargets(list, service)
	record, _ := c.state.fleetRecord(service)
	// Once requests come, the list may show crashed targets beside those that
	// took their place.
	noteBase := len(record.Base) == 0 || record.Untouched() && !c.requested(service)
	if noteBase && !c.note(ctx, service, &record, serving) {
		return
	}
	load := c.observe(service, record)
	if !c.caller.Held() {
		return
	}
	c.order(ctx, c.decide(service, &record, load, serving, leaving))
}

// countTargets counts the targets of a service that take new work, and those
// that take none.
func countTargets(list []discovery.Target, service string) (serving, leaving fleet.Counts) {
	serving, leaving = fleet.Counts{}, fleet.Counts{}
	for _, t := range list {
		if t.Service != service {
			continue
		}
		p := fleet.Place{DataHall: t.DataHall}
		if t.Spot {
			p.Kind = fleet.Spot
		}
		if t.State == discovery.TargetDraining {
			leaving[p]++
		} else {
			serving[p]++
		}
	}
	return serving, leaving
}

// agree has the group agree on orders.
func (c *FleetController) agree(ctx context.Context, orders FleetOrders) bool {
	_, ok := c.server.agree(ctx, Command{Fleet: &orders})
	return ok
}

// observe returns the load to be ready for: as nodes tell it or, before they
// have, as was agreed on last; nil if neither is known.
func (c *FleetController) observe(service string, record fleet.Record) *fleet.Load {
	c.mu.Lock()
	demand, told := c.tally.Of(service)
	c.mu.Unlock()
	f := c.forecasts[service]
	if f == nil {
		f = &fleet.Forecast{}
		c.forecasts[service] = f
	}
	if told {
		f.Observe(time.Now(), demand)
	}
	if !c.scalable[service].Engine.Known() {
		return nil
	}
	if !f.Known() {
		return record.Load
	}
	load := f.Expected()
	return &load
}

// decision is what is to be done about a service's targets, and what by.
type decision struct {
	service string
	load    *fleet.Load
	plan    fleet.Plan
	view    fleet.View
	stuck   fleet.Counts
	steps   []fleet.Step
}

// decide works out which orders are due.
func (c *FleetController) decide(service string, record *fleet.Record, load *fleet.Load, serving, leaving fleet.Counts) decision {
	now := time.Now()
	mover := c.mover(service)
	scalable := c.scalable[service]
	c.takeEnded(mover, service, scalable.Scaling.Boot)
	view := fleet.View{
		Scaling: scalable.Scaling, Ordered: record.Ordered(), Given: record.Given(), Serving: serving, Leaving: leaving,
		Busy:    c.busyHalls(service),
		Idle:    load == nil && !c.requested(service),
		Filling: time.Since(c.settling[service]) < settleTime,
	}
	for _, p := range mover.Look(now, &view) {
		klog.InfoS("Spot targets are taken away", "service", service, "dataHall", p.DataHall, "leaving", leaving[p], "serving", serving[p])
	}
	stuck := mover.Stuck(now, serving)
	situation := fleet.Situation{
		Scaling: scalable.Scaling, Engine: scalable.Engine, Risks: fleet.AssumedRisks(),
		Base: record.BaseCounts(), Load: load, Stuck: stuck,
	}
	plan := c.plan(service, situation)
	c.logSeen(service, &view, load)
	view.Wanted, view.Least = plan.Wanted, situation.Least()
	c.keepFigures(service, &view, plan.Method, load)
	return decision{service: service, load: load, plan: plan, view: view, stuck: stuck, steps: mover.Next(now, &view)}
}

// planned is a plan with what it went by.
type planned struct {
	situation fleet.Situation
	plan      fleet.Plan
}

// plan returns the plan for a situation. It is worked out anew only when that
// has changed: the search takes some milliseconds, many times a second.
func (c *FleetController) plan(service string, s fleet.Situation) fleet.Plan {
	last, known := c.plans[service]
	if !known || !reflect.DeepEqual(last.situation, s) {
		last = planned{situation: s, plan: s.Plan()}
		c.plans[service] = last
	}
	return last.plan
}

func (c *FleetController) mover(service string) *fleet.Mover {
	if c.movers[service] == nil {
		c.movers[service] = fleet.NewMover(service)
	}
	return c.movers[service]
}

// requested reports whether a node has told of requests.
func (c *FleetController) requested(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand, _ := c.tally.Of(service)
	return demand.Requests > 0
}

func (c *FleetController) busyHalls(service string) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.busy[service])
}

// takeEnded tells a mover what came of its calls.
func (c *FleetController) takeEnded(mover *fleet.Mover, service string, boot time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = slices.DeleteFunc(c.ended, func(e endedCall) bool {
		if e.step.Order.Service != service {
			return false
		}
		mover.Sent(e.began, e.step, e.outcome, boot)
		c.figuresOf(service).count(e.outcome)
		delete(c.busy[service], e.step.Order.DataHall)
		return true
	})
}

// order has the group agree on the orders of a decision, and gives them.
func (c *FleetController) order(ctx context.Context, d decision) {
	if len(d.steps) == 0 {
		return
	}
	orders := FleetOrders{Service: d.service, Load: d.load}
	for _, step := range d.steps {
		if !step.Repeats() {
			orders.Orders = append(orders.Orders, step.Order)
		}
	}
	if len(orders.Orders) > 0 && !c.agree(ctx, orders) {
		return
	}
	d.log()
	for _, step := range d.steps {
		c.begin(ctx, step)
	}
}

// begin makes the call of a step, beside others.
func (c *FleetController) begin(ctx context.Context, step fleet.Step) {
	o := step.Order
	c.mu.Lock()
	if c.busy[o.Service] == nil {
		c.busy[o.Service] = map[string]bool{}
	}
	c.busy[o.Service][o.DataHall] = true
	c.mu.Unlock()
	c.calls.Go(func() {
		began := time.Now()
		outcome := c.call(ctx, step)
		klog.InfoS("Targets ordered", "service", o.Service, "dataHall", o.DataHall, "kind", o.Kind, "count", o.Count, "before", step.Before,
			"outcome", outcome, "ms", time.Since(began).Milliseconds())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = append(c.ended, endedCall{began: began, step: step, outcome: outcome})
	})
}

// call gives an order. One that the platform can't carry out is taken back.
func (c *FleetController) call(ctx context.Context, step fleet.Step) duty.Outcome {
	limited, cancel := context.WithTimeout(ctx, scaleLimit)
	defer cancel()
	outcome := c.caller.Do(limited, step.Order.Call(c.scaler))
	if outcome == duty.Rejected && !step.Repeats() {
		before := step.Order
		before.Count = step.Before
		taken := c.agree(ctx, FleetOrders{Service: before.Service, Orders: []fleet.Order{before}})
		klog.InfoS("Order of targets taken back", "service", before.Service, "dataHall", before.DataHall, "kind", before.Kind, "agreed", taken)
	}
	return outcome
}

// log tells a decision with its inputs and its runner-up.
func (d *decision) log() {
	klog.InfoS("Fleet changes", "service", d.service, "method", d.plan.Method, "load", d.load, "wanted", d.plan.Wanted,
		"ordered", d.view.Ordered, "serving", d.view.Serving, "leaving", d.view.Leaving, "stuck", d.stuck,
		"costPerSecond", d.view.Scaling.Cost(d.plan.Wanted), "expectedCost", d.plan.Cost,
		"other", d.plan.Other, "otherWanted", d.plan.OtherWanted, "otherCost", d.plan.OtherCost, "idle", d.view.Idle)
}

// logSeen tells what the list shows, beside what is ordered, every now and
// then.
func (c *FleetController) logSeen(service string, view *fleet.View, load *fleet.Load) {
	if time.Since(c.seenAt[service]) < seenEvery {
		return
	}
	c.seenAt[service] = time.Now()
	klog.InfoS("Fleet seen", "service", service, "ordered", view.Ordered, "serving", view.Serving, "leaving", view.Leaving, "load", load)
}
