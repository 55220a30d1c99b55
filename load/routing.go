package load

import (
	"context"
	"fmt"
	"slices"

	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/route"
)

// Policies returns one variant per routing policy: the default one and the baselines
// to compare it with.
func Policies() []Variant {
	var vs []Variant
	for _, p := range []route.Policy{route.Predicted, route.LeastReported, route.RoundRobin, route.RandomChoice} {
		vs = append(vs, Variant{Name: string(p), NodeOpt: []node.Option{node.WithRouteOptions(route.WithPolicy(p))}})
	}
	return vs
}

// Capacity returns how many drafts per second the engines can decode with all slots
// in use, for a mean output length in tokens.
func (s Shape) Capacity(outputMean int) float64 {
	e := s.siteConfig(0).Engine
	fullBatchInterval := e.TokenInterval.Seconds() * (1 + e.BatchSlowdown)
	return float64(s.Engines*e.Slots) / fullBatchInterval / float64(outputMean)
}

// RunRouting runs the named policies at each load, given as a fraction of Capacity.
// On an error it also returns the results so far.
func (r *Runner) RunRouting(ctx context.Context, shares []float64, policies []string) ([]*Result, error) {
	var all []*Result
	for _, share := range shares {
		scaled := *r
		scaled.Mix.Drafts = share * r.Shape.Capacity(r.Mix.OutputMean)
		variants := slices.DeleteFunc(Policies(), func(v Variant) bool { return !slices.Contains(policies, v.Name) })
		for i := range variants {
			variants[i].Name = fmt.Sprintf("%s@%g", variants[i].Name, share)
		}
		results, err := scaled.RunAll(ctx, variants)
		all = append(all, results...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}
