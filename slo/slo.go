// Package slo counts events that meet or miss the bundle's service-level objectives,
// per objective, account and model over several time windows, and computes the burn
// rates of the error budgets.
package slo

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// Kind is a latency that an objective bounds; one objective may bound several.
type Kind string

// Kinds of objectives.
const (
	FirstToken    Kind = "first token"
	BetweenTokens Kind = "between tokens"
	ResumeGap     Kind = "resume gap"
)

// Window is a time window for which burn rates are computed.
type Window struct {
	Span   time.Duration
	Bucket time.Duration // resolution
}

// Windows lists the windows of all series.
var Windows = []Window{
	{Span: 5 * time.Minute, Bucket: 10 * time.Second},
	{Span: time.Hour, Bucket: time.Minute},
	{Span: 6 * time.Hour, Bucket: 5 * time.Minute},
}

// Key identifies a series.
type Key struct {
	Objective string                   `json:"objective"`
	Kind      Kind                     `json:"kind"`
	Account   walnutramp.ClientAccount `json:"account"`
	Model     walnutramp.ModelName     `json:"model"`
}

// Count holds the number of events, and of those that met the objective.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Series holds the counts of a key for each window.
type Series struct {
	Key
	Allowed float64 `json:"allowed"` // error budget: share of events that may miss the objective
	Counts  []Count `json:"counts"`  // in the order of Windows
}

// Burn returns the burn rate of the error budget in a window, given by its index in
// Windows: the share of events that missed the objective, relative to the allowed share.
// It is 0 without events or without a budget.
func (s Series) Burn(window int) float64 {
	c := s.Counts[window]
	if c.Total == 0 || s.Allowed <= 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / s.Allowed
}

// ring holds the counts of a window in a ring buffer with one slot for each of the
// window's buckets.
type ring struct {
	Slots []slot
}

type slot struct {
	Bucket int64 // number of the bucket since the Unix epoch
	Count  Count
}

func newRing(w Window) ring { return ring{Slots: make([]slot, w.Span/w.Bucket)} }

func (r *ring) add(bucket int64, good bool) {
	s := &r.Slots[bucket%int64(len(r.Slots))]
	if s.Bucket != bucket {
		*s = slot{Bucket: bucket}
	}
	s.Count.Total++
	if good {
		s.Count.Good++
	}
}

func (r *ring) sum(now int64) Count {
	var c Count
	for _, s := range r.Slots {
		if s.Bucket > now-int64(len(r.Slots)) && s.Bucket <= now {
			c.Good += s.Count.Good
			c.Total += s.Count.Total
		}
	}
	return c
}

// Tracker counts events against the current objectives.
type Tracker struct {
	objectives func() []bundle.Objective

	mu     sync.Mutex
	series map[Key][]ring
}

// NewTracker returns a tracker; objectives returns the current objectives.
func NewTracker(objectives func() []bundle.Objective) *Tracker {
	return &Tracker{objectives: objectives, series: map[Key][]ring{}}
}

// Observe counts n events of duration d for every objective that bounds the kind and
// matches the account and model.
func (t *Tracker) Observe(kind Kind, account walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration, n int) {
	now := time.Now()
	for _, o := range t.objectives() {
		limit := threshold(o, kind)
		if limit == 0 || !matches(o, account, model) {
			continue
		}
		key := Key{Objective: o.Name, Kind: kind, Account: account, Model: model}
		t.add(key, now, d <= limit, n)
	}
}

func threshold(o bundle.Objective, kind Kind) time.Duration {
	switch kind {
	case FirstToken:
		return o.FirstToken
	case BetweenTokens:
		return o.BetweenTokens
	}
	return o.ResumeGap
}

func matches(o bundle.Objective, account walnutramp.ClientAccount, model walnutramp.ModelName) bool {
	return (o.Account == "" || o.Account == account) && (o.Model == "" || o.Model == model)
}

func (t *Tracker) add(key Key, now time.Time, good bool, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rings := t.series[key]
	if rings == nil {
		for _, w := range Windows {
			rings = append(rings, newRing(w))
		}
		t.series[key] = rings
	}
	for i, w := range Windows {
		bucket := now.UnixNano() / int64(w.Bucket)
		for range n {
			rings[i].add(bucket, good)
		}
	}
}

// Report returns the current counts of all series, sorted by key. Allowed is 0 in a series
// whose objective no longer exists.
func (t *Tracker) Report() []Series {
	now := time.Now()
	allowed := map[string]float64{}
	for _, o := range t.objectives() {
		allowed[o.Name] = 1 - o.GoodPercentage/100
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var report []Series
	for key, rings := range t.series {
		s := Series{Key: key, Allowed: allowed[key.Objective]}
		for i, w := range Windows {
			s.Counts = append(s.Counts, rings[i].sum(now.UnixNano()/int64(w.Bucket)))
		}
		report = append(report, s)
	}
	sortSeries(report)
	return report
}

func sortSeries(list []Series) {
	slices.SortFunc(list, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Account, b.Account), cmp.Compare(a.Model, b.Model))
	})
}

// Merge sums the reports of several nodes and sorts the series by key. Allowed is that of
// the first report with the series.
func Merge(reports ...[]Series) []Series {
	sums := map[Key]*Series{}
	for _, report := range reports {
		for _, s := range report {
			sum := sums[s.Key]
			if sum == nil {
				sum = &Series{Key: s.Key, Allowed: s.Allowed, Counts: make([]Count, len(Windows))}
				sums[s.Key] = sum
			}
			for i := range min(len(s.Counts), len(sum.Counts)) {
				sum.Counts[i].Good += s.Counts[i].Good
				sum.Counts[i].Total += s.Counts[i].Total
			}
		}
	}
	var merged []Series
	for _, s := range sums {
		merged = append(merged, *s)
	}
	sortSeries(merged)
	return merged
}
