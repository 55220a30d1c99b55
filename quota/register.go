package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Register is the leader's record of the nodes that request a share. It proposes
// changes of the set and decides what nodes may be told. Its methods are safe for
// concurrent use.
type Register struct {
	span time.Duration

	mu          sync.Mutex
	leaderSince time.Time // when this member became leader
	requests    map[string]nodeRequest
	removing    map[string]bool // removals that were proposed, whatever their outcome
}

type nodeRequest struct {
	at          time.Time
	incarnation uint64
}

// NewRegister returns a Register for a quota per span.
func NewRegister(span time.Duration) *Register {
	return &Register{span: span, requests: map[string]nodeRequest{}, removing: map[string]bool{}}
}

// BecomeLeader records that this member becomes leader. Nodes known to an earlier
// leader count as having requested now; what this member recorded as a follower remains
// valid.
func (r *Register) BecomeLeader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderSince = uptime.Now()
	clear(r.removing)
}

// RecordRequest records a node's request. A relay may not know the node's incarnation
// and leaves it 0.
func (r *Register) RecordRequest(n Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Incarnation == 0 {
		n.Incarnation = r.requests[n.Address].incarnation
	}
	r.requests[n.Address] = nodeRequest{at: uptime.Now(), incarnation: n.Incarnation}
}

// Next returns the set that the group should agree on next and the nodes that join and
// leave with it; joining and leaving are empty if no change is due.
func (r *Register) Next(set Set) (next Set, joining, leaving []string) {
	now := uptime.Now()
	next = set.Clone()
	if next.Epoch == 0 {
		next.Epoch = rand.Uint64() | 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, n := range r.requests {
		if now.Sub(n.at) > evictDelay(r.span) {
			delete(r.requests, address)
		} else if !set.has(address) || r.removing[address] {
			next.add(address, n.incarnation)
			joining = append(joining, address)
		}
	}
	for address := range set.Lives {
		_, requested := r.requests[address]
		if !requested && now.Sub(r.leaderSince) > evictDelay(r.span) {
			delete(next.Lives, address)
			r.removing[address] = true
			leaving = append(leaving, address)
		}
	}
	return next, joining, leaving
}

// Committed records that the group has committed a set returned by Next.
func (r *Register) Committed(set Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range set.Lives {
		delete(r.removing, address)
	}
}

// Assignment returns the assignment for the nodes that asked, given the set as a confirmed
// leader holds it: none while the set is not open, or while one of them may not be in
// it.
func (r *Register) Assignment(set Set, asked ...Node) Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !set.Open {
		return Assignment{}
	}
	for _, n := range asked {
		if !set.has(n.Address) || r.removing[n.Address] {
			return Assignment{}
		}
	}
	first := len(asked) == 1 && asked[0].Incarnation != 0 && set.Lives[asked[0].Address] == asked[0].Incarnation
	return Assignment{Nodes: len(set.Lives), Epoch: set.Epoch, First: first}
}
