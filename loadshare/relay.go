package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/topology"
)

// Times and bounds of what a relay knows.
const (
	// originLife is how long a node's runs count after its last report.
	originLife = 3 * time.Second
	// reportLate is when a node's report is overdue: it comes every second.
	reportLate = 1500 * time.Millisecond
	// expireEvery is the pause between two looks for nodes that report no more.
	expireEvery = 250 * time.Millisecond
	// Repairs that fill a link lose more than they make good. So whoever is told
	// everything takes from a budget, in runs and nodes of some 25 bytes: 0.2 MB a
	// second of the 1.2 that the slowest links known of carry.
	wholePerSecond  = 8000.0
	wholeBudgetMost = 1600.0
)

// origin is a node whose runs a relay knows.
type origin struct {
	local  bool      // of the own data hall: it reports here itself
	region string    // its region; empty on a site of one
	heard  time.Time // when it last reported
	runs   map[uint64]originRun
	counts map[string]balance.Count
}

type originRun struct {
	shortRun
	at time.Time // when its age was that
}

// sameAs reports whether another word of a run tells nothing new. The number
// alone does not say that it is the same one: its node may have started again.
func (r originRun) sameAs(other shortRun) bool {
	return r.Target == other.Target && r.Hold == other.Hold && (r.Read == 0) == (other.Read == 0) && r.Copy == other.Copy
}

// asOf returns a run with its age brought up to date.
func (r originRun) asOf(now time.Time) shortRun {
	if r.Read > 0 {
		r.AgeMS += now.Sub(r.at).Milliseconds()
	}
	return r.shortRun
}

// relay is what a node knows of others through reports and feeds, and what it
// tells on. The sharer's relayMu guards it.
type relay struct {
	origins map[uint32]*origin
	budget  float64    // for telling everything
	filled  time.Time  // when the budget was worked out
	expired time.Time  // when it was last looked for nodes that report no more
	hall    *publisher // tells other halls of the own one
	site    *publisher // tells the own hall of all
	// regions tell other regions of the own one, and other relays of the own
	// region of the others; none on a site of one region.
	regions map[string]*publisher
}

func newRelay() *relay {
	return &relay{origins: map[uint32]*origin{}, hall: newPublisher(scopeHall), site: newPublisher(scopeSite),
		regions: map[string]*publisher{}}
}

// addRegions has all regions told of.
func (r *relay) addRegions(m topology.Map) {
	if !m.Several() {
		return
	}
	for _, region := range m.Regions() {
		r.regions[region] = newRegionPublisher(region, region == m.OwnRegion())
	}
}

// publishers returns all publishers.
func (r *relay) publishers() []*publisher {
	return append([]*publisher{r.hall, r.site}, slices.Collect(maps.Values(r.regions))...)
}

// mayTellWhole takes what telling everything a publisher tells costs from the
// budget; false if there is none left.
func (r *relay) mayTellWhole(p *publisher, now time.Time) bool {
	r.budget = min(wholeBudgetMost, r.budget+now.Sub(r.filled).Seconds()*wholePerSecond)
	r.filled = now
	if r.budget <= 0 {
		return false
	}
	for _, o := range r.origins {
		if p.covers(o) {
			r.budget -= float64(1 + len(o.runs))
		}
	}
	return true
}

// publisherOf returns the publisher of a scope, nil for none.
func (r *relay) publisherOf(s scope, region string) *publisher {
	switch s {
	case scopeHall:
		return r.hall
	case scopeSite:
		return r.site
	case scopeRegion:
		return r.regions[region]
	}
	return nil
}

// addUrgent passes on news that was heard by reports and feeds of the own region,
// or by the feed of another one.
func (r *relay) addUrgent(u urgent, region string, now time.Time) {
	r.site.addUrgent(u, now)
	if p := r.regions[region]; p != nil {
		p.addUrgent(u, now)
	}
}

// change brings the runs of a node of a region up to date and passes the change
// on.
func (r *relay) change(s section, local bool, region string, now time.Time) {
	o := r.origins[s.Node]
	if s.Gone {
		if o != nil {
			delete(r.origins, s.Node)
			r.publish(s, o)
		}
		return
	}
	if o == nil {
		o = &origin{runs: map[uint64]originRun{}}
		r.origins[s.Node] = o
	}
	o.local, o.region, o.heard = local, region, now
	for _, run := range s.Runs {
		o.runs[run.Number] = originRun{shortRun: run, at: now}
	}
	for _, number := range s.Over {
		delete(o.runs, number)
	}
	r.publish(s, o)
}

// publish passes on what changed of a node's runs.
func (r *relay) publish(s section, of *origin) {
	if len(s.Runs)+len(s.Over) == 0 && !s.Gone {
		return
	}
	for _, p := range r.publishers() {
		if p.covers(of) {
			p.add(s)
		}
	}
}

// difference returns what a report changes of a node's runs.
func (r *relay) difference(node uint32, runs []shortRun) section {
	s := section{Node: node}
	live := make(map[uint64]bool, len(runs))
	o := r.origins[node]
	for _, run := range runs {
		live[run.Number] = true
		if o != nil {
			before, known := o.runs[run.Number]
			if known && before.sameAs(run) {
				continue
			}
		}
		s.Runs = append(s.Runs, run)
	}
	if o == nil {
		return s
	}
	for number := range o.runs {
		if !live[number] {
			s.Over = append(s.Over, number)
		}
	}
	return s
}

// hears reports whether a node reports here itself: its own word is newer than
// what a feed tells of it.
func (r *relay) hears(node uint32, now time.Time) bool {
	o := r.origins[node]
	return o != nil && o.local && now.Sub(o.heard) <= reportLate
}

// reportedOnce reports whether a node reported here and does not any more: what
// a feed changes of its runs lacks what it had told here.
func (r *relay) reportedOnce(node uint32, now time.Time) bool {
	o := r.origins[node]
	return o != nil && o.local && now.Sub(o.heard) > reportLate
}

// runsOf returns the runs of a node as they stand.
func (r *relay) runsOf(node uint32, now time.Time) []shortRun {
	o := r.origins[node]
	if o == nil {
		return nil
	}
	runs := make([]shortRun, 0, len(o.runs))
	for _, run := range o.runs {
		runs = append(runs, run.asOf(now))
	}
	return runs
}

// names returns the nodes whose runs are known.
func (r *relay) names() []string {
	names := make([]string, 0, len(r.origins))
	for node := range r.origins {
		names = append(names, nodeName(node))
	}
	return names
}

// expire drops the nodes of the own hall that report no more.
func (r *relay) expire(now time.Time) (gone []uint32) {
	if now.Sub(r.expired) < expireEvery {
		return nil
	}
	r.expired = now
	for node, o := range r.origins {
		if o.local && now.Sub(o.heard) > originLife {
			gone = append(gone, node)
		}
	}
	for _, node := range gone {
		r.change(section{Node: node, Gone: true}, true, r.origins[node].region, now)
	}
	return gone
}

// whole returns the runs of all nodes that a publisher tells of.
func (r *relay) whole(p *publisher, now time.Time) []section {
	var all []section
	for node, o := range r.origins {
		if !p.covers(o) {
			continue
		}
		one := section{Node: node}
		for _, run := range o.runs {
			one.Runs = append(one.Runs, run.asOf(now))
		}
		all = append(all, one)
	}
	return all
}

// counts sums what the nodes of the own hall told.
func (r *relay) counts() map[string]balance.Count {
	sum := map[string]balance.Count{}
	for _, o := range r.origins {
		if o.local {
			addCounts(sum, o.counts)
		}
	}
	return sum
}

// addCounts adds counts by service to a sum.
func addCounts(sum, counts map[string]balance.Count) {
	for service, c := range counts {
		before := sum[service]
		sum[service] = balance.Count{Requests: before.Requests + c.Requests, Repeats: before.Repeats + c.Repeats}
	}
}
