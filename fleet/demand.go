package fleet

import (
	"maps"
	"slices"
	"time"
)

// Tally sums what nodes tell of demand. A node's rows are cumulative, so one
// that is lost or told twice does no harm. What a process told first counts
// for nothing: most of it came before this tally began.
type Tally struct {
	nodes map[string]*nodeDemand
	total map[string]Demand // by service
}

// nodeDemand is what a node's newest process told last.
type nodeDemand struct {
	life uint64
	rows map[string]Demand // by service
}

// NewTally returns a tally of nothing.
func NewTally() *Tally {
	return &Tally{nodes: map[string]*nodeDemand{}, total: map[string]Demand{}}
}

// Take takes a node's rows; life names its process.
func (t *Tally) Take(node string, life uint64, rows []Demand) {
	n := t.nodes[node]
	if n == nil || n.life != life {
		n = &nodeDemand{life: life, rows: map[string]Demand{}}
		for _, row := range rows {
			n.rows[row.Service] = row
		}
		t.nodes[node] = n
	}
	for _, row := range rows {
		before := n.rows[row.Service]
		if row.Requests < before.Requests {
			continue // an older report that came late
		}
		n.rows[row.Service] = row
		total := t.total[row.Service]
		total.Add(row.since(before))
		t.total[row.Service] = total
	}
}

// Total returns the sums, by service in order. They never fall.
func (t *Tally) Total() []Demand {
	total := make([]Demand, 0, len(t.total))
	for _, service := range slices.Sorted(maps.Keys(t.total)) {
		total = append(total, t.total[service])
	}
	return total
}

// Of returns the sum of a service; false if no node has told of it.
func (t *Tally) Of(service string) (Demand, bool) {
	d, known := t.total[service]
	return d, known
}

// Add adds another demand for the same service.
func (d *Demand) Add(o Demand) {
	d.Service = o.Service
	d.Requests += o.Requests
	d.Refused += o.Refused
	d.Read += o.Read
	d.Write += o.Write
	d.ReadMS += o.ReadMS
	d.RunMS += o.RunMS
	d.HoldMS += o.HoldMS
}

// since returns what has come since an earlier sum.
func (d Demand) since(before Demand) Demand {
	return Demand{
		Service:  d.Service,
		Requests: rise(before.Requests, d.Requests),
		Refused:  rise(before.Refused, d.Refused),
		Read:     rise(before.Read, d.Read),
		Write:    rise(before.Write, d.Write),
		ReadMS:   rise(before.ReadMS, d.ReadMS),
		RunMS:    rise(before.RunMS, d.RunMS),
		HoldMS:   rise(before.HoldMS, d.HoldMS),
	}
}

func rise(from, to uint64) uint64 { return to - min(from, to) }

// Load is what requests ask of targets at a time.
type Load struct {
	Requests float64 // a second
	Reading  float64 // targets that are kept busy with prompts
	Running  float64 // runs under way
	Held     float64 // tokens of their memory
}

// scaled returns a load of so many times the requests.
func (l Load) scaled(x float64) Load {
	return Load{Requests: x * l.Requests, Reading: x * l.Reading, Running: x * l.Running, Held: x * l.Held}
}

// load returns the mean load within a time. By Little's law, the time that
// requests take in all, over the time in which they came, is how many are
// under way.
func (d Demand) load(within time.Duration) Load {
	ms := float64(within) / float64(time.Millisecond)
	return Load{
		Requests: float64(d.Requests) / within.Seconds(),
		Reading:  float64(d.ReadMS) / ms,
		Running:  float64(d.RunMS) / ms,
		Held:     float64(d.HoldMS) / ms,
	}
}

// Times of a forecast.
const (
	// loadSpan is over which a load is averaged: requests come in clumps, and
	// a run lasts some seconds anyway.
	loadSpan = 5 * time.Second
	// crestSpan is for how long a crest is held to come again: longer than a
	// target boots and drains, so that what was bought for one is there for the
	// next.
	crestSpan = 30 * time.Second
)

// Forecast predicts a service's load: what came lately, or the highest of the
// crests lately where that was more. A trend is not drawn on: over the time
// that a target boots it is mostly noise (TestForecastIsNoWorseThanTrend).
type Forecast struct {
	samples []sample // oldest first
	loads   []pastLoad
}

// sample is the demand since the start, at a time.
type sample struct {
	at    time.Time
	total Demand
}

// pastLoad is the load at a time within crestSpan.
type pastLoad struct {
	at   time.Time
	load Load
}

// Observe takes the demand since the start as it is now.
func (f *Forecast) Observe(now time.Time, total Demand) {
	f.samples = append(f.samples, sample{now, total})
	for len(f.samples) > 2 && now.Sub(f.samples[1].at) >= loadSpan {
		f.samples = f.samples[1:]
	}
	f.loads = append(f.loads, pastLoad{now, f.Recent()})
	for now.Sub(f.loads[0].at) > crestSpan {
		f.loads = f.loads[1:]
	}
}

// Recent returns the load over the last seconds.
func (f *Forecast) Recent() Load {
	if len(f.samples) < 2 {
		return Load{}
	}
	first, last := f.samples[0], f.samples[len(f.samples)-1]
	within := last.at.Sub(first.at)
	if within <= 0 {
		return Load{}
	}
	return last.total.since(first.total).load(within)
}

// Known reports whether requests have come for long enough to tell their load.
func (f *Forecast) Known() bool {
	if len(f.samples) < 2 || f.samples[0].total.Requests == 0 {
		return false
	}
	return f.samples[len(f.samples)-1].at.Sub(f.samples[0].at) >= loadSpan
}

// Expected returns the load to be ready for: the crest of each of its figures,
// as few requests with long prompts may need more than many with short ones.
func (f *Forecast) Expected() Load {
	var crest Load
	for _, past := range f.loads {
		crest.Requests = max(crest.Requests, past.load.Requests)
		crest.Reading = max(crest.Reading, past.load.Reading)
		crest.Running = max(crest.Running, past.load.Running)
		crest.Held = max(crest.Held, past.load.Held)
	}
	return crest
}
