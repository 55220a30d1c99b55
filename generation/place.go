package generation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
)

// chooseMembers makes a replica set: this node first, then those of keep that
// live, then others by rank for the identity, preferring data halls not yet
// used. Members in avoid are left out.
func (m *Manager) chooseMembers(id walnutramp.GenerationID, keep, avoid []Member) []Member {
	size := m.cfg.Guard().Replicas
	self := m.cfg.Directory.Self()
	set := []Member{self.Member}
	halls := map[walnutramp.DataHall]bool{self.DataHall: true}
	ranked := Rank(id, m.cfg.Directory.Live())
	take := func(want func(Node) bool) {
		for _, n := range ranked {
			if len(set) < size && !slices.Contains(set, n.Member) && !slices.Contains(avoid, n.Member) && want(n) {
				set = append(set, n.Member)
				halls[n.DataHall] = true
			}
		}
	}
	take(func(n Node) bool { return slices.Contains(keep, n.Member) })
	take(func(n Node) bool { return !halls[n.DataHall] })
	take(func(n Node) bool { return n.DataHall != self.DataHall })
	take(func(Node) bool { return true })
	if len(set)%2 == 0 {
		set = set[:len(set)-1]
	}
	return set
}

// Rank orders nodes by their distance on a hash ring behind the place where
// the identity begins: the place of the node that opened the generation. All
// generations of a node so share their replicas, and messages to them; and
// each node is a replica for about as many others as they are for it.
func Rank(id walnutramp.GenerationID, nodes []Node) []Node {
	origin := id.Place()
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Compare(Place(a.Node)-origin-1, Place(b.Node)-origin-1)
	})
	return ranked
}

// Place is where a node stands on the ring.
func Place(n walnutramp.NodeName) uint32 { return uint32(xxhash.Sum64String(string(n))) }
