package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/slo"
)

// Resume describes a generation that was resumed after a failure: How is the name of the
// resumer, and At the time at which the new stream was open.
type Resume struct {
	Generation walnutramp.GenerationID
	How        string
	At         time.Time
	Recomputed int // tokens
}

// nodeMetrics holds one node's metrics. It does not use the global set, as
// several nodes may run in one process.
type nodeMetrics struct {
	set              *metrics.Set
	onResume         func(Resume)
	tracker          *slo.Tracker
	takeovers        *metrics.Counter
	refusedTakeovers *metrics.Counter
}

func newMetricSet(n *Node) *nodeMetrics {
	m := &nodeMetrics{set: metrics.NewSet(), onResume: n.cfg.OnResume}
	m.tracker = slo.NewTracker(func() []bundle.Objective { return n.bundle.Load().Objectives })
	m.takeovers = m.set.NewCounter("walnutramp_takeovers_total")
	m.refusedTakeovers = m.set.NewCounter("walnutramp_takeovers_refused_total")
	m.set.NewGauge("walnutramp_generations_held", func() float64 { return float64(n.generations.Store().Len()) })
	m.set.NewGauge("walnutramp_nodes_live", func() float64 { return float64(len(n.members.Live()) + 1) })
	m.set.NewGauge("walnutramp_bundle_version", func() float64 { return float64(n.bundle.Load().Version) })
	m.set.NewGauge("walnutramp_peer_sent_bytes", func() float64 { return float64(n.traffic.Sent.Load()) })
	m.set.NewGauge("walnutramp_peer_received_bytes", func() float64 { return float64(n.traffic.Received.Load()) })
	m.set.NewGauge("walnutramp_peer_strangers", func() float64 { return float64(n.traffic.Rejected.Load()) })
	return m
}

// serveReport writes the node's own service-level report as JSON.
func (m *nodeMetrics) serveReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(m.tracker.Report())
}

func (m *nodeMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Answered implements caller.Observer.
func (m *nodeMetrics) Answered(code walnutramp.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`walnutramp_answers_total{code="%d"}`, int(code))).Inc()
}

// FirstToken implements caller.Observer.
func (m *nodeMetrics) FirstToken(a walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration) {
	m.histogram("walnutramp_first_token_seconds", a, model).Update(d.Seconds())
	m.tracker.Observe(slo.FirstToken, a, model, d, 1)
}

// TokenGap implements caller.Observer.
func (m *nodeMetrics) TokenGap(a walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration, tokens int) {
	m.histogram("walnutramp_between_tokens_seconds", a, model).Update(d.Seconds() / float64(tokens))
	m.set.GetOrCreateCounter("walnutramp_released_tokens_total").Add(tokens)
	m.tracker.Observe(slo.BetweenTokens, a, model, d/time.Duration(tokens), tokens)
}

// Failed implements caller.Observer.
func (m *nodeMetrics) Failed(a walnutramp.ClientAccount, model walnutramp.ModelName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`walnutramp_broken_generations_total{account=%q,model=%q}`, a, model)).Inc()
}

// Resumed implements generation.Observer.
func (m *nodeMetrics) Resumed(id walnutramp.GenerationID, how string, gap time.Duration, recomputed int) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`walnutramp_resume_seconds{how=%q}`, how)).Update(gap.Seconds())
	m.set.GetOrCreateCounter("walnutramp_recomputed_tokens_total").Add(recomputed)
	if m.onResume != nil {
		m.onResume(Resume{Generation: id, How: how, At: time.Now(), Recomputed: recomputed})
	}
}

// ResumeGap implements generation.Observer.
func (m *nodeMetrics) ResumeGap(a walnutramp.ClientAccount, model walnutramp.ModelName, gap time.Duration) {
	m.histogram("walnutramp_resume_gap_seconds", a, model).Update(gap.Seconds())
	m.tracker.Observe(slo.ResumeGap, a, model, gap, 1)
}

// TakeoverFinished implements generation.Observer.
func (m *nodeMetrics) TakeoverFinished(err error) {
	if err != nil {
		m.refusedTakeovers.Inc()
		return
	}
	m.takeovers.Inc()
}

func (m *nodeMetrics) histogram(name string, a walnutramp.ClientAccount, model walnutramp.ModelName) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{account=%q,model=%q}`, name, a, model))
}
