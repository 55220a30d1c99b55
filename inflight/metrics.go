package inflight

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// counters count leases by where they came from.
type counters struct {
	own, borrowed, handedOn, unowned, lent, denied, rejected *metrics.Counter
}

func newCounters(l *Limiter) (*metrics.Set, *counters) {
	s := metrics.NewSet()
	s.NewGauge("walnutramp_brittle_services", func() float64 { return float64(l.brittleServices()) })
	s.NewGauge("walnutramp_brittle_leases", func() float64 { return float64(l.grantedLeases()) })
	lease := func(source string) *metrics.Counter {
		return s.NewCounter(`walnutramp_brittle_leases_total{source="` + source + `"}`)
	}
	return s, &counters{
		own: lease("own"), borrowed: lease("borrowed"), handedOn: lease("handed-on"), unowned: lease("unowned"),
		lent:     s.NewCounter("walnutramp_brittle_leases_lent_total"),
		denied:   s.NewCounter("walnutramp_brittle_denied_total"),
		rejected: s.NewCounter("walnutramp_brittle_rejected_by_target_total"),
	}
}

// brittleServices returns the number of services whose targets are brittle.
func (l *Limiter) brittleServices() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := uptime.Now()
	for name := range l.services {
		if l.bounded(name, now) {
			n++
		}
	}
	return n
}

// grantedLeases returns the number of leases of this node's parts.
func (l *Limiter) grantedLeases() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.targets {
		for i := range s.parts {
			n += len(s.parts[i].leases)
		}
	}
	return n
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (l *Limiter) WriteMetrics(w io.Writer) { l.set.WritePrometheus(w) }
