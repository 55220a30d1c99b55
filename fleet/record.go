package fleet

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/walnutramp/walnutramp/duty"
)

// Record is the replicated state of a service's targets.
type Record struct {
	Service string
	// Base is the initial number of targets by data hall, before any orders.
	Base []HallCount
	// Orders are the latest orders by place. For a place without an order, Base
	// gives the on-demand count.
	Orders []Order
	// Load is the load that the latest orders provision for; nil if unknown. A
	// new leader uses it until nodes report.
	Load *Load
}

// NoOnDemandOrders reports whether no on-demand targets have been ordered, so that all
// existing ones belong to Base.
func (r *Record) NoOnDemandOrders() bool {
	return !slices.ContainsFunc(r.Orders, func(o Order) bool { return o.Kind == OnDemand })
}

// HallCount is the target count of a data hall.
type HallCount struct {
	DataHall string
	Count    int
}

// Ordered returns the desired counts: the latest orders, else Base.
func (r *Record) Ordered() Counts {
	ordered := Counts{}
	for _, b := range r.Base {
		ordered[Place{b.DataHall, OnDemand}] = b.Count
	}
	maps.Copy(ordered, r.OrderCounts())
	return ordered
}

// OrderCounts returns the counts of the latest orders.
func (r *Record) OrderCounts() Counts {
	counts := Counts{}
	for _, o := range r.Orders {
		counts[o.Place()] = o.Count
	}
	return counts
}

// BaseCounts returns Base as a map by data hall.
func (r *Record) BaseCounts() map[string]int {
	base := map[string]int{}
	for _, b := range r.Base {
		base[b.DataHall] = b.Count
	}
	return base
}

// Put replaces the orders for the same places.
func (r *Record) Put(orders []Order) {
	r.Orders = slices.Clone(r.Orders)
	for _, o := range orders {
		i := slices.IndexFunc(r.Orders, func(known Order) bool { return known.Place() == o.Place() })
		if i < 0 {
			r.Orders = append(r.Orders, o)
			continue
		}
		r.Orders[i] = o
	}
}

// Service is the configuration of a scalable service.
type Service struct {
	Scaling Scaling
	Engine  Engine
}

// Place returns the place that the order applies to.
func (o Order) Place() Place { return Place{o.DataHall, o.Kind} }

// Call returns the duty call that sends the order.
func (o Order) Call(s Scaler) duty.Call {
	return duty.Call{
		Subject: o.Subject(),
		Content: fmt.Sprintf("%v %d", o.Kind, o.Count),
		Send:    func(ctx context.Context, p duty.Permission) duty.Outcome { return s.Scale(ctx, p, o) },
	}
}
