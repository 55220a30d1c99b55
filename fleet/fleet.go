// Package fleet decides how many targets a service needs, in which data halls
// and of which kind, from the load and the prices of targets. The package reads
// no clock; callers pass in all times.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Kind is the purchase kind of a target.
type Kind int

// The target kinds.
const (
	OnDemand Kind = iota // runs until it is scaled down
	Spot                 // cheaper; the platform may reclaim all of a data hall at short notice
)

// Scaling is the scaling configuration of a service.
type Scaling struct {
	// Min and Max limit the number of targets per data hall, both kinds
	// together.
	Min, Max int
	// Boot is the time from an order until a new target serves requests.
	Boot time.Duration
	// SpotPrice is the price of a spot target as a fraction of the on-demand
	// price; 0 if there are no spot targets.
	SpotPrice float64
	// Prices are the prices per second of an on-demand target, by data hall.
	Prices map[string]float64
}

// Order sets the desired count of targets of one kind in a data hall.
type Order struct {
	Service  string
	DataHall string
	Kind     Kind
	Count    int
}

// Subject returns the subject of the order's fencing token. Both kinds of a
// data hall share it, as on the platform.
func (o Order) Subject() duty.Subject {
	return duty.Subject("fleet/" + o.Service + "/" + o.DataHall)
}

// Scaler sends orders to the platform.
type Scaler interface {
	// Scale makes one call without retries. duty.Rejected means that the
	// platform has no such capacity now.
	Scale(ctx context.Context, p duty.Permission, o Order) duty.Outcome
}

// Demand is the cumulative demand for a service at one node since its process
// started. All fields only increase.
type Demand struct {
	Service  string
	Requests uint64 // new requests, including refused ones
	Refused  uint64 // refused for lack of capacity
	Read     uint64 // prompt tokens
	Write    uint64 // output tokens, as estimated by clients
	ReadMS   uint64 // prefill time, in milliseconds
	RunMS    uint64 // run time including prefill, in milliseconds
	HoldMS   uint64 // KV memory use, in tokens times milliseconds
}

// Place is a scaling group: the targets of one kind in a data hall.
type Place struct {
	DataHall string
	Kind     Kind
}

// Counts are target counts by place.
type Counts map[Place]int

// Hall returns the count of a data hall, both kinds together.
func (c Counts) Hall(hall string) int {
	return c[Place{hall, OnDemand}] + c[Place{hall, Spot}]
}

// Places returns the places with a non-zero count, sorted.
func (c Counts) Places() []Place {
	var places []Place
	for p, n := range c {
		if n != 0 {
			places = append(places, p)
		}
	}
	slices.SortFunc(places, func(a, b Place) int {
		return cmp.Or(cmp.Compare(a.DataHall, b.DataHall), cmp.Compare(a.Kind, b.Kind))
	})
	return places
}

// Total returns the sum of all counts.
func (c Counts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// String returns the counts by place, for logs.
func (c Counts) String() string {
	var parts []string
	for _, p := range c.Places() {
		parts = append(parts, fmt.Sprintf("%s/%v:%d", p.DataHall, p.Kind, c[p]))
	}
	return strings.Join(parts, " ")
}

// price returns the price of a target per second. Data halls without a price
// count as 1.
func (s *Scaling) price(p Place) float64 {
	price, known := s.Prices[p.DataHall]
	if !known {
		price = 1
	}
	if p.Kind == Spot {
		price *= s.SpotPrice
	}
	return price
}

// Cost returns the price of the counts per second.
func (s *Scaling) Cost(c Counts) float64 {
	cost := 0.0
	for p, n := range c {
		cost += float64(n) * s.price(p)
	}
	return cost
}

// String returns the kind's name.
func (k Kind) String() string {
	if k == Spot {
		return "spot"
	}
	return "on-demand"
}
