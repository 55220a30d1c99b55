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
	if version, near := t.takeNodes(own, all); near != nil {
		t.setOwned(version, near, gainsOf(own, all, near))
	}
}

// takeNodes takes the nodes, and returns the targets of the own data hall, whose owners
// are to be worked out under that version of the nodes; none if the nodes are the same.
func (t *Tracker) takeNodes(own string, all []string) (version uint64, near []*Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own == own && slices.Equal(all, t.nodes) {
		return 0, nil
	}
	t.own, t.nodes = own, all
	t.nodesVersion++
	for _, p := range t.pools {
		if h := p.halls[t.cfg.DataHall]; h != nil {
			for _, at := range h.ring {
				near = append(near, at.target)
			}
		}
	}
	return t.nodesVersion, near
}

// gainsOf works out what speaks for each of some targets, without the mutex: there may
// be thousands of both targets and nodes.
func gainsOf(own string, nodes []string, targets []*Target) []float64 {
	gains := make([]float64, len(targets))
	for i, target := range targets {
		gains[i] = ownershipGain(own, nodes, target.ID)
	}
	return gains
}

// setOwned takes what speaks for targets, unless the nodes are others meanwhile.
func (t *Tracker) setOwned(version uint64, near []*Target, gains []float64) {
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
	for i, target := range near {
		target.gain, target.gainFor = gains[i], version
		target.noteOwned()
	}
}

// noteOwned puts the target among those of its data hall that this node owns, if it
// does. The caller holds the mutex.
func (t *Target) noteOwned() {
	if t.hall != nil && t.hall.name == t.tracker.cfg.DataHall && t.ownershipGain() > 0 {
		t.hall.owned = append(t.hall.owned, t)
	}
}

// SetFarLag says by how much longer it takes until nodes of other data halls
// tell what they began than until those of the own one do.
func (t *Tracker) SetFarLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.farLag = lag
}

// ownershipGain returns what speaks for the target because this node owns it. The
// caller holds the mutex.
func (t *Target) ownershipGain() float64 {
	if of := t.tracker; t.gainFor != of.nodesVersion {
		t.gain, t.gainFor = ownershipGain(of.own, of.nodes, t.ID), of.nodesVersion
	}
	return t.gain
}

// ownershipGain returns what speaks for a target because a node owns it.
func ownershipGain(own string, nodes []string, id string) float64 {
	if own == "" {
		return 0
	}
	mine := ownership(own, id)
	ahead := 0
	for _, node := range nodes {
		if node != own && ownership(node, id) > mine {
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
