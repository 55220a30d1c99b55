package control

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/fleet"
	"k8s.io/klog/v2"
)

// recordBase commits a service's base, the number of targets by data hall before any
// orders, and raises it as more targets appear. It reports whether a base is known, false
// if it could not commit a change. It updates record to the committed one.
func (c *FleetController) recordBase(ctx context.Context, service string, record *fleet.Record, serving fleet.Counts) bool {
	orders := FleetOrders{Service: service, Base: record.Base}
	if len(record.Orders) == 0 {
		orders.Orders = ordersFromList(service, serving)
	}
	raised := false
	for _, p := range serving.Places() {
		count := serving[p]
		if p.Kind == fleet.Spot { // ordered, so not in the base unless the orders are reconstructed
			if len(orders.Orders) == 0 {
				continue
			}
			count = serving.Hall(p.DataHall)
		}
		raised = orders.raiseBase(p.DataHall, count) || raised
	}
	if !raised && len(orders.Orders) == 0 {
		return len(record.Base) > 0
	}
	c.baseRaisedAt[service] = time.Now()
	committed := c.commit(ctx, orders)
	klog.InfoS("Recorded base targets", "service", service, "base", orders.Base, "agreed", committed)
	*record, _ = c.state.fleetRecord(service)
	return committed
}

// raiseBase raises a data hall's base count to at least count; false if it is
// that high already.
func (c *FleetOrders) raiseBase(hall string, count int) bool {
	i := slices.IndexFunc(c.Base, func(b fleet.HallCount) bool { return b.DataHall == hall })
	if i >= 0 && c.Base[i].Count >= count {
		return false
	}
	c.Base = slices.Clone(c.Base)
	if i < 0 {
		i = len(c.Base)
		c.Base = append(c.Base, fleet.HallCount{DataHall: hall})
	}
	c.Base[i].Count = count
	return true
}

// ordersFromList reconstructs orders for data halls that have spot targets: those
// were ordered before the committed state was lost.
func ordersFromList(service string, serving fleet.Counts) []fleet.Order {
	var orders []fleet.Order
	for _, p := range serving.Places() {
		if p.Kind == fleet.Spot {
			orders = append(orders,
				fleet.Order{Service: service, DataHall: p.DataHall, Kind: fleet.Spot, Count: serving[p]},
				fleet.Order{Service: service, DataHall: p.DataHall, Kind: fleet.OnDemand, Count: serving.Hall(p.DataHall) - serving[p]})
		}
	}
	return orders
}
