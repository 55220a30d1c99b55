package ratelimit

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
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
	RetryAfter time.Duration // when the request should return
	Notice     Notice        // the limit
	Own        int           // slots that this node owns
	Left       float64       // permits in them; negative if granted in advance
}

// Limits of asking other nodes.
const (
	maxAsks = 1 // owners asked for one request
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
	if l.locate(s) {
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
	usable := l.locate(s)
	if p, ok := l.takeLocal(s, now, usable); ok {
		l.mu.Unlock()
		return p, nil
	}
	ask := Ask{Target: r.Target, Rate: s.notice.Rate, Age: s.notice.age(now), MaxWait: r.MaxWait, Rank: r.Rank}
	if _, wait := s.soonest(now); usable {
		ask.MaxWait = min(ask.MaxWait, wait)
	}
	owners := l.ownersToAsk(s, r.queue(), now)
	l.mu.Unlock()
	for _, owner := range owners {
		askedAt := uptime.Now()
		reply, answered := l.network.Ask(ctx, owner, ask)
		if !answered {
			l.recordSilence(r.Target, owner)
		} else if p, granted := l.applyReply(r.Target, owner, askedAt, reply); granted {
			return p, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return l.reserve(r)
}

// takeLocal takes an unused permit or one of an own slot, without a wait. The caller holds
// the mutex.
func (l *Limiter) takeLocal(s *targetState, now time.Time, usable bool) (Permit, bool) {
	if p, ok := s.takeSpare(now); ok {
		l.counters.reused.Inc()
		return p, true
	}
	if !usable {
		return Permit{}, false
	}
	slot, wait := s.soonest(now)
	if wait > 0 {
		return Permit{}, false
	}
	s.buckets[slot].tokens--
	l.counters.own.Inc()
	return s.permit(now, now, 0), true
}

// permit returns a permit that is granted at one time, as known at another, after a wait.
func (s *targetState) permit(grantedAt, knownAt time.Time, wait time.Duration) Permit {
	return Permit{target: s.name, rate: s.notice.Rate, from: knownAt.Add(wait), until: grantedAt.Add(wait + useWithin)}
}

// reserve takes a permit of an own slot in advance if the request may wait for it.
func (l *Limiter) reserve(r Request) (Permit, *Denial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.targets[r.Target]
	if s == nil || !s.notice.Limited() {
		return Permit{}, nil
	}
	now := uptime.Now()
	if l.locate(s) {
		slot, wait := s.soonest(now)
		if wait <= r.queue() {
			s.buckets[slot].tokens--
			l.counters.own.Inc()
			return s.permit(now, now, wait), nil
		}
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

// deny tells a rejected request to return after those that were rejected before. The
// caller holds the mutex.
func (l *Limiter) deny(s *targetState, now time.Time) *Denial {
	l.counters.denied.Inc()
	denial := &Denial{RetryAfter: unknownReturn, Notice: s.notice}
	usable := l.locate(s)
	denial.Own, denial.Left = s.ownPermits(now)
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

// interval returns the mean time between the requests that a limit allows.
func interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, minRate))
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

// ownersToAsk returns up to maxAsks other owners that may be asked, in random order. The
// caller holds the mutex.
func (l *Limiter) ownersToAsk(s *targetState, queue time.Duration, now time.Time) (owners []string) {
	for _, slot := range l.rng.Perm(Slots) {
		if s.mayAsk(slot, queue, now) && !slices.Contains(owners, s.owners[slot]) {
			owners = append(owners, s.owners[slot])
		}
	}
	return owners[:min(maxAsks, len(owners))]
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
	update := func() {}
	if !reply.NotOwner {
		update = l.apply(s, Notice{Rate: reply.Rate, At: askedAt.Add(-reply.Age)})
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
	update()
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

// HandleAsk answers a node that asks for a permit of one of this node's slots.
func (l *Limiter) HandleAsk(a Ask) Reply {
	l.mu.Lock()
	now := uptime.Now()
	s := l.targets[a.Target]
	if s == nil {
		s = l.add(a.Target)
	}
	s.usedAt = now
	update := l.apply(s, Notice{Rate: a.Rate, At: now.Add(-a.Age)})
	reply := l.grant(s, a, now)
	reply.Rate, reply.Age = s.notice.Rate, s.notice.age(now)
	l.mu.Unlock()
	update()
	return reply
}

// grant charges a permit to an own slot if the request may wait for it. The caller holds
// the mutex.
func (l *Limiter) grant(s *targetState, a Ask, now time.Time) Reply {
	if !s.notice.Limited() {
		return Reply{}
	}
	usable := l.locate(s)
	slot, wait := s.soonest(now)
	if !usable || wait == never {
		return Reply{NotOwner: true, Wait: maxBackoff}
	}
	if wait > maxQueue(a.MaxWait, a.Rank) {
		return Reply{Wait: wait, RetryAfter: s.scheduleReturn(now, wait)}
	}
	s.buckets[slot].tokens--
	l.counters.lent.Inc()
	return Reply{Granted: true, Wait: wait}
}

// scheduleReturn returns after how long a rejected request should return: once a permit is
// there and the requests that were rejected before have had theirs.
func (s *targetState) scheduleReturn(now time.Time, wait time.Duration) time.Duration {
	if next := now.Add(wait); s.returns.Before(next) {
		s.returns = next
	}
	at := s.returns
	s.returns = s.returns.Add(interval(s.notice.Rate))
	if limit := now.Add(maxReturn); s.returns.After(limit) {
		s.returns = limit
	}
	return min(at.Sub(now), maxReturn)
}

// Use reports whether a request may be sent to a target now, and uses up its permit. If
// that is not or no longer valid, one that this node has in hand is used instead.
func (l *Limiter) Use(target string, p *Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.targets[target]
	if s == nil || !s.notice.Limited() {
		return true
	}
	now := uptime.Now()
	s.usedAt = now
	if p.valid(target, s.notice.Rate, now) {
		*p = Permit{}
		return true
	}
	replacement, ok := l.takeLocal(s, now, l.locate(s))
	if !ok {
		l.counters.withheld.Inc()
		klog.V(1).InfoS("No permit at the time of sending", "target", target, "perSecond", s.notice.Rate)
	}
	return ok && replacement.valid(target, s.notice.Rate, now)
}

// Return gives back a permit that was not used, for other requests of this node.
func (l *Limiter) Return(p *Permit) {
	if p.target == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.targets[p.target]; s != nil && s.notice.Limited() {
		s.spare = append(s.spare, *p)
	}
	*p = Permit{}
}

// takeSpare takes an unused permit that is valid now, and drops those that no longer are.
func (s *targetState) takeSpare(now time.Time) (Permit, bool) {
	kept := s.spare[:0]
	var taken Permit
	for _, p := range s.spare {
		switch {
		case !now.Before(p.until) || p.rate > s.notice.Rate:
		case taken.target == "" && p.valid(s.name, s.notice.Rate, now):
			taken = p
		default:
			kept = append(kept, p)
		}
	}
	s.spare = kept
	return taken, taken.target != ""
}

// hasSpare reports whether an unused permit is valid now.
func (s *targetState) hasSpare(now time.Time) bool {
	for i := range s.spare {
		if s.spare[i].valid(s.name, s.notice.Rate, now) {
			return true
		}
	}
	return false
}
