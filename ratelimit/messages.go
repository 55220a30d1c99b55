package ratelimit

import (
	"context"
	"time"
)

// Ask asks the owner of a slot for a permit.
type Ask struct {
	Target string // incarnation
	// Rate and Age are the asking node's newest notice of the target's limit.
	Rate float64
	Age  time.Duration
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
	Rank    int // number of more urgent priorities
}

// Reply is the answer to an Ask.
type Reply struct {
	Granted  bool
	NotOwner bool // the node owns no slot of the target, or may not use it now
	// Wait is the time from the reply to when the permit becomes valid or, if none is
	// granted, to when one would.
	Wait time.Duration
	// RetryAfter is, if none is granted, when the request should return, after those that
	// were rejected before.
	RetryAfter time.Duration
	// Rate and Age are the owner's newest notice of the target's limit.
	Rate float64
	Age  time.Duration
}

// Change reports a changed limit to other nodes.
type Change struct {
	Target string // incarnation
	Rate   float64
	Age    time.Duration // since the response that said so arrived
}

// Network carries messages between nodes. They may be lost, late or duplicated.
type Network interface {
	// Ask returns a node's reply to a; false if none arrives in time.
	Ask(ctx context.Context, node string, a Ask) (Reply, bool)
	// Nodes returns the number of nodes, this one included.
	Nodes() int
	// Gossip sends changes to up to n random other nodes.
	Gossip(n int, changes []Change)
}

// noNetwork is the Network of a node without peers.
type noNetwork struct{}

func (noNetwork) Ask(context.Context, string, Ask) (Reply, bool) { return Reply{}, false }
func (noNetwork) Nodes() int                                     { return 1 }
func (noNetwork) Gossip(int, []Change)                           {}
