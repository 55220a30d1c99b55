package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// Subset returns the targets that a node uses, sorted by name: all targets without
// models, and for each model all its targets if there are at most perModel, else perModel
// of them by rendezvous hashing of the node's name, at least half of them, where possible,
// from the node's own data hall. It bounds a node's tracking cost on large sites.
func Subset(node walnutramp.NodeName, hall walnutramp.DataHall, targets []bundle.Target, perModel int) []bundle.Target {
	byModel := map[walnutramp.ModelName][]bundle.Target{}
	var subset []bundle.Target
	for _, t := range targets {
		if len(t.Models) == 0 {
			subset = append(subset, t)
		}
		for _, m := range t.Models {
			byModel[m] = append(byModel[m], t)
		}
	}
	seen := map[walnutramp.TargetName]bool{}
	for _, ts := range byModel {
		for _, t := range rendezvousSubset(node, hall, ts, perModel) {
			if !seen[t.Name] {
				seen[t.Name] = true
				subset = append(subset, t)
			}
		}
	}
	slices.SortFunc(subset, func(a, b bundle.Target) int { return cmp.Compare(a.Name, b.Name) })
	return subset
}

// rendezvousSubset returns all targets if there are at most n, else n of them.
func rendezvousSubset(node walnutramp.NodeName, hall walnutramp.DataHall, targets []bundle.Target, n int) []bundle.Target {
	if len(targets) <= n {
		return targets
	}
	key := xxhash.Sum64String(string(node))
	order := make([]ranked, len(targets))
	for i := range targets {
		order[i] = ranked{rankHash(key, string(targets[i].Name)), i}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var reserved, rest []bundle.Target // the first n/2 of the node's own data hall, and others
	for _, r := range order {
		t := targets[r.index]
		if t.DataHall == hall && len(reserved) < n/2 {
			reserved = append(reserved, t)
		} else if len(rest) < n {
			rest = append(rest, t)
		}
	}
	return append(reserved, rest[:n-len(reserved)]...)
}

type ranked struct {
	rank  uint64
	index int
}
