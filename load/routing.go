package load

import (
	"context"
	"fmt"
	"slices"

	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/route"
)

// Policies are this router and the baselines it is measured against.
func Policies() []Variant {
	var vs []Variant
	for _, p := range []route.Policy{route.Predicted, route.LeastReported, route.RoundRobin, route.RandomChoice} {
		vs = append(vs, Variant{Name: string(p), NodeOpt: []node.Option{node.WithRouteOptions(route.WithPolicy(p))}})
	}
	return vs
}

// Capacity is how many drafts a second the shape's engines can decode when
// all their slots are taken, for a mean length in tokens.
func (s Shape) Capacity(outputMean int) float64 {
	e := s.siteConfig(0).Engine
	full := e.TokenInterval.Seconds() * (1 + e.BatchSlowdown)
	return float64(s.Engines*e.Slots) / full / float64(outputMean)
}

// RunRouting runs every policy at each share of capacity.
func (r *Runner) RunRouting(ctx context.Context, shares []float64, policies []string) ([]*Result, error) {
	var all []*Result
	for _, share := range shares {
		at := *r
		at.Mix.Drafts = share * r.Shape.Capacity(r.Mix.OutputMean)
		variants := slices.DeleteFunc(Policies(), func(v Variant) bool { return !slices.Contains(policies, v.Name) })
		for i := range variants {
			variants[i].Name = fmt.Sprintf("%s@%g", variants[i].Name, share)
		}
		results, err := at.RunAll(ctx, variants)
		all = append(all, results...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}
