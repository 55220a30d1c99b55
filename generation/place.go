package generation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
)

// chooseMembers returns a replica set: this node, then the live members of keep, then
// other live nodes by Rank, preferring unused data halls. Members of avoid are excluded.
// The size is odd, and at most the configured number of replicas.
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

// Rank orders nodes by their distance on a hash ring from the position that prefixes the
// ID, that of the node that opened the generation. A node's generations thus share their
// replicas and the calls to them, and replicas are spread evenly over the nodes.
func Rank(id walnutramp.GenerationID, nodes []Node) []Node {
	origin := id.RingPosition()
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Compare(RingPosition(a.Node)-origin-1, RingPosition(b.Node)-origin-1)
	})
	return ranked
}

// RingPosition returns a node's position on the hash ring.
func RingPosition(n walnutramp.NodeName) uint32 { return uint32(xxhash.Sum64String(string(n))) }
