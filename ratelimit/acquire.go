package ratelimit

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Availability says whether a request may be sent to a target.
type Availability int

// The availabilities.
const (
	Exhausted  Availability = iota // no permit will be granted in time
	Obtainable                     // a permit may be granted after a wait, or by another node
	InHand                         // no limit is known, or this node has a permit
)

// Request asks for a permit.
type Request struct {
	Target  string // incarnation
	MaxWait time.Duration
	// Rank is the number of more urgent priorities. The less urgent a request is, the
	// shorter is the queue in which it may wait, so that more urgent ones get the permits
	// of a target that is short of them.
	Rank int
}

// Denial says why no permit was granted.
type Denial struct {
	RetryAfter  time.Duration // when the request should return
	Notice      Notice        // the limit
	OwnSlots    int           // slots that this node owns
	PermitsLeft float64       // permits in them; negative if granted in advance
}

// Limits of asking other nodes.
const (
	// minBackoff and maxBackoff bound the time for which an owner that denied a permit is
	// taken to have none. The limit may be lifted meanwhile.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// silenceBackoff is how long an owner that did not answer is not asked again: each try
	// delays a request by the time that it waits for the reply.
	silenceBackoff = time.Second
	// maxReturn bounds the Retry-After of rejected requests, and unknownReturn is the one
	// while nothing is known of the permits left.
	maxReturn     = 30 * time.Second
	unknownReturn = time.Second
)

// maxQueue returns how long a queue a request of a rank may join.
func maxQueue(maxWait time.Duration, rank int) time.Duration {
	return min(max(0, maxWait), maxReservation) / time.Duration(1+max(0, rank))
}

// queue returns how long a queue the request may join.
func (r *Request) queue() time.Duration { return maxQueue(r.MaxWait, r.Rank) }

// Check reports whether Acquire may obtain a permit, as far as is known without asking
// other nodes.
func (l *Limiter) Check(r Request) Availability {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.targets[r.Target]
	if s == nil || !s.notice.Limited() {
		return InHand
	}
	now := uptime.Now()
	if s.hasSpare(now) {
		return InHand
	}
	if l.updateOwners(s) {
		switch _, wait := s.soonest(now); {
		case wait == 0:
			return InHand
		case wait <= r.queue():
			return Obtainable
		}
	}
	for slot := range s.owners {
		if s.mayAsk(slot, r.queue(), now) {
			return Obtainable
		}
	}
	if l.probeDue(s, now) {
		return Obtainable
	}
	return Exhausted
}

// Acquire obtains a permit for a request: from the unused ones, from an own slot, or from
// an owner of another. The permit may become valid only after a wait of up to r.MaxWait;
// denial is nil if one was granted.
func (l *Limiter) Acquire(ctx context.Context, r Request) (p Permit, denial *Denial) {
	l.mu.Lock()
	s := l.targets[r.Target]
	if s == nil || !s.notice.Limited() {
		l.mu.Unlock()
		return Permit{}, nil
	}
	now := uptime.Now()
	s.usedAt = now
	usable := l.updateOwners(s)
	if p, ok := l.takeLocal(s, now, usable); ok {
		l.mu.Unlock()
		return p, nil
	}
	ask := Ask{Target: r.Target, Rate: s.notice.Rate, Age: s.notice.age(now), MaxWait: r.MaxWait, Rank: r.Rank}
	if _, wait := s.soonest(now); usable {
		ask.MaxWait = min(ask.MaxWait, wait)
	}
	owner := l.ownerToAsk(s, r.queue(), now)
	l.mu.Unlock()
	if owner != "" {
		if p, granted := l.askOwner(ctx, owner, ask); granted {
			return p, nil
		}
	}
	return l.reserve(r)
}

// askOwner asks an owner for a permit. granted is also true if the target turns out not to
// be limited any more.
func (l *Limiter) askOwner(ctx context.Context, owner string, ask Ask) (p Permit, granted bool) {
	askedAt := uptime.Now()
	reply, answered := l.network.Ask(ctx, owner, ask)
	if !answered {
		l.recordSilence(ask.Target, owner)
		return Permit{}, false
	}
	return l.applyReply(ask.Target, owner, askedAt, reply)
}

// takeLocal takes an unused permit or one of an own slot, without a wait. The caller holds
// the mutex.
func (l *Limiter) takeLocal(s *targetState, now time.Time, usable bool) (Permit, bool) {
	if p, ok := s.takeSpare(now); ok {
		l.counters.reused.Inc()
		return p, true
	}
	return l.takeSlot(s, now, usable, 0)
}

// takeSlot takes a permit of an own slot that is valid after a wait of up to queue. The
// caller holds the mutex.
func (l *Limiter) takeSlot(s *targetState, now time.Time, usable bool, queue time.Duration) (Permit, bool) {
	slot, wait := s.soonest(now)
	if !usable || wait > queue {
		return Permit{}, false
	}
	s.buckets[slot].tokens--
	l.counters.own.Inc()
	return s.permit(now, now, wait), true
}

// reserve takes a permit of an own slot in advance if the request may wait for it, or one to
// probe the limit.
func (l *Limiter) reserve(r Request) (Permit, *Denial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.targets[r.Target]
	if s == nil || !s.notice.Limited() {
		return Permit{}, nil
	}
	now := uptime.Now()
	if p, ok := l.takeSlot(s, now, l.updateOwners(s), r.queue()); ok {
		return p, nil
	}
	if p, ok := l.takeProbe(s, now); ok {
		return p, nil
	}
	return Permit{}, l.deny(s, now)
}

// Deny returns the denial of a request for which no owner was asked, as none is expected
// to have a permit in time; nil if the target is not limited.
func (l *Limiter) Deny(target string) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.targets[target]
	if s == nil || !s.notice.Limited() {
		return nil
	}
	return l.deny(s, uptime.Now())
}

// deny schedules the return of a rejected request after those that were rejected before.
// The caller holds the mutex.
func (l *Limiter) deny(s *targetState, now time.Time) *Denial {
	l.counters.denied.Inc()
	denial := &Denial{RetryAfter: unknownReturn, Notice: s.notice}
	usable := l.updateOwners(s)
	denial.OwnSlots, denial.PermitsLeft = s.ownPermits(now)
	if _, wait := s.soonest(now); usable && wait != never {
		denial.RetryAfter = s.scheduleReturn(now, wait)
		return denial
	}
	if s.returnAt.After(now) {
		denial.RetryAfter = min(s.returnAt.Sub(now), maxReturn)
		s.returnAt = s.returnAt.Add(interval(s.notice.Rate))
	}
	return denial
}

// mayAsk reports whether the owner of a slot may be asked for a request that may join a
// queue of the given length: it is another node, and not known to have no permit in time.
func (s *targetState) mayAsk(slot int, queue time.Duration, now time.Time) bool {
	if s.owners[slot] == "" || s.mine[slot] || s.freeAt[slot].Sub(now) > queue {
		return false
	}
	perSecond, _ := slotRate(s.notice.Rate, slot)
	return perSecond > 0
}

// ownerToAsk returns a random one of the other owners that may be asked; empty if there is
// none. The caller holds the mutex.
func (l *Limiter) ownerToAsk(s *targetState, queue time.Duration, now time.Time) string {
	for _, slot := range l.rng.Perm(Slots) {
		if s.mayAsk(slot, queue, now) {
			return s.owners[slot]
		}
	}
	return ""
}

// recordSilence records that an owner did not answer.
func (l *Limiter) recordSilence(target, owner string) {
	l.counters.unanswered.Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.targets[target]; s != nil {
		s.setFreeAt(owner, uptime.Now().Add(silenceBackoff))
	}
}

// applyReply applies an owner's reply and returns the permit that it grants, if any.
// granted is also true if the target is no longer limited.
func (l *Limiter) applyReply(target, owner string, askedAt time.Time, reply Reply) (p Permit, granted bool) {
	l.mu.Lock()
	s := l.targets[target]
	if s == nil {
		l.mu.Unlock()
		return Permit{}, true
	}
	now := uptime.Now()
	notify := func() {}
	if !reply.NotOwner {
		notify = l.apply(s, Notice{Rate: reply.Rate, At: askedAt.Add(-reply.Age)})
	}
	if reply.Granted {
		l.counters.borrowed.Inc()
		p = s.permit(askedAt, now, reply.Wait)
		p.rate = reply.Rate
	} else {
		s.setFreeAt(owner, now.Add(min(max(minBackoff, reply.Wait), maxBackoff)))
	}
	if reply.RetryAfter > 0 {
		s.returnAt = now.Add(min(reply.RetryAfter, maxReturn))
	}
	limited := s.notice.Limited()
	l.mu.Unlock()
	notify()
	return p, reply.Granted || !limited
}

// setFreeAt records when an owner is expected to have a permit again.
func (s *targetState) setFreeAt(owner string, at time.Time) {
	for slot, o := range s.owners {
		if o == owner {
			s.freeAt[slot] = at
		}
	}
}
