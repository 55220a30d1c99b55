package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// Subscription timing.
const (
	renewInterval = 800 * time.Millisecond // of a synced subscription
	// resendInterval is the time between requests for lost datagrams; it doubles
	// with each request.
	resendInterval = 60 * time.Millisecond
	// snapshotInterval is the time between requests for a snapshot: about 20 kB on
	// a site of 300 nodes. Relays send snapshots one after the other.
	snapshotInterval = time.Second
	// gapTimeout is how long datagrams may be missing before a snapshot is requested.
	gapTimeout = time.Second
	// feedTimeout is how long a feed may send nothing before failover to the next
	// relay: three heartbeats, of which two may be lost.
	feedTimeout = 500 * time.Millisecond
	// sourceBackoff is how long a relay that timed out is tried last.
	sourceBackoff = 3 * time.Second
)

// feed is this node's subscription to a relay.
type feed struct {
	scope  scope
	hall   string // of the relay; empty for scopeRegion
	region string // of scopeRegion
	source string // address of the relay; empty for none

	requestedAt    time.Time // time of the last request
	receivedAt     time.Time // time of the last datagram
	sourceSince    time.Time // when the current source was chosen
	synced         bool      // a snapshot and all changes up to sequence were applied
	stale          bool      // a new snapshot is needed; changes are applied meanwhile
	gapSince       time.Time // since when a datagram has been missing; zero for none
	resendRequests int       // requests for the missing datagrams
	sequence       uint64    // of the last datagram applied
	partsReceived  int       // parts of the current snapshot received
	nodes          map[uint32]bool
	snapshotNodes  map[uint32]bool // nodes in the snapshot received so far
	// failedAt is when each source timed out, by address. Set only for regions: a
	// relay that has lost one region may still serve all other feeds.
	failedAt map[string]time.Time
	counts   map[string]balance.Count
}

func newFeed(s scope, hall string) *feed {
	return &feed{scope: s, hall: hall, nodes: map[uint32]bool{}}
}

// newRegionFeed returns a feed of a region's runs.
func newRegionFeed(region string) *feed {
	f := newFeed(scopeRegion, "")
	f.region, f.failedAt = region, map[string]time.Time{}
	return f
}

// current reports whether the feed is synced and its source alive.
func (f *feed) current(now time.Time) bool { return f.synced && now.Sub(f.receivedAt) <= feedTimeout }

// chooseSource selects the first source that has not timed out within sourceBackoff, or
// else the one whose timeout is oldest, and reports whether the source changed.
func (f *feed) chooseSource(sources []string, failedAt map[string]time.Time, now time.Time) bool {
	if f.source != "" && now.Sub(laterOf(f.receivedAt, f.sourceSince)) > feedTimeout {
		failedAt[f.source] = now
		f.synced = false
	}
	best := ""
	for _, s := range sources {
		if now.Sub(failedAt[s]) > sourceBackoff {
			best = s
			break
		}
	}
	if best == "" && len(sources) > 0 {
		best = leastRecentlyFailed(sources, failedAt)
	}
	if best == f.source {
		return false
	}
	f.source, f.sourceSince, f.synced, f.requestedAt = best, now, false, time.Time{}
	return true
}

// leastRecentlyFailed returns the source whose last timeout is oldest.
func leastRecentlyFailed(sources []string, failedAt map[string]time.Time) string {
	best := sources[0]
	for _, s := range sources {
		if failedAt[s].Before(failedAt[best]) {
			best = s
		}
	}
	return best
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestDue reports whether a request to the source is due.
func (f *feed) requestDue(now time.Time) bool {
	if f.source == "" {
		return false
	}
	interval := renewInterval
	switch {
	case !f.synced || f.stale:
		interval = snapshotInterval
	case !f.gapSince.IsZero():
		interval = resendInterval << min(f.resendRequests, maxBackoffShift)
	}
	return now.Sub(f.requestedAt) >= interval
}

// maxBackoffShift bounds how often resendInterval is doubled.
const maxBackoffShift = 3

// nextRequest returns the request to send to the source.
func (f *feed) nextRequest(now time.Time) subscribeRequest {
	f.requestedAt = now
	req := subscribeRequest{Scope: f.scope, Region: f.region, Snapshot: !f.synced || f.stale}
	if !req.Snapshot && !f.gapSince.IsZero() {
		req.ResendFrom = f.sequence + 1
		f.resendRequests++
	}
	return req
}

// handle processes a datagram from the source. It returns the deltas to apply, in
// order, and whether missing datagrams are to be requested immediately.
func (f *feed) handle(p *feedDatagram, now time.Time) (deltas []nodeDelta, requestNow bool) {
	f.receivedAt = now
	if p.Counts != nil {
		f.counts = p.Counts
	}
	if p.Parts > 0 {
		return f.handleSnapshotPart(p), false
	}
	if !f.synced || p.Sequence <= f.sequence {
		return nil, false // a snapshot is pending, or a duplicate
	}
	if p.Heartbeat || p.Sequence != f.sequence+1 {
		return nil, f.noteGap(now)
	}
	f.sequence, f.gapSince, f.resendRequests = p.Sequence, time.Time{}, 0
	f.trackNodes(p.Deltas)
	return p.Deltas, false
}

// noteGap records a missing datagram, and reports whether to request it
// immediately. After gapTimeout it makes the feed request a snapshot.
func (f *feed) noteGap(now time.Time) bool {
	if f.gapSince.IsZero() {
		f.gapSince = now
		return true
	}
	if now.Sub(f.gapSince) > gapTimeout {
		f.synced = false
	}
	return false
}

// handleSnapshotPart processes one part of a snapshot. The last part removes the
// nodes that the snapshot lacks.
func (f *feed) handleSnapshotPart(p *feedDatagram) (deltas []nodeDelta) {
	if p.Part == 0 {
		f.snapshotNodes, f.partsReceived = map[uint32]bool{}, 0
		f.sequence = p.Sequence
	} else if f.snapshotNodes == nil || p.Part != f.partsReceived || p.Sequence != f.sequence {
		f.snapshotNodes = nil
		return nil
	}
	f.partsReceived++
	for _, s := range p.Deltas {
		f.snapshotNodes[s.Node] = true
		deltas = append(deltas, nodeDelta{Node: s.Node, Removed: true}, s)
	}
	if f.partsReceived == p.Parts {
		for node := range f.nodes {
			if !f.snapshotNodes[node] {
				deltas = append(deltas, nodeDelta{Node: node, Removed: true})
			}
		}
		f.nodes, f.snapshotNodes, f.synced, f.stale, f.gapSince, f.resendRequests = f.snapshotNodes, nil, true, false, time.Time{}, 0
	}
	return deltas
}

// trackNodes records which nodes the feed covers.
func (f *feed) trackNodes(deltas []nodeDelta) {
	for _, s := range deltas {
		if s.Removed {
			delete(f.nodes, s.Node)
		} else {
			f.nodes[s.Node] = true
		}
	}
}

// reset discards the feed's state except its source, and returns the deltas that remove
// its nodes.
func (f *feed) reset() []nodeDelta {
	var removed []nodeDelta
	for node := range f.nodes {
		removed = append(removed, nodeDelta{Node: node, Removed: true})
	}
	f.nodes, f.snapshotNodes, f.synced, f.counts = map[uint32]bool{}, nil, false, nil
	return removed
}
