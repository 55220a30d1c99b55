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

const (
	fleetInterval = 200 * time.Millisecond // the target list is polled once a second
	scaleTimeout  = 3 * time.Second        // per scale call, including the wait for earlier calls
	// settleTime is how long the number of listed on-demand targets must not have
	// grown before any is scaled down: at startup they appear over some seconds.
	settleTime       = 1200 * time.Millisecond
	fleetLogInterval = 1 * time.Second // between log lines about the observed state
)

// FleetServices reads from a document which services can be scaled.
type FleetServices func(doc []byte) (map[string]fleet.Service, error)

// FleetController scales services on the leader. Orders are committed to the
// group's log; observed demand is not, since nodes report it again to a new
// leader.
type FleetController struct {
	member   *consensus.Member
	server   *Server
	state    *State
	targets  *TargetList
	caller   duty.Caller
	scaler   fleet.Scaler
	services FleetServices

	// Used only by Run.
	version      uint64 // of the document that was last read
	scalable     map[string]fleet.Service
	movers       map[string]*fleet.Reconciler // by service
	forecasts    map[string]*fleet.Forecast
	calls        sync.WaitGroup
	baseRaisedAt map[string]time.Time  // by service, when the base last grew
	plans        map[string]cachedPlan // by service
	loggedAt     map[string]time.Time  // by service

	mu         sync.Mutex
	aggregator *fleet.Aggregator
	completed  []completedCall
	inFlight   map[string]map[string]bool // data halls with a call in flight, by service

	stats map[string]*fleetStats // by service
}

// completedCall is a scale call whose outcome is known.
type completedCall struct {
	startedAt time.Time
	step      fleet.Step
	outcome   duty.Outcome
}

// NewFleetController returns a FleetController for a member and its server.
func NewFleetController(m *consensus.Member, s *Server, caller duty.Caller, scaler fleet.Scaler, services FleetServices) *FleetController {
	c := &FleetController{member: m, server: s, state: s.state, targets: s.targets, caller: caller, scaler: scaler, services: services}
	c.reset()
	return c
}

// Run scales the fleet while this member leads, until ctx is done.
func (c *FleetController) Run(ctx context.Context) {
	defer c.calls.Wait()
	for pause.For(ctx, fleetInterval) {
		if !c.member.Leads() {
			c.reset()
			continue
		}
		c.loadServices()
		for _, service := range slices.Sorted(maps.Keys(c.scalable)) {
			c.reconcile(ctx, service)
		}
	}
}

// RecordDemand adds the demand that a node reports; incarnation identifies the node's
// process.
func (c *FleetController) RecordDemand(node string, incarnation uint64, rows []fleet.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aggregator.Merge(node, incarnation, rows)
}

// reset drops the state that this member collected as the leader.
func (c *FleetController) reset() {
	c.movers, c.forecasts, c.baseRaisedAt = map[string]*fleet.Reconciler{}, map[string]*fleet.Forecast{}, map[string]time.Time{}
	c.plans, c.loggedAt = map[string]cachedPlan{}, map[string]time.Time{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aggregator = fleet.NewAggregator()
	c.completed, c.inFlight, c.stats = nil, map[string]map[string]bool{}, map[string]*fleetStats{}
}

// loadServices reads which services can be scaled from the newest document.
func (c *FleetController) loadServices() {
	version, doc := c.state.newestDocument()
	if version == c.version {
		return
	}
	services, err := c.services(doc)
	if err != nil {
		klog.ErrorS(err, "Could not read scalable services from the document", "version", version)
		return
	}
	c.version, c.scalable = version, services
}

// reconcile compares a service's targets with the plan and issues the orders that
// are due.
func (c *FleetController) reconcile(ctx context.Context, service string) {
	listed, list := c.targets.current()
	if listed == 0 {
		return
	}
	serving, leaving := countTargets(list, service)
	record, _ := c.state.fleetRecord(service)
	// Once there are requests, the list may show crashed targets beside their
	// replacements.
	mayRecordBase := len(record.Base) == 0 || record.NoOnDemandOrders() && !c.hasRequests(service)
	if mayRecordBase && !c.recordBase(ctx, service, &record, serving) {
		return
	}
	load := c.expectedLoad(service, record)
	if !c.caller.Held() {
		return
	}
	c.issueOrders(ctx, c.decide(service, &record, load, serving, leaving))
}

// countTargets counts the targets of a service that accept new work, and those
// that are draining.
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

// commit proposes orders and waits until they are committed.
func (c *FleetController) commit(ctx context.Context, orders FleetOrders) bool {
	_, ok := c.server.proposeOwn(ctx, Command{Fleet: &orders})
	return ok
}

// expectedLoad returns the load to provision for: the forecast from reported
// demand or, before there is any, the last committed load; nil if neither is
// known.
func (c *FleetController) expectedLoad(service string, record fleet.Record) *fleet.Load {
	c.mu.Lock()
	demand, reported := c.aggregator.Of(service)
	c.mu.Unlock()
	f := c.forecasts[service]
	if f == nil {
		f = &fleet.Forecast{}
		c.forecasts[service] = f
	}
	if reported {
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

// decision is the scaling steps for a service with the inputs that led to them.
type decision struct {
	service string
	load    *fleet.Load
	plan    fleet.Plan
	view    fleet.ReconcileInput
	stuck   fleet.Counts
	steps   []fleet.Step
}

// decide computes the orders that are due.
func (c *FleetController) decide(service string, record *fleet.Record, load *fleet.Load, serving, leaving fleet.Counts) decision {
	now := time.Now()
	mover := c.mover(service)
	scalable := c.scalable[service]
	c.applyCompleted(mover, service, scalable.Scaling.Boot)
	view := fleet.ReconcileInput{
		Scaling: scalable.Scaling, Ordered: record.Ordered(), Explicit: record.OrderCounts(), Serving: serving, Draining: leaving,
		Busy:           c.inFlightHalls(service),
		Idle:           load == nil && !c.hasRequests(service),
		ListIncomplete: time.Since(c.baseRaisedAt[service]) < settleTime,
	}
	for _, p := range mover.Observe(now, &view) {
		klog.InfoS("Spot targets are being reclaimed", "service", service, "dataHall", p.DataHall, "leaving", leaving[p], "serving", serving[p])
	}
	stuck := mover.Exhausted(now, serving)
	situation := fleet.PlanInput{
		Scaling: scalable.Scaling, Engine: scalable.Engine, Risks: fleet.AssumedRisks(),
		Base: record.BaseCounts(), Load: load, Exhausted: stuck,
	}
	plan := c.plan(service, situation)
	c.logState(service, &view, load)
	view.Wanted, view.Least = plan.Wanted, situation.Least()
	c.recordStats(service, &view, plan.Method, load)
	return decision{service: service, load: load, plan: plan, view: view, stuck: stuck, steps: mover.Next(now, &view)}
}

// cachedPlan is a plan with its input.
type cachedPlan struct {
	situation fleet.PlanInput
	plan      fleet.Plan
}

// plan returns the plan for a situation. Plans are cached, since computing one
// takes some milliseconds and situations rarely change.
func (c *FleetController) plan(service string, s fleet.PlanInput) fleet.Plan {
	last, known := c.plans[service]
	if !known || !reflect.DeepEqual(last.situation, s) {
		last = cachedPlan{situation: s, plan: s.Plan()}
		c.plans[service] = last
	}
	return last.plan
}

func (c *FleetController) mover(service string) *fleet.Reconciler {
	if c.movers[service] == nil {
		c.movers[service] = fleet.NewReconciler(service)
	}
	return c.movers[service]
}

// hasRequests reports whether any node has reported requests.
func (c *FleetController) hasRequests(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand, _ := c.aggregator.Of(service)
	return demand.Requests > 0
}

func (c *FleetController) inFlightHalls(service string) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inFlight[service])
}

// applyCompleted passes the outcomes of a service's completed calls to its mover.
func (c *FleetController) applyCompleted(mover *fleet.Reconciler, service string, boot time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = slices.DeleteFunc(c.completed, func(e completedCall) bool {
		if e.step.Order.Service != service {
			return false
		}
		mover.RecordOutcome(e.startedAt, e.step, e.outcome, boot)
		c.statsOf(service).countOutcome(e.outcome)
		delete(c.inFlight[service], e.step.Order.DataHall)
		return true
	})
}

// issueOrders commits the orders of a decision and starts its calls.
func (c *FleetController) issueOrders(ctx context.Context, d decision) {
	if len(d.steps) == 0 {
		return
	}
	orders := FleetOrders{Service: d.service, Load: d.load}
	for _, step := range d.steps {
		if !step.Repeats() {
			orders.Orders = append(orders.Orders, step.Order)
		}
	}
	if len(orders.Orders) > 0 && !c.commit(ctx, orders) {
		return
	}
	d.log()
	for _, step := range d.steps {
		c.startCall(ctx, step)
	}
}

// startCall makes the call of a step in the background.
func (c *FleetController) startCall(ctx context.Context, step fleet.Step) {
	o := step.Order
	c.mu.Lock()
	if c.inFlight[o.Service] == nil {
		c.inFlight[o.Service] = map[string]bool{}
	}
	c.inFlight[o.Service][o.DataHall] = true
	c.mu.Unlock()
	c.calls.Go(func() {
		began := time.Now()
		outcome := c.sendOrder(ctx, step)
		klog.InfoS("Scale call completed", "service", o.Service, "dataHall", o.DataHall, "kind", o.Kind, "count", o.Count, "before", step.Before,
			"outcome", outcome, "ms", time.Since(began).Milliseconds())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.completed = append(c.completed, completedCall{startedAt: began, step: step, outcome: outcome})
	})
}

// sendOrder sends an order to the platform. An order that the platform rejects is
// reverted.
func (c *FleetController) sendOrder(ctx context.Context, step fleet.Step) duty.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	outcome := c.caller.Do(callCtx, step.Order.Call(c.scaler))
	if outcome == duty.Rejected && !step.Repeats() {
		before := step.Order
		before.Count = step.Before
		committed := c.commit(ctx, FleetOrders{Service: before.Service, Orders: []fleet.Order{before}})
		klog.InfoS("Reverted a rejected order", "service", before.Service, "dataHall", before.DataHall, "kind", before.Kind, "agreed", committed)
	}
	return outcome
}

// log logs a decision with its inputs and the best alternative.
func (d *decision) log() {
	klog.InfoS("Scaling fleet", "service", d.service, "method", d.plan.Method, "load", d.load, "wanted", d.plan.Wanted,
		"ordered", d.view.Ordered, "serving", d.view.Serving, "leaving", d.view.Draining, "stuck", d.stuck,
		"costPerSecond", d.view.Scaling.Cost(d.plan.Wanted), "expectedCost", d.plan.Cost,
		"other", d.plan.Other, "otherWanted", d.plan.OtherWanted, "otherCost", d.plan.OtherCost, "idle", d.view.Idle)
}

// logState logs the observed and ordered targets at intervals.
func (c *FleetController) logState(service string, view *fleet.ReconcileInput, load *fleet.Load) {
	if time.Since(c.loggedAt[service]) < fleetLogInterval {
		return
	}
	c.loggedAt[service] = time.Now()
	klog.InfoS("Fleet state", "service", service, "ordered", view.Ordered, "serving", view.Serving, "leaving", view.Draining, "load", load)
}
