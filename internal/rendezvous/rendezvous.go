// Package rendezvous ranks names for a key by the hash of both, so that all who
// know the same names agree without a word, and one name more or less moves
// few keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns how high a name ranks for a key.
func Weight(key, name string) uint64 { return xxhash.Sum64String(key + "@" + name) }

// ranked is a name with its weight for a key.
type ranked struct {
	name   string
	weight uint64
}

// Sort puts names in order, the one that ranks highest for the key first.
func Sort(names []string, key string) {
	all := make([]ranked, len(names))
	for i, name := range names {
		all[i] = ranked{name: name, weight: Weight(key, name)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	for i, r := range all {
		names[i] = r.name
	}
}
