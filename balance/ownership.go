package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
)

// Nodes that see the same idle targets at the same moment, as after a data
// hall was lost, would choose some of them twice. So each target has an owner
// among the nodes, and a second one, by rendezvous hash: what else is equal, a
// node takes the targets that it owns. Nodes need not agree on who is there;
// where they do not, two may own one target.

// Gains of a target for the nodes that own it, in milliseconds of waiting.
const (
	ownerGain  = 40.0
	secondGain = 20.0
)

// SetNodes names the nodes that choose among the targets, and this one.
func (t *Tracker) SetNodes(own string, nodes []string) {
	all := slices.Clone(nodes)
	if !slices.Contains(all, own) {
		all = append(all, own)
	}
	slices.Sort(all)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == own && slices.Equal(all, t.nodes) {
		return
	}
	t.own, t.nodes = own, all
	for _, target := range t.byID {
		target.gain = t.ownershipGain(target.ID)
	}
}

// SetFarLag says by how much longer it takes until nodes of other data halls
// tell what they began than until those of the own one do.
func (t *Tracker) SetFarLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.farLag = lag
}

// ownershipGain returns what speaks for a target because this node owns it. The
// caller holds the mutex.
func (t *Tracker) ownershipGain(id string) float64 {
	if t.own == "" {
		return 0
	}
	mine := ownership(t.own, id)
	ahead := 0
	for _, node := range t.nodes {
		if node != t.own && ownership(node, id) > mine {
			ahead++
		}
		if ahead > 1 {
			return 0
		}
	}
	if ahead == 0 {
		return ownerGain
	}
	return secondGain
}

func ownership(node, id string) uint64 { return rendezvous.Weight(node, id) }
