package fleet

import (
	"maps"
	"slices"
	"time"
)

// Aggregator aggregates the demand reports of all nodes. Reports are cumulative, so
// duplicated and lost reports do not distort the totals. The first report of a
// process only sets its baseline, since most of it predates the Aggregator.
type Aggregator struct {
	nodes map[string]*nodeDemand
	total map[string]Demand // by service
}

// nodeDemand is the last report of a node's current process.
type nodeDemand struct {
	incarnation uint64
	rows        map[string]Demand // by service
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{nodes: map[string]*nodeDemand{}, total: map[string]Demand{}}
}

// Merge merges a node's report; incarnation identifies its process.
func (a *Aggregator) Merge(node string, incarnation uint64, rows []Demand) {
	n := a.nodes[node]
	if n == nil || n.incarnation != incarnation {
		n = &nodeDemand{incarnation: incarnation, rows: map[string]Demand{}}
		for _, row := range rows {
			n.rows[row.Service] = row
		}
		a.nodes[node] = n
	}
	for _, row := range rows {
		before := n.rows[row.Service]
		if row.Requests < before.Requests {
			continue // reordered report, older than the last one
		}
		n.rows[row.Service] = row
		total := a.total[row.Service]
		total.Add(row.since(before))
		a.total[row.Service] = total
	}
}

// Total returns the totals, sorted by service. They never decrease.
func (a *Aggregator) Total() []Demand {
	total := make([]Demand, 0, len(a.total))
	for _, service := range slices.Sorted(maps.Keys(a.total)) {
		total = append(total, a.total[service])
	}
	return total
}

// Of returns the total of a service; false if no node has reported it.
func (a *Aggregator) Of(service string) (Demand, bool) {
	d, known := a.total[service]
	return d, known
}

// Add adds the demand o for the same service.
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

// since returns the difference to an earlier snapshot.
func (d Demand) since(before Demand) Demand {
	return Demand{
		Service:  d.Service,
		Requests: increase(before.Requests, d.Requests),
		Refused:  increase(before.Refused, d.Refused),
		Read:     increase(before.Read, d.Read),
		Write:    increase(before.Write, d.Write),
		ReadMS:   increase(before.ReadMS, d.ReadMS),
		RunMS:    increase(before.RunMS, d.RunMS),
		HoldMS:   increase(before.HoldMS, d.HoldMS),
	}
}

func increase(from, to uint64) uint64 { return to - min(from, to) }

// Load is the resource use of requests at one time.
type Load struct {
	Requests float64 // requests per second
	Reading  float64 // number of targets busy with prefill
	Running  float64 // concurrent runs
	Held     float64 // KV memory in use, in tokens
}

// scaled returns the load multiplied by x.
func (l Load) scaled(x float64) Load {
	return Load{Requests: x * l.Requests, Reading: x * l.Reading, Running: x * l.Running, Held: x * l.Held}
}

// load returns the mean load over a period. By Little's law, the total time of
// all requests divided by the period is the mean number in progress.
func (d Demand) load(period time.Duration) Load {
	ms := float64(period) / float64(time.Millisecond)
	return Load{
		Requests: float64(d.Requests) / period.Seconds(),
		Reading:  float64(d.ReadMS) / ms,
		Running:  float64(d.RunMS) / ms,
		Held:     float64(d.HoldMS) / ms,
	}
}

// Windows of a forecast.
const (
	// averagingWindow is the period over which the load is averaged, to smooth
	// out short bursts.
	averagingWindow = 5 * time.Second
	// peakWindow is the period whose peak load is forecast to recur. It is
	// longer than a target takes to boot and drain, so that capacity bought for
	// one peak is still there for the next.
	peakWindow = 30 * time.Second
)

// Forecast predicts the load of a service as its recent peak. It does not
// extrapolate trends, which over the boot time of a target are mostly noise.
type Forecast struct {
	samples []demandSample // oldest first
	loads   []loadSample
}

// demandSample is a cumulative demand with its time.
type demandSample struct {
	at    time.Time
	total Demand
}

// loadSample is a mean load within peakWindow, with its time.
type loadSample struct {
	at   time.Time
	load Load
}

// Observe adds the current cumulative demand.
func (f *Forecast) Observe(now time.Time, total Demand) {
	f.samples = append(f.samples, demandSample{now, total})
	for len(f.samples) > 2 && now.Sub(f.samples[1].at) >= averagingWindow {
		f.samples = f.samples[1:]
	}
	f.loads = append(f.loads, loadSample{now, f.Recent()})
	for now.Sub(f.loads[0].at) > peakWindow {
		f.loads = f.loads[1:]
	}
}

// Recent returns the mean load over averagingWindow.
func (f *Forecast) Recent() Load {
	if len(f.samples) < 2 {
		return Load{}
	}
	first, last := f.samples[0], f.samples[len(f.samples)-1]
	period := last.at.Sub(first.at)
	if period <= 0 {
		return Load{}
	}
	return last.total.since(first.total).load(period)
}

// Known reports whether requests have arrived for a whole averagingWindow.
func (f *Forecast) Known() bool {
	if len(f.samples) < 2 || f.samples[0].total.Requests == 0 {
		return false
	}
	return f.samples[len(f.samples)-1].at.Sub(f.samples[0].at) >= averagingWindow
}

// Expected returns the load to provision for: the recent peak of each
// dimension. The dimensions peak separately because few requests with long
// prompts may need more than many with short ones.
func (f *Forecast) Expected() Load {
	var peak Load
	for _, past := range f.loads {
		peak.Requests = max(peak.Requests, past.load.Requests)
		peak.Reading = max(peak.Reading, past.load.Reading)
		peak.Running = max(peak.Running, past.load.Running)
		peak.Held = max(peak.Held, past.load.Held)
	}
	return peak
}
