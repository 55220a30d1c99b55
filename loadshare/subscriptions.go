package loadshare

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Timing of subscription maintenance.
const (
	maintainInterval       = 100 * time.Millisecond
	directMaintainInterval = time.Second // without relays
	// hallQueryInterval is the time between queries for unknown data halls, and
	// maxHallQueries bounds the peers queried at once.
	hallQueryInterval = 200 * time.Millisecond
	maxHallQueries    = 100
	// livenessInterval is well below the time after which the tracker expires a
	// node's runs.
	livenessInterval = 500 * time.Millisecond
	// siteCountsName is the name under which the budgets hold the summed counts of
	// all other nodes.
	siteCountsName = "site"
)

// wakeMaintenance triggers subscription maintenance immediately.
func (s *Sharer) wakeMaintenance() {
	select {
	case s.maintainSignal <- struct{}{}:
	default:
	}
}

// maintainSubscriptions maintains the subscriptions until ctx ends.
func (s *Sharer) maintainSubscriptions(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.maintainSignal:
		case <-ctx.Done():
			return
		}
		l := s.currentLayout()
		next := directMaintainInterval
		if l.relayed {
			s.maintainRelayed(l, uptime.Now())
			next = maintainInterval
		}
		timer.Reset(next)
	}
}

// maintainRelayed performs one round of maintenance on a site that uses relays.
func (s *Sharer) maintainRelayed(l *layout, now time.Time) {
	s.queryHalls(l, now)
	s.relayMu.Lock()
	changed := s.updateFeeds(l, now)
	maps.Copy(changed, s.expire(now))
	requests := s.dueRequests(l, now)
	otherCounts := s.countsOfOthers()
	var live []string
	if now.Sub(s.livenessReportedAt) >= livenessInterval {
		s.livenessReportedAt = now
		live = s.relay.nodeNames()
	}
	s.relayMu.Unlock()
	s.updateTracker(changed)
	for _, a := range requests {
		s.sendTo(s.addressesOf([]string{a.source}), s.withLocation(message{Subscribe: &a.request}))
	}
	s.budgets.SetPeerCounts(siteCountsName, otherCounts)
	s.tracker.ConfirmPeers(live)
}

// queryHalls queries some peers whose data hall is not known.
func (s *Sharer) queryHalls(l *layout, now time.Time) {
	if len(l.unknownHall) == 0 || now.Sub(s.hallsQueriedAt) < hallQueryInterval {
		return
	}
	s.hallsQueriedAt = now
	queried := slices.Clone(l.unknownHall)
	rendezvous.Sort(queried, l.own+strconv.FormatInt(now.UnixNano(), 36)) // different peers each time
	queried = queried[:min(maxHallQueries, len(queried))]
	s.sendTo(s.addressesOf(queried), s.withLocation(message{WantDataHall: true}))
}

// updateFeeds adds and removes feeds according to the layout: a relay needs one for
// each other data hall of its region and for each other region, any other node one
// from its relay. It returns the nodes that only removed feeds covered. The caller
// holds relayMu.
func (s *Sharer) updateFeeds(l *layout, now time.Time) map[uint32][]compactRun {
	wanted := map[feedKey]bool{}
	if l.isRelay() {
		for hall := range l.relays {
			if hall != l.hall && l.regionOf(hall) == l.region {
				wanted[feedKey{scopeHall, hall}] = true
			}
		}
		for _, region := range l.otherRegions() {
			wanted[feedKey{scopeRegion, region}] = true
		}
	} else {
		wanted[feedKey{scopeSite, l.hall}] = true
	}
	for key := range wanted {
		if s.feeds[key] == nil {
			s.feeds[key] = key.feed()
		}
	}
	removed := map[uint32][]compactRun{}
	for key, f := range s.feeds {
		if !wanted[key] {
			delete(s.feeds, key)
			maps.Copy(removed, s.applyDeltas(f, f.reset(), now))
		}
	}
	return removed
}

// feedKey identifies a feed.
type feedKey struct {
	scope scope
	of    string // data hall, or region
}

// feed returns a new feed for the key.
func (k feedKey) feed() *feed {
	if k.scope == scopeRegion {
		return newRegionFeed(k.of)
	}
	return newFeed(k.scope, k.of)
}

// expire drops nodes, subscribers and feeds that timed out, and returns the nodes whose
// runs were removed. The caller holds relayMu.
func (s *Sharer) expire(now time.Time) map[uint32][]compactRun {
	removed := map[uint32][]compactRun{}
	for _, node := range s.relay.expire(now) {
		removed[node] = nil
		s.markFeedsStale(node)
	}
	for _, p := range s.relay.publishers() {
		p.expire(now)
	}
	for _, f := range s.feeds {
		// Not measured from sourceSince: without any responsive source, the source
		// keeps changing.
		if now.Sub(f.receivedAt) > originTimeout {
			maps.Copy(removed, s.applyDeltas(f, f.reset(), now))
		}
	}
	return removed
}

// markFeedsStale requests a new snapshot of the feeds that cover a node which has
// stopped reporting here. Until it arrives, which may take a second, changes are
// still applied, so that new runs are not missed. The caller holds relayMu.
func (s *Sharer) markFeedsStale(node uint32) {
	for _, f := range s.feeds {
		if f.nodes[node] {
			f.stale = true
		}
	}
}

// feedRequest is a request to the source of a feed. A relay may be the source of
// several feeds.
type feedRequest struct {
	source  string
	request subscribeRequest
}

// dueRequests chooses the sources of the feeds, and returns the requests that are due.
// The caller holds relayMu.
func (s *Sharer) dueRequests(l *layout, now time.Time) []feedRequest {
	var requests []feedRequest
	for _, f := range s.feeds {
		previous, failedAt := f.source, s.failedRelays
		if f.failedAt != nil {
			failedAt = f.failedAt
		}
		if f.chooseSource(s.sourcesOf(f, l), failedAt, now) && failedAt[previous].Equal(now) {
			s.counters.failedRelays.Add(1)
			klog.InfoS("Relay is unresponsive, switching to another", "dataHall", f.hall, "region", f.region, "silent", previous, "asked", f.source)
		}
		if f.requestDue(now) {
			requests = append(requests, feedRequest{source: f.source, request: f.nextRequest(now)})
		}
	}
	return requests
}

// sourcesOf returns the possible sources of a feed in order of preference. The caller
// holds relayMu.
func (s *Sharer) sourcesOf(f *feed, l *layout) []string {
	if f.scope != scopeRegion {
		return without(l.sources(f.hall), l.own)
	}
	p := s.relay.regions[f.region]
	return l.regionSources(f.region, p != nil && len(p.subscribers) > 0)
}

// countsOfOthers sums the counts of all other nodes. The caller holds relayMu.
func (s *Sharer) countsOfOthers() map[string]balance.Count {
	sum := map[string]balance.Count{}
	relayed := false
	for _, f := range s.feeds {
		addCounts(sum, f.counts)
		relayed = relayed || f.scope != scopeSite
	}
	if relayed {
		addCounts(sum, s.relay.counts())
	}
	for service, own := range s.budgets.Counts() {
		c := sum[service]
		sum[service] = balance.Count{Requests: max(0, c.Requests-own.Requests), Retries: max(0, c.Retries-own.Retries)}
	}
	return sum
}
