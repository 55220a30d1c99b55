package quota

import (
	"maps"
	"slices"
)

// Set is the nodes that may hold a part, as the group agreed on them. A change of it is
// the whole set as it is to be, so that members which missed one hold the same again.
type Set struct {
	Epoch uint64 // 0 before there is one
	// Open says that nodes may be told of their parts. None was before.
	Open bool
	// Lives are the nodes by address, each with the life of its process where that came
	// in before the set was opened, else 0.
	Lives map[string]uint64
}

// Node is one life of a node.
type Node struct {
	Address string
	Life    uint64 // names its process; 0 where that is not known
}

// Clone returns a copy.
func (s Set) Clone() Set {
	s.Lives = maps.Clone(s.Lives)
	if s.Lives == nil {
		s.Lives = map[string]uint64{}
	}
	return s
}

// add adds a node, with its life where that is among the first.
func (s *Set) add(address string, life uint64) {
	if s.Open {
		life = 0
	}
	s.Lives[address] = life
}

// has reports whether all addresses are in the set.
func (s *Set) has(addresses ...string) bool {
	return !slices.ContainsFunc(addresses, func(a string) bool { _, in := s.Lives[a]; return !in })
}
