package loadshare

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/shortname"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// nodeName returns the name of a node in the tracker.
func nodeName(short uint32) string { return strconv.FormatUint(uint64(short), 16) }

// currentLayout returns the layout of the nodes known now. It must not be modified.
func (s *Sharer) currentLayout() *layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.layout == nil {
		own := s.conn.LocalAddr().String()
		locations := map[string]location{own: s.location}
		for address := range s.peers {
			locations[address] = location{}
			if state := s.senders[address]; state != nil {
				locations[address] = state.location
			}
		}
		s.layout = newLayout(own, locations, s.regions)
	}
	return s.layout
}

// updateLocation updates a sender's location from a message, if that carries one. The
// caller holds the mutex.
func (s *Sharer) updateLocation(state *sender, m *message) {
	loc := location{dataHall: m.DataHall, disk: m.Disk}
	if m.DataHall == "" || loc == state.location {
		return
	}
	state.location = loc
	s.layout = nil
}

// addressesOf returns the UDP addresses of those of the given addresses that are known
// peers.
func (s *Sharer) addressesOf(addresses []string) []*net.UDPAddr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []*net.UDPAddr
	for _, a := range addresses {
		if peer := s.peers[a]; peer != nil {
			peers = append(peers, peer)
		}
	}
	return peers
}

// compactRuns converts runs to their feed encoding. Broken runs are omitted, since they
// occupy nothing.
func compactRuns(runs []balance.RunReport) []compactRun {
	var encoded []compactRun
	for _, r := range runs {
		if r.Failed {
			continue
		}
		compact := compactRun{Number: r.Number, Target: shortname.Of(r.Target), Read: r.PendingTokens, Hold: r.MemoryTokens, AgeMS: r.Age.Milliseconds()}
		if r.Trace.Copy != "" {
			compact.Copy = shortname.Of(r.Trace.Copy)
		}
		encoded = append(encoded, compact)
	}
	return encoded
}

// relayReport forwards the report of a node of this data hall, or of this node itself,
// to subscribers.
func (s *Sharer) relayReport(from string, runs []balance.RunReport, counts map[string]balance.Count, events targetEvents) {
	now := uptime.Now()
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	node := shortname.Of(from)
	region := s.ownRegion()
	s.relay.applyDelta(s.relay.diff(node, compactRuns(runs)), true, region, now)
	if len(counts) > 0 {
		s.relay.origins[node].counts = counts
	}
	s.relay.addEvents(events, region, now)
	s.relay.hall.addEvents(events, now)
}

// handleFeed processes a datagram of a feed that this node subscribes to; others are
// ignored.
func (s *Sharer) handleFeed(from string, p *feedDatagram) {
	now := uptime.Now()
	s.relayMu.Lock()
	f := s.feedFrom(from, p)
	if f == nil {
		s.relayMu.Unlock()
		return
	}
	crashes := s.mergeCrashes(p.Crashes)
	deltas, requestNow := f.handle(p, now)
	if p.Parts == 0 && s.needsSnapshot(deltas, now) {
		f.synced, requestNow = false, true
	}
	if requestNow {
		f.requestedAt = time.Time{}
	}
	changed := s.applyDeltas(f, deltas, now)
	s.relay.addEvents(targetEvents{ended: p.Ended, suspects: p.Suspects, unresponsive: p.Silent, crashes: crashes}, s.regionOf(f), now)
	s.relayMu.Unlock()
	s.updateTracker(changed)
	s.tracker.SetEnded(p.Ended)
	s.tracker.SetSuspects(p.Suspects)
	s.tracker.SetUnresponsive(p.Silent)
	if requestNow {
		s.wakeMaintenance()
	}
}

// feedFrom returns the feed that a datagram of a source belongs to, nil if there is
// none. The caller holds relayMu.
func (s *Sharer) feedFrom(source string, p *feedDatagram) *feed {
	for _, f := range s.feeds {
		if f.source == source && f.scope == p.Scope && f.region == p.Region {
			return f
		}
	}
	return nil
}

// needsSnapshot reports whether deltas concern a node that used to report here
// directly, so that its earlier runs are missing from the feed's state. The caller
// holds relayMu.
func (s *Sharer) needsSnapshot(deltas []nodeDelta, now time.Time) bool {
	return slices.ContainsFunc(deltas, func(delta nodeDelta) bool { return s.relay.reportOverdue(delta.Node, now) })
}

// applyDeltas applies the deltas of a feed, and returns the current runs of the nodes
// that changed. The caller holds relayMu.
func (s *Sharer) applyDeltas(f *feed, deltas []nodeDelta, now time.Time) map[uint32][]compactRun {
	changed := map[uint32][]compactRun{}
	for _, delta := range deltas {
		if delta.Node == s.shortID || s.relay.reportsHere(delta.Node, now) {
			continue
		}
		s.relay.applyDelta(delta, false, s.regionOf(f), now)
		changed[delta.Node] = nil
	}
	for node := range changed {
		changed[node] = s.relay.runsOf(node, now)
	}
	return changed
}

// updateTracker passes the runs of nodes to the tracker.
func (s *Sharer) updateTracker(changed map[uint32][]compactRun) {
	for node, runs := range changed {
		s.tracker.SetPeerRuns(nodeName(node), s.expandRuns(runs))
	}
}

// expandRuns converts runs from their feed encoding; those at unlisted targets are
// omitted.
func (s *Sharer) expandRuns(encoded []compactRun) []balance.RunReport {
	names := make([]uint32, 0, 2*len(encoded))
	for _, r := range encoded {
		names = append(names, r.Target, r.Copy)
	}
	ids := s.tracker.Incarnations(names)
	var runs []balance.RunReport
	for i, r := range encoded {
		if ids[2*i] == "" {
			continue
		}
		runs = append(runs, balance.RunReport{
			Number: r.Number, Target: ids[2*i], PendingTokens: max(0, r.Read), MemoryTokens: max(0, r.Hold),
			Age: time.Duration(max(0, r.AgeMS)) * time.Millisecond, Trace: balance.Trace{Copy: ids[2*i+1]},
		})
	}
	return runs
}

// handleSubscribe adds or renews a subscriber, and retransmits the datagrams that it
// reports as lost.
func (s *Sharer) handleSubscribe(from string, req *subscribeRequest) {
	s.relayMu.Lock()
	var resend []feedDatagram
	if p := s.relay.publisherOf(req.Scope, req.Region); p != nil {
		resend = p.subscribe(from, req, uptime.Now())
	}
	s.relayMu.Unlock()
	s.sendDatagrams([]string{from}, resend)
}

// publish sends a feed to its subscribers until ctx ends.
func (s *Sharer) publish(ctx context.Context, p *publisher) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.changed:
			time.Sleep(s.batchDelayOf(p))
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.flush(p)
		timer.Reset(heartbeatInterval)
	}
}

func (s *Sharer) batchDelayOf(p *publisher) time.Duration {
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	return p.batchDelay()
}

// flush sends the pending changes and snapshots of a feed.
func (s *Sharer) flush(p *publisher) {
	now := uptime.Now()
	l := s.currentLayout()
	s.relayMu.Lock()
	if len(p.subscribers) == 0 {
		p.discardPending()
		s.relayMu.Unlock()
		return
	}
	if !s.hasDataFor(p, l, now) {
		s.relayMu.Unlock()
		return
	}
	if p.quarantineDue(now) {
		p.events.crashes = append(p.events.crashes, encodeCrashes(s.ledger.CriticalReports())...)
	}
	var counts map[string]balance.Count
	if p.countsDue(now) {
		counts = s.countsOf(p)
	}
	changes, recipients, unsynced := p.flush(s.relay, counts, now)
	var snapshot []feedDatagram
	if len(unsynced) > 0 {
		snapshot = p.snapshot(s.relay, s.countsOf(p), s.allCrashes(), now)
		s.counters.snapshots.Add(int64(len(unsynced)))
	}
	s.relayMu.Unlock()
	s.sendDatagrams(recipients, changes)
	s.sendDatagrams(unsynced, snapshot)
}

func (s *Sharer) sendDatagrams(addresses []string, parts []feedDatagram) {
	peers := s.addressesOf(addresses)
	if len(peers) == 0 {
		return
	}
	for i := range parts {
		s.sendTo(peers, message{Feed: &parts[i]})
	}
}

// countsOf sums the counts of the nodes that a publisher includes. The caller holds
// relayMu.
func (s *Sharer) countsOf(p *publisher) map[string]balance.Count {
	sum := map[string]balance.Count{}
	if p.scope != scopeRegion || p.region == s.ownRegion() {
		sum = s.relay.counts()
	}
	for _, f := range s.feeds {
		if p.scope == scopeSite || p.scope == scopeRegion && s.regionOf(f) == p.region {
			addCounts(sum, f.counts)
		}
	}
	return sum
}
