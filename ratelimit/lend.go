package ratelimit

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// HandleAsk answers a node that asks for a permit of one of this node's slots.
func (l *Limiter) HandleAsk(a Ask) Reply {
	l.mu.Lock()
	now := uptime.Now()
	s := l.targets[a.Target]
	if s == nil {
		s = l.add(a.Target)
	}
	s.usedAt = now
	notify := l.apply(s, Notice{Rate: a.Rate, At: now.Add(-a.Age)})
	reply := l.grant(s, a, now)
	reply.Rate, reply.Age = s.notice.Rate, s.notice.age(now)
	l.mu.Unlock()
	notify()
	return reply
}

// grant charges a permit to an own slot if the request may wait for it. The caller holds
// the mutex.
func (l *Limiter) grant(s *targetState, a Ask, now time.Time) Reply {
	if !s.notice.Limited() {
		return Reply{}
	}
	usable := l.updateOwners(s)
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

// interval returns the mean time between the requests that a limit allows.
func interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, minRate))
}
