package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/topology"
)

// Timing and limits of a relay.
const (
	// originTimeout is how long a node's runs stay valid after its last report.
	originTimeout = 3 * time.Second
	// reportTimeout is when a node's report is overdue; reports come every second.
	reportTimeout = 1500 * time.Millisecond
	// expireInterval is the time between checks for nodes that stopped reporting.
	expireInterval = 250 * time.Millisecond
	// Snapshots that saturate a link cause more loss than they repair. They are
	// limited by a token bucket in runs and nodes, of about 25 bytes each: 0.2 MB/s
	// of the 1.2 MB/s of the slowest known links.
	snapshotRate  = 8000.0
	snapshotBurst = 1600.0
)

// origin is a node whose runs this relay knows.
type origin struct {
	local      bool      // of this data hall: it reports here directly
	region     string    // empty on a site of one region, and for runs from a site feed
	reportedAt time.Time // time of its last report
	runs       map[uint64]originRun
	counts     map[string]balance.Count
}

type originRun struct {
	compactRun
	receivedAt time.Time // time to which AgeMS refers
}

// sameAs reports whether an update of a run changes nothing. The number alone does not
// identify a run, since its node may have restarted.
func (r originRun) sameAs(other compactRun) bool {
	return r.Target == other.Target && r.Hold == other.Hold && (r.Read == 0) == (other.Read == 0) && r.Copy == other.Copy
}

// asOf returns the run with its age as of now.
func (r originRun) asOf(now time.Time) compactRun {
	if r.Read > 0 {
		r.AgeMS += now.Sub(r.receivedAt).Milliseconds()
	}
	return r.compactRun
}

// relay holds the runs of other nodes known from reports and feeds, and the publishers
// that forward them. The sharer's relayMu guards it.
type relay struct {
	origins        map[uint32]*origin
	snapshotBudget float64    // token bucket for snapshots
	budgetAt       time.Time  // when the budget was last refilled
	expiredAt      time.Time  // time of the last check for expired nodes
	hall           *publisher // this hall's runs, for other halls
	site           *publisher // all runs, for this hall
	// regions holds a publisher per region: of this region for the others, and of
	// the others for the relays of this one. Empty on a site of one region.
	regions map[string]*publisher
}

func newRelay() *relay {
	return &relay{origins: map[uint32]*origin{}, hall: newPublisher(scopeHall), site: newPublisher(scopeSite),
		regions: map[string]*publisher{}}
}

// addRegions adds a publisher for each region.
func (r *relay) addRegions(m topology.Map) {
	if !m.MultiRegion() {
		return
	}
	for _, region := range m.Regions() {
		r.regions[region] = newRegionPublisher(region, region == m.OwnRegion())
	}
}

func (r *relay) publishers() []*publisher {
	return append([]*publisher{r.hall, r.site}, slices.Collect(maps.Values(r.regions))...)
}

// takeSnapshotBudget charges a snapshot of a publisher to the budget; false if the
// budget is exhausted. A snapshot may overdraw it.
func (r *relay) takeSnapshotBudget(p *publisher, now time.Time) bool {
	r.snapshotBudget = min(snapshotBurst, r.snapshotBudget+now.Sub(r.budgetAt).Seconds()*snapshotRate)
	r.budgetAt = now
	if r.snapshotBudget <= 0 {
		return false
	}
	for _, o := range r.origins {
		if p.includes(o) {
			r.snapshotBudget -= float64(1 + len(o.runs))
		}
	}
	return true
}

// publisherOf returns the publisher of a scope, nil if there is none.
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

// addEvents forwards events that arrived from a region.
func (r *relay) addEvents(e targetEvents, region string, now time.Time) {
	r.site.addEvents(e, now)
	if p := r.regions[region]; p != nil {
		p.addEvents(e, now)
	}
}

// applyDelta applies changes to the runs of a node and forwards them.
func (r *relay) applyDelta(delta nodeDelta, local bool, region string, now time.Time) {
	o := r.origins[delta.Node]
	if delta.Removed {
		if o != nil {
			delete(r.origins, delta.Node)
			r.publish(delta, o)
		}
		return
	}
	if o == nil {
		o = &origin{runs: map[uint64]originRun{}}
		r.origins[delta.Node] = o
	}
	o.local, o.region, o.reportedAt = local, region, now
	for _, run := range delta.Runs {
		o.runs[run.Number] = originRun{compactRun: run, receivedAt: now}
	}
	for _, number := range delta.Finished {
		delete(o.runs, number)
	}
	r.publish(delta, o)
}

// publish forwards changes of a node's runs to the publishers that include it.
func (r *relay) publish(delta nodeDelta, of *origin) {
	if len(delta.Runs)+len(delta.Finished) == 0 && !delta.Removed {
		return
	}
	for _, p := range r.publishers() {
		if p.includes(of) {
			p.add(delta)
		}
	}
}

// diff returns the changes that a report makes to a node's runs.
func (r *relay) diff(node uint32, runs []compactRun) nodeDelta {
	s := nodeDelta{Node: node}
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
			s.Finished = append(s.Finished, number)
		}
	}
	return s
}

// reportsHere reports whether a node reports here directly; its reports are newer than
// what feeds carry.
func (r *relay) reportsHere(node uint32, now time.Time) bool {
	o := r.origins[node]
	return o != nil && o.local && now.Sub(o.reportedAt) <= reportTimeout
}

// reportOverdue reports whether a node has stopped reporting here. Changes from a feed
// are then incomplete, since they omit what the node reported directly.
func (r *relay) reportOverdue(node uint32, now time.Time) bool {
	o := r.origins[node]
	return o != nil && o.local && now.Sub(o.reportedAt) > reportTimeout
}

// runsOf returns the runs of a node as of now.
func (r *relay) runsOf(node uint32, now time.Time) []compactRun {
	o := r.origins[node]
	if o == nil {
		return nil
	}
	runs := make([]compactRun, 0, len(o.runs))
	for _, run := range o.runs {
		runs = append(runs, run.asOf(now))
	}
	return runs
}

// nodeNames returns the names of the nodes whose runs are known.
func (r *relay) nodeNames() []string {
	names := make([]string, 0, len(r.origins))
	for node := range r.origins {
		names = append(names, nodeName(node))
	}
	return names
}

// expire drops the nodes of this hall that stopped reporting, and returns them. It does
// nothing within expireInterval of the last check.
func (r *relay) expire(now time.Time) (expired []uint32) {
	if now.Sub(r.expiredAt) < expireInterval {
		return nil
	}
	r.expiredAt = now
	for node, o := range r.origins {
		if o.local && now.Sub(o.reportedAt) > originTimeout {
			expired = append(expired, node)
		}
	}
	for _, node := range expired {
		r.applyDelta(nodeDelta{Node: node, Removed: true}, true, r.origins[node].region, now)
	}
	return expired
}

// fullDeltas returns all runs of the nodes that a publisher includes.
func (r *relay) fullDeltas(p *publisher, now time.Time) []nodeDelta {
	var all []nodeDelta
	for node, o := range r.origins {
		if !p.includes(o) {
			continue
		}
		full := nodeDelta{Node: node}
		for _, run := range o.runs {
			full.Runs = append(full.Runs, run.asOf(now))
		}
		all = append(all, full)
	}
	return all
}

// counts sums the counts reported by the nodes of this hall.
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
		sum[service] = balance.Count{Requests: before.Requests + c.Requests, Retries: before.Retries + c.Retries}
	}
}
