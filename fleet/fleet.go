// Package fleet decides how many targets a service has, in which data halls
// and of which kind, from what requests need and what targets cost. The
// decision knows no wire and no clock but the times that it is handed.
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

// Kind is a kind of target, by its terms.
type Kind int

// The kinds.
const (
	OnDemand Kind = iota // stays until it is ordered away
	Spot                 // cheaper; all of a data hall may be taken away at short notice
)

// Scaling is what the configuration says of a service whose targets can be
// ordered.
type Scaling struct {
	// Min and Max bound the targets of each data hall, both kinds together.
	Min, Max int
	// Boot is the time from an order until a new target serves.
	Boot time.Duration
	// SpotPrice is what a spot target costs, as a part of an on-demand one's
	// price; 0 where there are none.
	SpotPrice float64
	// Prices are what a second of an on-demand target costs, by data hall.
	Prices map[string]float64
}

// Order sets how many targets of a kind a service has in a data hall.
type Order struct {
	Service  string
	DataHall string
	Kind     Kind
	Count    int
}

// Subject returns what the order is about, for its fencing token. Both kinds
// of a hall share it, as the platform has it.
func (o Order) Subject() duty.Subject {
	return duty.Subject("fleet/" + o.Service + "/" + o.DataHall)
}

// Scaler hands an order to the platform.
type Scaler interface {
	// Scale makes the call once. Rejected says that there are no such targets
	// to be had now.
	Scale(ctx context.Context, p duty.Permission, o Order) duty.Outcome
}

// Demand is what a service's requests have asked for at one node since its
// process started. It only ever grows.
type Demand struct {
	Service  string
	Requests uint64 // new ones, refused ones among them
	Refused  uint64 // for want of room
	Read     uint64 // tokens of their prompts
	Write    uint64 // tokens that they may put out, as their clients guess
	ReadMS   uint64 // milliseconds that a target needs to read their prompts
	RunMS    uint64 // milliseconds that their runs take, prompts included
	HoldMS   uint64 // tokens that their runs hold, times milliseconds that they hold them
}

// Place is where targets of one kind are ordered.
type Place struct {
	DataHall string
	Kind     Kind
}

// Counts are numbers of targets by place.
type Counts map[Place]int

// Hall returns the targets of a data hall, both kinds together.
func (c Counts) Hall(hall string) int {
	return c[Place{hall, OnDemand}] + c[Place{hall, Spot}]
}

// Places returns the places with targets, in order.
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

// Total returns all targets.
func (c Counts) Total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// String lists the counts by place, for logs.
func (c Counts) String() string {
	var parts []string
	for _, p := range c.Places() {
		parts = append(parts, fmt.Sprintf("%s/%v:%d", p.DataHall, p.Kind, c[p]))
	}
	return strings.Join(parts, " ")
}

// price returns what a second of a target costs.
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

// Cost returns what a second of so many targets costs.
func (s *Scaling) Cost(c Counts) float64 {
	cost := 0.0
	for p, n := range c {
		cost += float64(n) * s.price(p)
	}
	return cost
}

// String returns the kind's name in logs.
func (k Kind) String() string {
	if k == Spot {
		return "spot"
	}
	return "on-demand"
}
