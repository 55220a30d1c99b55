// Package shortname hashes the names of targets and nodes to 32 bits, for messages
// with many names.
package shortname

import "github.com/cespare/xxhash/v2"

// Of returns the 32-bit hash of a name. Collisions are possible (a chance of 1 in 60
// for 12,000 names); the data of colliding names is summed.
func Of(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
