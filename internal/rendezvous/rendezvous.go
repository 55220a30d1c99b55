// Package rendezvous implements rendezvous (highest random weight) hashing: nodes
// with the same list of names agree on the order for each key, and adding or
// removing a name moves few keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a name for a key. Higher weights rank first.
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "@" + name) }

// weightedName is a name with its weight for a key.
type weightedName struct {
	name   string
	weight uint64
}

// compare orders names by descending weight.
func compare(a, b weightedName) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
}

// Sort sorts names in place by descending weight for the key.
func Sort(names []string, key string) {
	all := make([]weightedName, len(names))
	for i, name := range names {
		all[i] = weightedName{name: name, weight: Weight(key, name)}
	}
	slices.SortFunc(all, compare)
	for i, r := range all {
		names[i] = r.name
	}
}

// Top returns the names that rank first for the key, at most n and in order. For a small n
// it is faster than Sort.
func Top(names []string, key string, n int) []string {
	best := make([]weightedName, 0, n+1)
	for _, name := range names {
		candidate := weightedName{name: name, weight: Weight(key, name)}
		if len(best) == n && compare(best[n-1], candidate) < 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, candidate, compare)
		best = slices.Insert(best, i, candidate)
		best = best[:min(n, len(best))]
	}
	top := make([]string, len(best))
	for i, b := range best {
		top[i] = b.name
	}
	return top
}

// First returns the name that ranks first for the key; empty if there are none.
func First(names []string, key string) string {
	if len(names) == 0 {
		return ""
	}
	return Top(names, key, 1)[0]
}
