package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// counters are the gateway's metrics.
type counters struct {
	set      *metrics.Set
	retries  *metrics.Counter
	resumes  *metrics.Counter
	copies   *metrics.Counter
	ordered  *metrics.Counter
	stalls   *metrics.Counter
	broken   *metrics.Counter
	moved    *metrics.Counter
	rests    *metrics.Counter
	badLoads *metrics.Counter
	whole    *metrics.Histogram
	first    *metrics.Histogram
	gap      *metrics.Histogram
}

func newCounters() *counters {
	s := metrics.NewSet()
	return &counters{
		set:      s,
		retries:  s.NewCounter("walnutramp_gateway_retries_total"),
		resumes:  s.NewCounter("walnutramp_gateway_resumes_total"),
		copies:   s.NewCounter("walnutramp_gateway_resumes_from_copy_total"),
		ordered:  s.NewCounter("walnutramp_gateway_copies_ordered_total"),
		stalls:   s.NewCounter("walnutramp_gateway_stalls_total"),
		broken:   s.NewCounter("walnutramp_gateway_broken_answers_total"),
		moved:    s.NewCounter("walnutramp_gateway_runs_moved_total"),
		rests:    s.NewCounter("walnutramp_gateway_rests_asked_total"),
		badLoads: s.NewCounter("walnutramp_gateway_unreadable_loads_total"),
		whole:    s.NewHistogram("walnutramp_gateway_answer_seconds"),
		first:    s.NewHistogram("walnutramp_gateway_first_event_seconds"),
		gap:      s.NewHistogram("walnutramp_gateway_resume_gap_seconds"),
	}
}

func (c *counters) refused(code walnutramp.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_own_answers_total{code=%q}", fmt.Sprint(int(code)))).Inc()
}

// notSent counts what was kept from a target at the last moment, since it had just
// said that it wants no more.
func (c *counters) notSent(why purpose) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_not_sent_total{purpose=%q}", why)).Inc()
}

// slowClient counts an answer that was ended since its client reads too slowly.
func (c *counters) slowClient(at bound) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_slow_clients_total{bound=%q}", at)).Inc()
}

func (c *counters) answered(since time.Time) { c.whole.Update(uptime.Since(since).Seconds()) }

// WriteMetrics writes the gateway's metrics in the Prometheus text form.
func (g *Gateway) WriteMetrics(w io.Writer) { g.counters.set.WritePrometheus(w) }
