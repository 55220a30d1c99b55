package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// Subset returns the targets that a node works with: all of a model's where
// they are few, else so many of them, drawn by rendezvous hash of the node's
// name, half of them from its own data hall if that has them. What a node
// spends on knowing its targets so does not grow with the site.
func Subset(node walnutramp.NodeName, hall walnutramp.DataHall, targets []bundle.Target, perModel int) []bundle.Target {
	byModel := map[walnutramp.ModelName][]bundle.Target{}
	var chosen []bundle.Target
	for _, t := range targets {
		if len(t.Models) == 0 {
			chosen = append(chosen, t)
		}
		for _, m := range t.Models {
			byModel[m] = append(byModel[m], t)
		}
	}
	taken := map[walnutramp.TargetName]bool{}
	for _, ts := range byModel {
		for _, t := range pickSome(node, hall, ts, perModel) {
			if !taken[t.Name] {
				taken[t.Name] = true
				chosen = append(chosen, t)
			}
		}
	}
	slices.SortFunc(chosen, func(a, b bundle.Target) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

func pickSome(node walnutramp.NodeName, hall walnutramp.DataHall, targets []bundle.Target, n int) []bundle.Target {
	if len(targets) <= n {
		return targets
	}
	key := xxhash.Sum64String(string(node))
	order := make([]ranked, len(targets))
	for i := range targets {
		order[i] = ranked{rankHash(key, string(targets[i].Name)), i}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var near, far []bundle.Target
	for _, r := range order {
		t := targets[r.index]
		if t.DataHall == hall && len(near) < n/2 {
			near = append(near, t)
		} else if len(far) < n {
			far = append(far, t)
		}
	}
	return append(near, far[:n-len(near)]...)
}

type ranked struct {
	rank  uint64
	index int
}
