// Package shortname hashes the names of targets and nodes to 32 bits, for messages
// with many names.
package shortname

import "github.com/cespare/xxhash/v2"

// Of returns the 32-bit hash of a name. Collisions are possible, and callers must
// tolerate them.
func Of(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
