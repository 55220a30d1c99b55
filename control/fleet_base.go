package control

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/fleet"
	"k8s.io/klog/v2"
)

// note has the group agree on the targets that a service has before any is
// ordered, and on more as they appear. It reports whether any are known; the
// record is what was agreed on.
func (c *FleetController) note(ctx context.Context, service string, record *fleet.Record, serving fleet.Counts) bool {
	orders := FleetOrders{Service: service, Base: record.Base}
	if len(record.Orders) == 0 {
		orders.Orders = listedOrders(service, serving)
	}
	more := false
	for _, p := range serving.Places() {
		count := serving[p]
		if p.Kind == fleet.Spot {
			if len(orders.Orders) == 0 {
				continue
			}
			count = serving.Hall(p.DataHall)
		}
		more = orders.raise(p.DataHall, count) || more
	}
	if !more && len(orders.Orders) == 0 {
		return len(record.Base) > 0
	}
	c.settling[service] = time.Now()
	agreed := c.agree(ctx, orders)
	klog.InfoS("Targets noted that were not ordered", "service", service, "base", orders.Base, "agreed", agreed)
	*record, _ = c.state.fleetRecord(service)
	return agreed
}

// raise notes that a data hall has as many targets at least; false if that is
// known.
func (c *FleetOrders) raise(hall string, count int) bool {
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

// listedOrders returns what a list shows of data halls with spot targets as
// orders: they were ordered before what was agreed on was lost.
func listedOrders(service string, serving fleet.Counts) []fleet.Order {
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
