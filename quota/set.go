package quota

import "slices"

// Set is the nodes that may hold a part, as the group agreed on them.
type Set struct {
	Epoch uint64 // 0 before the first change
	// Open says that nodes may be told of their parts. None was before.
	Open bool
	// Lives are the nodes by address, each with the life of its process where that came
	// in before the set was opened, else 0.
	Lives map[string]uint64
}

// Change is a change of the set.
type Change struct {
	Epoch  uint64 // that a set without one gets
	Add    []Node
	Remove []string // addresses
	Open   bool     // the set, with those that it has then
}

// Node is one life of a node.
type Node struct {
	Address string
	Life    uint64 // names its process
}

// Apply makes a change.
func (s *Set) Apply(c Change) {
	if s.Epoch == 0 {
		s.Epoch = c.Epoch
	}
	for _, address := range c.Remove {
		delete(s.Lives, address)
	}
	for _, n := range c.Add {
		if s.Lives == nil {
			s.Lives = map[string]uint64{}
		}
		if s.Open {
			n.Life = 0
		}
		s.Lives[n.Address] = n.Life
	}
	s.Open = s.Open || c.Open
}

// Clone returns a copy.
func (s Set) Clone() Set {
	lives := make(map[string]uint64, len(s.Lives))
	for address, life := range s.Lives {
		lives[address] = life
	}
	return Set{Epoch: s.Epoch, Open: s.Open, Lives: lives}
}

// has reports whether all addresses are in the set.
func (s *Set) has(addresses ...string) bool {
	return !slices.ContainsFunc(addresses, func(a string) bool { _, in := s.Lives[a]; return !in })
}
