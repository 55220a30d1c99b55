package ratelimit

import (
	"io"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// counters are the limiter's metrics.
type counters struct {
	own, borrowed, reused *metrics.Counter // permits for this node's requests, by origin
	lent                  *metrics.Counter // permits granted to other nodes
	denied                *metrics.Counter // requests without a permit
	unanswered            *metrics.Counter // asks without a reply
	withheld              *metrics.Counter // requests whose permit was no longer valid
	probes                *metrics.Counter // requests that probed an unconfirmed limit
}

func newCounters(l *Limiter) (*metrics.Set, *counters) {
	s := metrics.NewSet()
	permits := func(from string) *metrics.Counter {
		return s.NewCounter(`walnutramp_rate_limit_permits_total{from="` + from + `"}`)
	}
	c := &counters{
		own: permits("own"), borrowed: permits("other-node"), reused: permits("returned"),
		lent:       s.NewCounter("walnutramp_rate_limit_lent_total"),
		denied:     s.NewCounter("walnutramp_rate_limit_denied_total"),
		unanswered: s.NewCounter("walnutramp_rate_limit_asks_unanswered_total"),
		withheld:   s.NewCounter("walnutramp_rate_limit_withheld_total"),
		probes:     s.NewCounter("walnutramp_rate_limit_probes_total"),
	}
	s.NewGauge("walnutramp_rate_limited_targets", func() float64 { return float64(l.CountLimited()) })
	s.NewGauge("walnutramp_rate_limit_permits_left", l.permitsLeft)
	return s, c
}

// WriteMetrics writes the limiter's metrics in the Prometheus text format.
func (l *Limiter) WriteMetrics(w io.Writer) { l.set.WritePrometheus(w) }

// CountLimited returns the number of targets with a limit in force.
func (l *Limiter) CountLimited() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(uptime.Now())
	for _, s := range l.targets {
		if s.notice.Limited() {
			n++
		}
	}
	return n
}

// permitsLeft returns how many permits this node's own slots hold now.
func (l *Limiter) permitsLeft() (left float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	for _, s := range l.targets {
		if s.notice.Limited() && l.updateOwners(s) {
			_, permits := s.ownPermits(now)
			left += math.Floor(max(0, permits))
		}
	}
	return left
}

// ownPermits returns the number of own slots, and the permits in them.
func (s *targetState) ownPermits(now time.Time) (slots int, permits float64) {
	for slot, mine := range s.mine {
		perSecond, burst := slotRate(s.notice.Rate, slot)
		if !mine || perSecond == 0 {
			continue
		}
		slots++
		s.buckets[slot].fill(now, perSecond, burst)
		permits += s.buckets[slot].tokens
	}
	return slots, permits
}
