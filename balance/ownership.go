package balance

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
)

// Nodes that see the same idle targets at the same time, as after the loss of a data
// hall, would select some of them twice. So each target has a primary and a secondary
// owner among the nodes, by rendezvous hashing, and a node prefers the targets that it
// owns. Nodes need not agree on the membership; where they differ, two may own the same
// target.

// Score bonuses for the owners of a target, in milliseconds of wait.
const (
	primaryOwnerBonus   = 40.0
	secondaryOwnerBonus = 20.0
)

// SetNodes sets the nodes that select among the targets, and which of them is this one.
func (t *Tracker) SetNodes(self string, nodes []string) {
	all := slices.Clone(nodes)
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	slices.Sort(all)
	if version, local := t.replaceNodes(self, all); local != nil {
		t.setOwnership(version, local, ownershipBonuses(self, all, local))
	}
}

// replaceNodes stores the nodes and returns their version and the targets of the local
// data hall, for which ownership is to be computed; no targets if the nodes are
// unchanged.
func (t *Tracker) replaceNodes(self string, all []string) (version uint64, local []*Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self == self && slices.Equal(all, t.nodes) {
		return 0, nil
	}
	t.self, t.nodes = self, all
	t.nodesVersion++
	for _, p := range t.pools {
		if h := p.halls[t.cfg.DataHall]; h != nil {
			for _, at := range h.ring {
				local = append(local, at.target)
			}
		}
	}
	return t.nodesVersion, local
}

// ownershipBonuses computes the ownership bonuses of targets without the mutex, as
// there may be thousands of targets and of nodes.
func ownershipBonuses(self string, nodes []string, targets []*Target) []float64 {
	bonuses := make([]float64, len(targets))
	for i, target := range targets {
		bonuses[i] = ownershipBonus(self, nodes, target.ID)
	}
	return bonuses
}

// setOwnership stores ownership bonuses, unless the nodes have changed meanwhile.
func (t *Tracker) setOwnership(version uint64, targets []*Target, bonuses []float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version != t.nodesVersion {
		return
	}
	for _, p := range t.pools {
		if h := p.halls[t.cfg.DataHall]; h != nil {
			h.owned = h.owned[:0]
		}
	}
	for i, target := range targets {
		target.ownerBonus, target.ownerBonusVersion = bonuses[i], version
		target.addIfOwned()
	}
}

// addIfOwned adds the target to the owned targets of the local data hall if this node
// owns it. The caller holds the mutex.
func (t *Target) addIfOwned() {
	if t.hall != nil && t.hall.name == t.tracker.cfg.DataHall && t.ownershipBonus() > 0 {
		t.hall.owned = append(t.hall.owned, t)
	}
}

// SetCrossHallLag sets how much later reports arrive from nodes in other data halls
// than from nodes in this one.
func (t *Tracker) SetCrossHallLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crossHallLag = lag
}

// ownershipBonus returns the target's bonus for this node, cached per version of the
// nodes. The caller holds the mutex.
func (t *Target) ownershipBonus() float64 {
	if of := t.tracker; t.ownerBonusVersion != of.nodesVersion {
		t.ownerBonus, t.ownerBonusVersion = ownershipBonus(of.self, of.nodes, t.ID), of.nodesVersion
	}
	return t.ownerBonus
}

// ownershipBonus computes the bonus of a target for the node self; 0 before the nodes
// are set.
func ownershipBonus(self string, nodes []string, id string) float64 {
	if self == "" {
		return 0
	}
	mine := ownershipWeight(self, id)
	ahead := 0
	for _, node := range nodes {
		if node != self && ownershipWeight(node, id) > mine {
			ahead++
		}
		if ahead > 1 {
			return 0
		}
	}
	if ahead == 0 {
		return primaryOwnerBonus
	}
	return secondaryOwnerBonus
}

func ownershipWeight(node, id string) uint64 { return rendezvous.Weight(node, id) }
