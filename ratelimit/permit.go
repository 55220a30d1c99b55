package ratelimit

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

const (
	// useWithin is how long a permit is valid. Requests that were permitted earlier would
	// arrive together with those that are permitted now.
	useWithin = 250 * time.Millisecond
	// maxReservation bounds how far in advance a permit is granted.
	maxReservation = 2 * time.Second
	// transitTime bounds the time in which a request reaches its target.
	transitTime = 250 * time.Millisecond
)

// Span is the time within which permits of successive owners of a slot count together at
// its target: the target counts over 4 s, and a permit may be used this much later than it
// was granted. Owners must be a Span apart.
const Span = 4*time.Second + maxReservation + useWithin + transitTime

// Permit allows one request to a target within a short time. The zero value allows none.
type Permit struct {
	target string
	rate   float64 // limit under which it was granted
	from   time.Time
	until  time.Time
	probe  bool // of an unconfirmed limit
}

// Wait returns the time until the permit is valid.
func (p *Permit) Wait(now time.Time) time.Duration { return max(0, p.from.Sub(now)) }

// valid reports whether the permit allows a request to a target now. One that was granted
// under a higher limit does not.
func (p *Permit) valid(target string, rate float64, now time.Time) bool {
	return p.target == target && p.rate <= rate && !now.Before(p.from) && now.Before(p.until)
}

// permit returns a permit that is granted at one time, as known at another, after a wait.
func (s *targetState) permit(grantedAt, knownAt time.Time, wait time.Duration) Permit {
	return Permit{target: s.name, rate: s.notice.Rate, from: knownAt.Add(wait), until: grantedAt.Add(wait + useWithin)}
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
		if p.probe {
			klog.InfoS("Probing a target's rate limit", "target", target, "perSecond", s.notice.Rate, "limitAge_ms", s.notice.age(now).Milliseconds())
		}
		*p = Permit{}
		return true
	}
	replacement, ok := l.takeLocal(s, now, l.updateOwners(s))
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
