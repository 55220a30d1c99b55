package inflight

import (
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/quota"
)

// Parts is the number of parts into which a target's slots are divided. They are owned by
// different nodes, so that the loss of one node costs at most a part of the slots.
const Parts = 4

// targetState is what the node knows of one target, and the parts that it owns.
type targetState struct {
	name    string // incarnation
	service string // empty if only other nodes have asked for it
	slots   int
	usedAt  time.Time

	members uint64 // version of the list of nodes that owners were taken from
	owners  [Parts]string
	mine    [Parts]bool
	parts   [Parts]part
	freeAt  [Parts]time.Time // when an owner that denied a lease may be asked again
	lostAt  [Parts]time.Time // when an owner did not answer or was none
	spare   []Lease          // of other owners, whose request has ended
	unowned int              // leases that no owner has granted
	// unownedLimit bounds them, as of a time.
	unownedLimit   int
	unownedLimitAt time.Time
}

func newTargetState(name string) *targetState {
	s := &targetState{name: name, slots: 1}
	for i := range s.parts {
		s.parts[i].leases = map[uint64]time.Time{}
	}
	return s
}

// part is a part of a target's slots that this node owns.
type part struct {
	leases       map[uint64]time.Time // when they end, by ID
	blockedUntil time.Time            // the target rejected a request
	waiters      []waiter             // nodes that were denied a lease, oldest first
}

// waiter is a node that was denied a lease.
type waiter struct {
	node  string
	ttl   time.Duration // of the lease
	until time.Time
}

// enqueue adds a waiter, unless its node is one.
func (p *part) enqueue(w waiter) {
	for i := range p.waiters {
		if p.waiters[i].node == w.node {
			p.waiters[i].until = w.until
			return
		}
	}
	if len(p.waiters) < maxWaiters {
		p.waiters = append(p.waiters, w)
	}
}

// dequeue returns the oldest waiter that still waits; false if there is none.
func (p *part) dequeue(now time.Time) (waiter, bool) {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		if now.Before(w.until) {
			return w, true
		}
	}
	return waiter{}, false
}

// capacity returns the number of slots of a part.
func (s *targetState) capacity(i int) int { return s.slots*(i+1)/Parts - s.slots*i/Parts }

// blockTime is how long a part grants nothing after its target has rejected a request: it
// has less room than it says.
const blockTime = 250 * time.Millisecond

// hasRoom reports whether a part has a free slot.
func (s *targetState) hasRoom(i int, now time.Time) bool {
	p := &s.parts[i]
	if now.Before(p.blockedUntil) {
		return false
	}
	if len(p.leases) < s.capacity(i) {
		return true
	}
	for id, until := range p.leases {
		if !now.Before(until) {
			delete(p.leases, id)
		}
	}
	return len(p.leases) < s.capacity(i)
}

// updateOwners brings the owners up to date and reports whether this node may use its own
// parts now. The caller holds the limiter's mutex.
func (l *Limiter) updateOwners(s *targetState) (usable bool) {
	if l.ownership == nil {
		for i := range s.mine {
			s.mine[i] = true
		}
		return true
	}
	members, usable := l.ownership.Members()
	if members.Version() != s.members {
		s.members = members.Version()
		s.setOwners(members, l.ownership.Self())
	}
	return usable
}

func (s *targetState) setOwners(members quota.Members, self string) {
	for i := range s.owners {
		s.owners[i] = members.Owner(s.name + "/slots/" + strconv.Itoa(i))
		s.mine[i] = s.owners[i] == self
		s.lostAt[i], s.freeAt[i] = time.Time{}, time.Time{}
	}
}

// ownRoom returns an own part with a free slot; -1 if there is none.
func (s *targetState) ownRoom(now time.Time) int {
	for i, mine := range s.mine {
		if mine && s.hasRoom(i, now) {
			return i
		}
	}
	return -1
}

// mayAsk reports whether the owner of a part may be asked for a lease.
func (s *targetState) mayAsk(i int, now time.Time) bool {
	return s.owners[i] != "" && !s.mine[i] && s.capacity(i) > 0 && !now.Before(s.freeAt[i])
}

// ownerless reports whether no owner of any part can be reached, this node included.
func (s *targetState) ownerless(usable bool, now time.Time) bool {
	for i, owner := range s.owners {
		switch {
		case s.capacity(i) == 0:
		case s.mine[i]:
			if usable {
				return false
			}
		case owner != "" && now.Sub(s.lostAt[i]) >= ownerTimeout:
			return false
		}
	}
	return true
}
