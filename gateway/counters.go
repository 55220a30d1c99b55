package gateway

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/targetconn"
)

// counters are the gateway's metrics.
type counters struct {
	set                *metrics.Set
	retries            *metrics.Counter
	resumes            *metrics.Counter
	copyResumes        *metrics.Counter
	copiesOrdered      *metrics.Counter
	stalls             *metrics.Counter
	brokenAnswers      *metrics.Counter
	movedRuns          *metrics.Counter
	cooldowns          *metrics.Counter
	invalidLoads       *metrics.Counter
	originsUnconfirmed *metrics.Counter
	panics             *metrics.Counter
	answerSeconds      *metrics.Histogram
	firstEventSeconds  *metrics.Histogram
	resumeGapSeconds   *metrics.Histogram
}

func newCounters() *counters {
	s := metrics.NewSet()
	return &counters{
		set:                s,
		retries:            s.NewCounter("walnutramp_gateway_retries_total"),
		resumes:            s.NewCounter("walnutramp_gateway_resumes_total"),
		copyResumes:        s.NewCounter("walnutramp_gateway_resumes_from_copy_total"),
		copiesOrdered:      s.NewCounter("walnutramp_gateway_copies_ordered_total"),
		stalls:             s.NewCounter("walnutramp_gateway_stalls_total"),
		brokenAnswers:      s.NewCounter("walnutramp_gateway_broken_answers_total"),
		movedRuns:          s.NewCounter("walnutramp_gateway_runs_moved_total"),
		cooldowns:          s.NewCounter("walnutramp_gateway_rests_asked_total"),
		invalidLoads:       s.NewCounter("walnutramp_gateway_unreadable_loads_total"),
		originsUnconfirmed: s.NewCounter("walnutramp_gateway_stream_origins_unconfirmed_total"),
		panics:             s.NewCounter("walnutramp_gateway_handler_panics_total"),
		answerSeconds:      s.NewHistogram("walnutramp_gateway_answer_seconds"),
		firstEventSeconds:  s.NewHistogram("walnutramp_gateway_first_event_seconds"),
		resumeGapSeconds:   s.NewHistogram("walnutramp_gateway_resume_gap_seconds"),
	}
}

func (c *counters) refused(code walnutramp.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_own_answers_total{code=%q}", fmt.Sprint(int(code)))).Inc()
}

// notSent counts a call withheld because its target had just stopped accepting.
func (c *counters) notSent(why purpose) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_not_sent_total{purpose=%q}", why)).Inc()
}

// connectionFailed counts an exchange that failed without an answer, by its stage and
// cause.
func (c *counters) connectionFailed(err error) {
	var f *targetconn.Failure
	if !errors.As(err, &f) {
		return
	}
	cause := "other"
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = "refused"
	case errors.Is(err, syscall.ECONNRESET):
		cause = "reset"
	case isTimeout(err) || errors.Is(err, context.DeadlineExceeded):
		cause = "timeout"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_exchange_failures_total{stage=%q,cause=%q}", f.Stage, cause)).Inc()
}

// relayed counts a request that was sent through another node, by this node's role and what
// became of it.
func (c *counters) relayed(role, result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_relayed_total{role=%q,result=%q}", role, result)).Inc()
}

// streamCutOff counts a stream whose client got only a part of it, or left.
func (c *counters) streamCutOff(why endReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_streams_cut_off_total{why=%q}", why)).Inc()
}

// runAbandoned counts a run that ended here without a complete answer from its target.
func (c *counters) runAbandoned(why abandonReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_runs_abandoned_total{why=%q}", why)).Inc()
}

// runStopped counts an order to stop an abandoned run, with all its repeats.
func (c *counters) runStopped(result stopResult) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_stop_orders_total{result=%q}", result)).Inc()
}

// requestCutOff counts a plain request whose client got no complete answer, or left.
func (c *counters) requestCutOff(why endReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_requests_cut_off_total{why=%q}", why)).Inc()
}

// streamContinued counts a run that continues a stream; version is "same" or "other".
func (c *counters) streamContinued(version string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_streams_continued_total{version=%q}", version)).Inc()
}

// streamBound counts a stream by the software version that began it.
func (c *counters) streamBound(service, software string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_streams_begun_total{service=%q,version=%q}", service, software)).Inc()
}

// streamResumed counts a stream that a client takes up, by where its origin is known from or
// why it is not.
func (c *counters) streamResumed(source origins.Source) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_streams_taken_up_total{origin=%q}", source)).Inc()
}

// slowClient counts an answer that was aborted because its client reads too slowly.
func (c *counters) slowClient(at bound) {
	c.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_slow_clients_total{bound=%q}", at)).Inc()
}

func (c *counters) answered(since time.Time) { c.answerSeconds.Update(uptime.Since(since).Seconds()) }

// WriteMetrics writes the gateway's metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.counters.set.WritePrometheus(w)
	g.cfg.Limits.WriteMetrics(w)
	g.paths.WriteMetrics(w)
	g.cfg.InFlight.WriteMetrics(w)
}
