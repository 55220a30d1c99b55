package ratelimit

import "time"

// A node that gets no permits learns nothing of a limit, and would keep one for ever that
// the target has lifted: while the control group has no leader, or during an upgrade from a
// build whose nodes own no slots. So a limit that no response has confirmed for a while is
// probed, by few nodes at a time, and they spread what the response says.

const (
	// probeAfter is the age from which a limit is probed, or one and a half times the mean
	// time between the requests that the limit allows, if that is longer.
	probeAfter = 5 * time.Second
	// probeInterval is the mean time between the probes of all nodes, or the mean time
	// between the requests that the limit allows, if that is longer.
	probeInterval = 4 * time.Second
)

// unconfirmed reports whether the limit is so old that it is probed.
func (n Notice) unconfirmed(now time.Time) bool {
	return n.Limited() && n.age(now) > max(probeAfter, interval(n.Rate)*3/2)
}

// probeDue reports whether this node should probe the target's limit: at a random time that
// leaves each node its turn. The caller holds the mutex.
func (l *Limiter) probeDue(s *targetState, now time.Time) bool {
	if !s.notice.unconfirmed(now) {
		return false
	}
	if s.probeAt.Before(s.notice.At) {
		s.probeAt = now.Add(time.Duration(l.rng.Int64N(int64(l.probePeriod(s)))))
	}
	return !now.Before(s.probeAt)
}

// takeProbe returns a permit to probe the target's limit, if that is due. The caller holds
// the mutex.
func (l *Limiter) takeProbe(s *targetState, now time.Time) (Permit, bool) {
	if !l.probeDue(s, now) {
		return Permit{}, false
	}
	s.probeAt = now.Add(l.probePeriod(s))
	l.counters.probes.Inc()
	p := s.permit(now, now, 0)
	p.probe = true
	return p, true
}

// probePeriod returns the time between two probes by this node.
func (l *Limiter) probePeriod(s *targetState) time.Duration {
	return time.Duration(max(1, l.network.Nodes())) * max(probeInterval, interval(s.notice.Rate))
}
