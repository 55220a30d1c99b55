package inflight

import (
	"context"
	"time"
)

// Ask asks the owner of a part of a target's slots for a lease. An owner that has none grants
// one later if a slot becomes free soon.
type Ask struct {
	Target string // incarnation
	Slots  int    // that the target has, as the asking node knows
	Part   int
	// TTL is how long the request may be in flight.
	TTL time.Duration
}

// Reply is the answer to an Ask.
type Reply struct {
	Granted  bool
	NotOwner bool   // the node does not own the part, or may not use it now
	ID       uint64 // of the lease, at its owner
}

// Grant grants a lease to a node that was denied one shortly before. It is not answered.
type Grant struct {
	Target string
	Part   int
	ID     uint64
	TTL    time.Duration
}

// Release ends a lease. It is not answered: a lease whose Release is lost ends with its TTL.
type Release struct {
	Target string
	Part   int
	ID     uint64
	// Rejected says that the target rejected the request for want of room.
	Rejected bool
}

// Notice informs other nodes whether a service's targets are brittle.
type Notice struct {
	Service string
	Brittle bool
	Age     time.Duration // since the response that said so arrived
}

// Network carries messages between nodes. They may be lost, late or duplicated.
type Network interface {
	// AskLease returns a node's reply; false if none arrives in time.
	AskLease(ctx context.Context, node string, a Ask) (Reply, bool)
	ReleaseLease(node string, r Release)
	GrantLease(node string, g Grant)
	// SpreadNotice sends a notice to up to n random other nodes.
	SpreadNotice(n int, notice Notice)
	// Peers returns the other nodes, as far as this one knows.
	Peers() []string
}

// noNetwork is the Network of a node without peers.
type noNetwork struct{}

func (noNetwork) AskLease(context.Context, string, Ask) (Reply, bool) { return Reply{}, false }
func (noNetwork) ReleaseLease(string, Release)                        {}
func (noNetwork) GrantLease(string, Grant)                            {}
func (noNetwork) SpreadNotice(int, Notice)                            {}
func (noNetwork) Peers() []string                                     { return nil }
