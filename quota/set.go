package quota

import (
	"maps"
	"slices"
)

// Set is the replicated set of nodes that may hold a share. A change carries the whole
// set, so that members that missed one converge.
type Set struct {
	Epoch uint64 // 0 before the first set
	// Open says that nodes may be told their shares. Before, no node had one.
	Open bool
	// Lives maps node addresses to the process that joined before the set was opened, 0
	// for later ones.
	Lives map[string]uint64
}

// Node is one process of a node.
type Node struct {
	Address     string
	Incarnation uint64 // identifies the process; 0 if unknown
}

// Clone returns a deep copy.
func (s Set) Clone() Set {
	s.Lives = maps.Clone(s.Lives)
	if s.Lives == nil {
		s.Lives = map[string]uint64{}
	}
	return s
}

// add adds a node; its incarnation is kept only until the set is opened.
func (s *Set) add(address string, incarnation uint64) {
	if s.Open {
		incarnation = 0
	}
	s.Lives[address] = incarnation
}

// has reports whether all addresses are in the set.
func (s *Set) has(addresses ...string) bool {
	return !slices.ContainsFunc(addresses, func(a string) bool { _, in := s.Lives[a]; return !in })
}
