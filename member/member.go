// Package member implements SWIM-style group membership: each node probes one
// other per period, asks others to probe an unresponsive one before suspecting
// it, and piggybacks membership updates on the probes. The load of a node does
// not grow with the number of nodes.
package member

import (
	"github.com/walnutramp/walnutramp"
)

// Status is the believed status of a node. A larger value overrides a smaller one of
// the same incarnation and version.
type Status int

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	Left // it announced its shutdown
)

// String returns the name of the status.
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

// Node is the membership record of a node.
type Node struct {
	Name        walnutramp.NodeName
	DataHall    walnutramp.DataHall
	Address     string // for RPC from peers
	Incarnation walnutramp.Incarnation
	Version     uint64 // raised by the node itself to refute a suspicion
	Status      Status
}

// overrides reports whether update n replaces old.
func (n Node) overrides(old Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	if n.Version != old.Version {
		return n.Version > old.Version
	}
	return n.Status > old.Status
}

// Service is the RPC service name of the probe handler.
const Service = "Member"

// PingArgs are the arguments of a probe.
type PingArgs struct {
	From    Node
	To      walnutramp.NodeName
	Updates []Node
}

// PingReply is the reply to a probe.
type PingReply struct {
	From    Node
	Updates []Node
}

// IndirectArgs asks a node to probe another.
type IndirectArgs struct {
	Target  walnutramp.NodeName
	Updates []Node
}

// IndirectReply reports whether the other node answered.
type IndirectReply struct {
	Answered bool
	From     Node
}
