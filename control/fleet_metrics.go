package control

import (
	"fmt"
	"io"

	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/fleet"
)

// fleetStats are the metrics of a service's latest reconciliation.
type fleetStats struct {
	view     fleet.ReconcileInput
	method   fleet.Method
	load     *fleet.Load // forecast
	recent   fleet.Load  // observed over the last seconds
	rejected uint64      // orders the platform could not fulfill
	unclear  uint64      // orders with an unknown outcome
	requests fleet.Demand
}

// WriteMetrics writes the fleet metrics in the Prometheus text format. It writes
// nothing on members that do not lead, and nothing for a service before its first plan.
func (c *FleetController) WriteMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, f := range c.stats {
		f.write(w, service)
	}
}

func (f *fleetStats) write(w io.Writer, service string) {
	label := fmt.Sprintf("service=%q", service)
	writeCounts(w, "walnutramp_fleet_wanted", service, f.view.Wanted)
	writeCounts(w, "walnutramp_fleet_ordered", service, f.view.Ordered)
	writeCounts(w, "walnutramp_fleet_serving", service, f.view.Serving)
	writeCounts(w, "walnutramp_fleet_leaving", service, f.view.Draining)
	for _, p := range f.view.Ordered.Places() {
		missing := max(0, f.view.Ordered[p]-f.view.Serving[p])
		fmt.Fprintf(w, "walnutramp_fleet_missing{%s,data_hall=%q,kind=%q} %d\n", label, p.DataHall, p.Kind, missing)
		cost := f.view.Scaling.Cost(fleet.Counts{p: f.view.Serving[p] + f.view.Draining[p]})
		fmt.Fprintf(w, "walnutramp_fleet_cost_per_second{%s,data_hall=%q,kind=%q} %g\n", label, p.DataHall, p.Kind, cost)
	}
	fmt.Fprintf(w, "walnutramp_fleet_method{%s,method=%q} 1\n", label, f.method)
	fmt.Fprintf(w, "walnutramp_fleet_orders_refused_total{%s} %d\n", label, f.rejected)
	fmt.Fprintf(w, "walnutramp_fleet_orders_unclear_total{%s} %d\n", label, f.unclear)
	fmt.Fprintf(w, "walnutramp_fleet_requests_total{%s} %d\n", label, f.requests.Requests)
	fmt.Fprintf(w, "walnutramp_fleet_requests_without_room_total{%s} %d\n", label, f.requests.Refused)
	fmt.Fprintf(w, "walnutramp_fleet_load_came{%s} %g\n", label, f.recent.Reading)
	if f.load != nil {
		fmt.Fprintf(w, "walnutramp_fleet_load_expected{%s} %g\n", label, f.load.Reading)
	}
}

func writeCounts(w io.Writer, name, service string, counts fleet.Counts) {
	for _, p := range counts.Places() {
		fmt.Fprintf(w, "%s{service=%q,data_hall=%q,kind=%q} %d\n", name, service, p.DataHall, p.Kind, counts[p])
	}
}

// statsOf returns the stats of a service. The caller holds the mutex.
func (c *FleetController) statsOf(service string) *fleetStats {
	if c.stats[service] == nil {
		c.stats[service] = &fleetStats{}
	}
	return c.stats[service]
}

func (f *fleetStats) countOutcome(outcome duty.Outcome) {
	switch outcome {
	case duty.Rejected:
		f.rejected++
	case duty.Unclear:
		f.unclear++
	}
}

func (c *FleetController) recordStats(service string, view *fleet.ReconcileInput, method fleet.Method, load *fleet.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.statsOf(service)
	f.view, f.method, f.load = *view, method, load
	f.recent = c.forecasts[service].Recent()
	f.requests, _ = c.aggregator.Of(service)
}
