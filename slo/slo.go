// Package slo counts how well the bundle's objectives are kept, per objective,
// account and model over several windows, and reports how fast each burns what
// it may fail.
package slo

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// Kind is what an objective bounds.
type Kind string

// The kinds.
const (
	FirstToken    Kind = "first token"
	BetweenTokens Kind = "between tokens"
	ResumeGap     Kind = "resume gap"
)

// Window is a span over which burn is told.
type Window struct {
	Span   time.Duration
	Bucket time.Duration // resolution
}

// Windows are the spans that are kept.
var Windows = []Window{
	{Span: 5 * time.Minute, Bucket: 10 * time.Second},
	{Span: time.Hour, Bucket: time.Minute},
	{Span: 6 * time.Hour, Bucket: 5 * time.Minute},
}

// Key names one series.
type Key struct {
	Objective string                   `json:"objective"`
	Kind      Kind                     `json:"kind"`
	Account   walnutramp.ClientAccount `json:"account"`
	Model     walnutramp.ModelName     `json:"model"`
}

// Count is how many events there were, and how many kept the objective.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Series is one key's counts, a count for each window.
type Series struct {
	Key
	Allowed float64 `json:"allowed"` // share of events that may fail
	Counts  []Count `json:"counts"`  // in the order of Windows
}

// Burn returns how many times faster than allowed a window's events fail: 1
// uses up exactly what may fail.
func (s Series) Burn(window int) float64 {
	c := s.Counts[window]
	if c.Total == 0 || s.Allowed <= 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / s.Allowed
}

// ring is the counts of one window, a slot for each bucket of time.
type ring struct {
	Slots []slot
}

type slot struct {
	Bucket int64 // since 1970, in the window's resolution
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

// Tracker counts events against the objectives in force.
type Tracker struct {
	objectives func() []bundle.Objective

	mu     sync.Mutex
	series map[Key][]ring
}

// NewTracker returns a tracker of what objectives returns.
func NewTracker(objectives func() []bundle.Objective) *Tracker {
	return &Tracker{objectives: objectives, series: map[Key][]ring{}}
}

// Observe counts an event n times.
func (t *Tracker) Observe(kind Kind, account walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration, n int) {
	now := time.Now()
	for _, o := range t.objectives() {
		limit := bound(o, kind)
		if limit == 0 || !matches(o, account, model) {
			continue
		}
		key := Key{Objective: o.Name, Kind: kind, Account: account, Model: model}
		t.add(key, now, d <= limit, n)
	}
}

func bound(o bundle.Objective, kind Kind) time.Duration {
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

// Report returns every series as of now, in order of key.
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

// Merge adds up the reports of several nodes.
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
