package inflight

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Availability says whether a request may be sent to a target.
type Availability int

// The availabilities.
const (
	Exhausted  Availability = iota // no slot is known to be free
	Obtainable                     // another node may have a free slot
	Free                           // this node has a free slot, or none is needed
)

// Request asks for a lease.
type Request struct {
	Service string
	Target  string // incarnation
	Slots   int    // that the target has
	// TTL is how long the request may be in flight.
	TTL time.Duration
}

// Lease is a slot of a target for one request. The zero value is none.
type Lease struct {
	target string
	part   int
	owner  string // empty for this node
	id     uint64 // 0 if no owner granted it
	until  time.Time
}

// Held reports whether there is a lease.
func (l *Lease) Held() bool { return l.target != "" }

const (
	// queueTime is how long a node that was denied a lease is granted one if a slot becomes
	// free, and how long it does not ask that owner again.
	queueTime = 60 * time.Millisecond
	// maxWaiters bounds the nodes that wait for a slot of one part.
	maxWaiters = 16
	// askRate and askBurst bound the questions of a node, in a second and at once: some
	// 200 bytes each with their answers. Under a surplus nodes keep the slots they have.
	askRate  = 18.0
	askBurst = 10
	// ownerTimeout is how long an owner that did not answer is not asked.
	ownerTimeout = time.Second
	// askedOwners is the number of owners that are asked for one request.
	askedOwners = 2
	// minTTL and maxTTL bound the time of a lease.
	minTTL = 500 * time.Millisecond
	maxTTL = 30 * time.Second
	// spareTime is how long a lease is kept for the next request of this node, where
	// requests wait for one.
	spareTime = 20 * time.Millisecond
	// wantedTime is how long after its wait a request may still look for a slot.
	wantedTime = 15 * time.Millisecond
	// handOnTime is how much longer than its first request a lease lasts, so that it can
	// serve further ones. The slot of a lost lease is unused for as long.
	handOnTime = time.Second
	// grantTransit bounds the time in which a Grant arrives.
	grantTransit = 250 * time.Millisecond
	// rankInterval is how often a node without owners compares itself with its peers.
	rankInterval = time.Second
	// abandonTime is how long a slot counts as occupied after its request was given up: the
	// target notices the closed connection by then, unless the path to it is lost.
	abandonTime = 750 * time.Millisecond
)

// Check reports whether Acquire may obtain a lease, as far as is known without asking
// other nodes.
func (l *Limiter) Check(r Request) Availability {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	if !l.bounded(r.Service, now) {
		return Free
	}
	s := l.target(r, now)
	usable := l.updateOwners(s)
	if len(s.spare) > 0 || usable && s.ownRoom(now) >= 0 || s.ownerless(usable, now) && s.unowned < l.unownedLimit(s, now) {
		return Free
	}
	if l.questions.TokensAt(now) >= 1 {
		for i := range s.owners {
			if s.mayAsk(i, now) {
				return Obtainable
			}
		}
	}
	return Exhausted
}

// Acquire obtains a lease, from this node or an owner. ok is also true, without a lease, if
// none is needed.
func (l *Limiter) Acquire(ctx context.Context, r Request) (lease Lease, ok bool) {
	l.mu.Lock()
	now := uptime.Now()
	if !l.bounded(r.Service, now) {
		l.mu.Unlock()
		return Lease{}, true
	}
	s := l.target(r, now)
	r.TTL = min(max(r.TTL, minTTL), maxTTL)
	if lease, ok := l.takeLocal(s, r.TTL, now); ok {
		l.mu.Unlock()
		return lease, true
	}
	parts := l.partsToAsk(s, now)
	slots := s.slots
	l.mu.Unlock()
	for _, p := range parts {
		if lease, ok := l.askOwner(ctx, p, Ask{Target: r.Target, Slots: slots, Part: p.part, TTL: r.TTL + handOnTime}); ok {
			return lease, true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = uptime.Now()
	if lease, ok := l.takeLocal(s, r.TTL, now); ok { // one may have become free meanwhile
		return lease, true
	}
	l.counters.denied.Inc()
	return Lease{}, false
}

// takeLocal takes a lease that this node has or may grant. The caller holds the mutex.
func (l *Limiter) takeLocal(s *targetState, ttl time.Duration, now time.Time) (Lease, bool) {
	if n := len(s.spare); n > 0 {
		lease := s.spare[n-1]
		s.spare = s.spare[:n-1]
		if now.Add(ttl).After(lease.until) {
			l.network.ReleaseLease(lease.owner, lease.release(false)) // it ends before the request
		} else {
			l.counters.handedOn.Inc()
			return lease, true
		}
	}
	usable := l.updateOwners(s)
	if usable {
		if i := s.ownRoom(now); i >= 0 {
			l.counters.own.Inc()
			return Lease{target: s.name, part: i, id: l.grant(s, i, now.Add(ttl)), until: now.Add(ttl)}, true
		}
	}
	if s.ownerless(usable, now) && s.unowned < l.unownedLimit(s, now) {
		s.unowned++
		l.counters.unowned.Inc()
		return Lease{target: s.name, until: now.Add(ttl)}, true
	}
	return Lease{}, false
}

// unownedLimit returns how many requests this node sends to a target while no owner can be
// reached: as many nodes as the target has slots send, those that rank first for it among the
// nodes that this one knows.
func (l *Limiter) unownedLimit(s *targetState, now time.Time) int {
	if now.Sub(s.unownedLimitAt) >= rankInterval {
		s.unownedLimit, s.unownedLimitAt = l.rankAmongPeers(s), now
	}
	return s.unownedLimit
}

// rankAmongPeers is unownedLimit as of now.
func (l *Limiter) rankAmongPeers(s *targetState) int {
	if l.ownership == nil {
		return 0 // this node owns all slots
	}
	peers := l.network.Peers()
	own := rendezvous.Weight(s.name, l.ownership.Self())
	ahead := 0
	for _, peer := range peers {
		if rendezvous.Weight(s.name, peer) > own {
			ahead++
		}
	}
	if ahead >= s.slots {
		return 0
	}
	return max(1, s.slots/(len(peers)+1))
}

// grant grants a lease of an own part and returns its ID. The caller holds the mutex.
func (l *Limiter) grant(s *targetState, i int, until time.Time) uint64 {
	l.lastID++
	s.parts[i].leases[l.lastID] = until
	return l.lastID
}

// ownedPart is a part with its owner.
type ownedPart struct {
	part  int
	owner string
}

// partsToAsk returns some random parts whose owners may be asked. The caller holds the
// mutex.
func (l *Limiter) partsToAsk(s *targetState, now time.Time) (parts []ownedPart) {
	for _, i := range l.rng.Perm(Parts) {
		if len(parts) < askedOwners && s.mayAsk(i, now) && l.questions.AllowN(now, 1) {
			parts = append(parts, ownedPart{part: i, owner: s.owners[i]})
		}
	}
	return parts
}

// askOwner asks the owner of a part for a lease.
func (l *Limiter) askOwner(ctx context.Context, p ownedPart, a Ask) (Lease, bool) {
	askedAt := uptime.Now()
	reply, answered := l.network.AskLease(ctx, p.owner, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.targets[a.Target]
	if s == nil {
		return Lease{}, false
	}
	now := uptime.Now()
	switch {
	case !answered || reply.NotOwner:
		s.lostAt[p.part], s.freeAt[p.part] = now, now.Add(ownerTimeout)
	case reply.Granted:
		l.counters.borrowed.Inc()
		return Lease{target: s.name, part: p.part, owner: p.owner, id: reply.ID, until: askedAt.Add(a.TTL)}, true
	default:
		s.freeAt[p.part] = now.Add(queueTime)
	}
	return Lease{}, false
}

// HandleAsk answers a node that asks for a lease of one of this node's parts.
func (l *Limiter) HandleAsk(node string, a Ask) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	s := l.target(Request{Target: a.Target, Slots: a.Slots}, now)
	usable := l.updateOwners(s)
	if a.Part < 0 || a.Part >= Parts || !usable || !s.mine[a.Part] {
		return Reply{NotOwner: true}
	}
	a.TTL = min(max(a.TTL, minTTL), maxTTL)
	if !s.hasRoom(a.Part, now) {
		s.parts[a.Part].enqueue(waiter{node: node, ttl: a.TTL, until: now.Add(queueTime)})
		return Reply{}
	}
	l.counters.lent.Inc()
	return Reply{Granted: true, ID: l.grant(s, a.Part, now.Add(a.TTL))}
}

// HandleGrant takes a lease that an owner grants after it denied one.
func (l *Limiter) HandleGrant(owner string, g Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	key := grantKey{owner: owner, id: g.ID}
	if _, doubled := l.grants[key]; doubled {
		return
	}
	l.grants[key] = now
	lease := Lease{target: g.Target, part: g.Part, owner: owner, id: g.ID, until: now.Add(g.TTL - grantTransit)}
	s := l.targets[g.Target]
	if s == nil || !l.wanted(s, now) {
		l.network.ReleaseLease(owner, lease.release(false))
		return
	}
	l.counters.borrowed.Inc()
	l.keepSpare(s, lease)
}

// Use reports whether a request may be sent to a target now with its lease. If that has
// ended or is for another target, one that this node has in hand is used instead.
func (l *Limiter) Use(r Request, lease *Lease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	if !l.bounded(r.Service, now) || lease.target == r.Target && now.Before(lease.until) {
		return true
	}
	l.end(lease, false)
	replacement, ok := l.takeLocal(l.target(r, now), min(max(r.TTL, minTTL), maxTTL), now)
	*lease = replacement
	return ok
}

// Release ends a lease whose request was not sent, or has ended at its target.
func (l *Limiter) Release(lease *Lease) {
	if !lease.Held() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(lease, false)
}

// Reject ends a lease whose request the target rejected for want of room.
func (l *Limiter) Reject(lease *Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.rejected.Inc()
	l.end(lease, true)
}

// Abandon ends a lease whose request was given up, once the target has noticed. If lost then
// reports that the path to the target is lost, it may go on for the whole time of the lease.
func (l *Limiter) Abandon(lease *Lease, lost func() bool) {
	if !lease.Held() {
		return
	}
	abandoned := *lease
	*lease = Lease{}
	time.AfterFunc(abandonTime, func() {
		if lost() {
			time.AfterFunc(uptime.Until(abandoned.until), func() { l.Release(&abandoned) })
			return
		}
		l.Release(&abandoned)
	})
}

// release returns the message that ends a lease.
func (l *Lease) release(rejected bool) Release {
	return Release{Target: l.target, Part: l.part, ID: l.id, Rejected: rejected}
}

// end ends a lease, if there is one. The caller holds the mutex.
func (l *Limiter) end(lease *Lease, rejected bool) {
	if !lease.Held() {
		return
	}
	ended := *lease
	*lease = Lease{}
	now := uptime.Now()
	s := l.targets[ended.target]
	switch {
	case ended.owner != "" && s != nil && !rejected && l.wanted(s, now):
		l.keepSpare(s, ended)
	case ended.owner != "":
		l.network.ReleaseLease(ended.owner, ended.release(rejected))
	case s == nil:
	case ended.id == 0:
		s.unowned--
		l.signalFreed()
	default:
		l.free(s, ended.release(rejected), now)
	}
}

// keepSpare keeps a lease of another owner for the next request. The caller holds the mutex.
func (l *Limiter) keepSpare(s *targetState, lease Lease) {
	s.spare = append(s.spare, lease)
	l.signalFreed()
	time.AfterFunc(spareTime, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, other := range s.spare {
			if other == lease {
				s.spare = append(s.spare[:i], s.spare[i+1:]...)
				l.network.ReleaseLease(lease.owner, lease.release(false))
				return
			}
		}
	})
}

// HandleRelease ends a lease of one of this node's parts.
func (l *Limiter) HandleRelease(r Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.targets[r.Target]; s != nil && r.Part >= 0 && r.Part < Parts {
		l.free(s, r, uptime.Now())
	}
}

// free frees a slot of an own part. The caller holds the mutex.
func (l *Limiter) free(s *targetState, r Release, now time.Time) {
	p := &s.parts[r.Part]
	if r.Rejected {
		p.blockedUntil = now.Add(blockTime)
	}
	if _, held := p.leases[r.ID]; !held {
		return
	}
	delete(p.leases, r.ID)
	if !l.wanted(s, now) || l.rng.IntN(2) == 0 {
		l.grantWaiter(s, r.Part, now)
	}
	l.signalFreed()
}

// grantWaiter grants a free slot of an own part to a node that waits for one. The caller
// holds the mutex.
func (l *Limiter) grantWaiter(s *targetState, i int, now time.Time) {
	if !l.updateOwners(s) || !s.mine[i] || !s.hasRoom(i, now) {
		return
	}
	w, ok := s.parts[i].dequeue(now)
	if !ok {
		return
	}
	l.counters.lent.Inc()
	l.network.GrantLease(w.node, Grant{Target: s.name, Part: i, ID: l.grant(s, i, now.Add(w.ttl)), TTL: w.ttl})
}
