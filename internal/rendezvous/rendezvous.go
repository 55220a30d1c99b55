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

// Sort puts names in order, the one that ranks highest for the key first.
func Sort(names []string, key string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
}
