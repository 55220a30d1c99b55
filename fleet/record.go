package fleet

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/walnutramp/walnutramp/duty"
)

// Record is what the control group has agreed on about a service's targets.
type Record struct {
	Service string
	// Base is how many targets each data hall had before any was ordered.
	Base []HallCount
	// Orders are the newest by place. Where there is none, Base tells how many
	// on-demand targets there are.
	Orders []Order
	// Load is what the newest orders were to be ready for; nil if it was not
	// known. It is a guide to whoever decides next, until nodes tell more.
	Load *Load
}

// Untouched reports whether no on-demand target has been ordered, so that all
// that there are belong to Base.
func (r *Record) Untouched() bool {
	return !slices.ContainsFunc(r.Orders, func(o Order) bool { return o.Kind == OnDemand })
}

// HallCount is a number of targets in a data hall.
type HallCount struct {
	DataHall string
	Count    int
}

// Ordered returns how many targets are ordered, by place.
func (r *Record) Ordered() Counts {
	ordered := Counts{}
	for _, b := range r.Base {
		ordered[Place{b.DataHall, OnDemand}] = b.Count
	}
	maps.Copy(ordered, r.Given())
	return ordered
}

// Given returns the newest orders, by place.
func (r *Record) Given() Counts {
	given := Counts{}
	for _, o := range r.Orders {
		given[o.Place()] = o.Count
	}
	return given
}

// BaseCounts returns Base by data hall.
func (r *Record) BaseCounts() map[string]int {
	base := map[string]int{}
	for _, b := range r.Base {
		base[b.DataHall] = b.Count
	}
	return base
}

// Put takes orders in place of earlier ones for the same places.
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

// Service is what the configuration says of a service whose targets can be
// ordered.
type Service struct {
	Scaling Scaling
	Engine  Engine
}

// Place returns where the order's targets are.
func (o Order) Place() Place { return Place{o.DataHall, o.Kind} }

// Call returns the call that gives the order.
func (o Order) Call(s Scaler) duty.Call {
	return duty.Call{
		Subject: o.Subject(),
		Content: fmt.Sprintf("%v %d", o.Kind, o.Count),
		Send:    func(ctx context.Context, p duty.Permission) duty.Outcome { return s.Scale(ctx, p, o) },
	}
}
