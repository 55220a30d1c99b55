// Package shortname names targets and nodes in four bytes, for messages that
// name many.
package shortname

import "github.com/cespare/xxhash/v2"

// Of returns the short name of a target or a node. Of 12,000 names two are alike
// once in 60 sites; what is known of these two is added up.
func Of(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
