package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/walnutramp/walnutramp/standin"
)

// Range, in microseconds, and precision of histograms. Longer durations count as
// histogramMax.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Figures are the number, the quantiles and the maximum of a set of durations, in
// milliseconds.
type Figures struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h *histogram) add(d time.Duration) {
	h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (h *histogram) figures() Figures {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Figures{
		Count: h.h.TotalCount(),
		P50:   ms(h.h.ValueAtQuantile(50)), P95: ms(h.h.ValueAtQuantile(95)),
		P99: ms(h.h.ValueAtQuantile(99)), Max: ms(h.h.Max()),
	}
}

// Result is the result of running one variant.
type Result struct {
	Variant    string          `json:"variant"`
	Drafts     int             `json:"drafts"`
	Complete   int             `json:"complete"`
	Refused    map[string]int  `json:"refused,omitempty"` // incomplete drafts by error code and outcome, or "no answer"
	Restarts   int             `json:"restarts_from_zero"`
	Reconnects int             `json:"reconnects"`
	Verdict    standin.Verdict `json:"verdict"`

	// Gaps between arrivals of new text during which a draft was resumed: all, those
	// after the loss of an engine, and those after a client lost its connection.
	ResumeGap     Figures `json:"resume_gap"`
	EngineGap     Figures `json:"resume_gap_engine"`
	NodeGap       Figures `json:"resume_gap_node"`
	FirstToken    Figures `json:"first_token"`
	BetweenTokens Figures `json:"between_tokens"`
	Lookup        Figures `json:"lookup"`
	LookupsFailed int     `json:"lookups_failed"`

	// The objectives are maxFirstToken and maxTokenGapP95. Goodput counts the tokens of
	// drafts within them, and WorstAccount is the lowest share of such drafts that any
	// account has. CPU times are by the subsystems of package part.
	WithinObjectives int     `json:"drafts_within_objectives"`
	Goodput          float64 `json:"tokens_per_second_within_objectives"`
	WorstAccount     float64 `json:"worst_account_share_within_objectives"`
	CacheHits        float64 `json:"prompt_tokens_found_cached_share"`
	Decoded          int     `json:"decoded_tokens"`         // by engines
	TwiceDecoded     int     `json:"tokens_decoded_twice"`   // decoded beyond the tokens that clients received
	Recomputed       int     `json:"tokens_prefilled_again"` // prefilled for resumes
	PeerBytes        int64   `json:"peer_bytes"`             // sent between nodes
	BytesPer1k       float64 `json:"peer_bytes_per_1k_tokens"`
	GuardCPU         float64 `json:"guard_cpu_ms_per_1k_tokens"`
	CallersCPU       float64 `json:"callers_cpu_ms_per_1k_tokens"`
	ControlCPU       float64 `json:"control_cpu_ms_per_second"` // sum over all nodes
	GuardShare       float64 `json:"guard_share_of_node_cpu"`
	Seconds          float64 `json:"seconds"`
}

// Broken reports whether tokens were missing, repeated or mixed in any text that a
// client received.
func (r *Result) Broken() bool { return !r.Verdict.OK() }
