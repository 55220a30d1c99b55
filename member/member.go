// Package member finds out which nodes live: each node probes one other a
// period, asks others to probe a silent one before suspecting it, and spreads
// what it learns on the probes' backs. A node's cost does not grow with the
// number of nodes.
package member

import (
	"github.com/walnutramp/walnutramp"
)

// Status is what a node is believed to be. A larger value overrides a smaller
// one of the same incarnation and version.
type Status int

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // it said that it stops
)

// String names the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "left"
}

// Node is what is known of one node.
type Node struct {
	Name        walnutramp.NodeName
	DataHall    walnutramp.DataHall
	Address     string // for peers
	Incarnation walnutramp.Incarnation
	Version     uint64 // raised by the node itself to refute a suspicion
	Status      Status
}

// overrides reports whether news n replaces old.
func (n Node) overrides(old Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	if n.Version != old.Version {
		return n.Version > old.Version
	}
	return n.Status > old.Status
}

// Service is the name under which nodes answer probes.
const Service = "Member"

// PingArgs is a probe.
type PingArgs struct {
	From    Node
	To      walnutramp.NodeName
	Updates []Node
}

// PingReply answers a probe.
type PingReply struct {
	From    Node
	Updates []Node
}

// IndirectArgs asks a node to probe another.
type IndirectArgs struct {
	Target  walnutramp.NodeName
	Updates []Node
}

// IndirectReply says whether the other answered.
type IndirectReply struct {
	Answered bool
	From     Node
}
