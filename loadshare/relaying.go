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

// nodeName names a node to the tracker.
func nodeName(short uint32) string { return strconv.FormatUint(uint64(short), 16) }

// layoutNow returns the layout of the nodes that are known now.
func (s *Sharer) layoutNow() *layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.layout == nil {
		own := s.conn.LocalAddr().String()
		places := map[string]place{own: s.place}
		for address := range s.peers {
			places[address] = place{}
			if heard := s.heard[address]; heard != nil {
				places[address] = heard.place
			}
		}
		s.layout = newLayout(own, places, s.regions)
	}
	return s.layout
}

// notePlace takes where a sender stands. The caller holds the mutex.
func (s *Sharer) notePlace(heard *sender, m *message) {
	p := place{dataHall: m.DataHall, disk: m.Disk}
	if m.DataHall == "" || p == heard.place {
		return
	}
	heard.place = p
	s.layout = nil
}

// addressesOf returns the peers with these addresses.
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

// shortRuns returns runs as feeds tell them. What broke off holds nothing.
func shortRuns(runs []balance.Shared) []shortRun {
	var short []shortRun
	for _, r := range runs {
		if r.Broken {
			continue
		}
		one := shortRun{Number: r.Number, Target: shortname.Of(r.Target), Read: r.Read, Hold: r.Hold, AgeMS: r.Age.Milliseconds()}
		if r.Trace.Copy != "" {
			one.Copy = shortname.Of(r.Trace.Copy)
		}
		short = append(short, one)
	}
	return short
}

// passOn takes the report of a node of the own data hall, or of this one, for
// those that are told by this node.
func (s *Sharer) passOn(from string, runs []balance.Shared, counts map[string]balance.Count, u urgent) {
	now := uptime.Now()
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	node := shortname.Of(from)
	region := s.ownRegion()
	s.relay.change(s.relay.difference(node, shortRuns(runs)), true, region, now)
	if len(counts) > 0 {
		s.relay.origins[node].counts = counts
	}
	s.relay.addUrgent(u, region, now)
	s.relay.hall.addUrgent(u, now)
}

// takeFeed takes part of a feed that this node subscribed to.
func (s *Sharer) takeFeed(from string, p *feedPart) {
	now := uptime.Now()
	s.relayMu.Lock()
	f := s.feedFrom(from, p)
	if f == nil {
		s.relayMu.Unlock()
		return
	}
	ends := s.takeEnds(p.Ends)
	sections, ask := f.take(p, now)
	if p.Parts == 0 && s.lackWhole(sections, now) {
		f.synced, ask = false, true
	}
	if ask {
		f.asked = time.Time{}
	}
	changed := s.applySections(f, sections, now)
	s.relay.addUrgent(urgent{ended: p.Ended, suspects: p.Suspects, silent: p.Silent, ends: ends}, s.regionOf(f), now)
	s.relayMu.Unlock()
	s.handOn(changed)
	s.tracker.SetEnded(p.Ended)
	s.tracker.SetSuspects(p.Suspects)
	s.tracker.SetSilent(p.Silent)
	if ask {
		s.wakeTend()
	}
}

// feedFrom returns the feed of a source that a datagram is of, nil if there is
// none. The caller holds relayMu.
func (s *Sharer) feedFrom(source string, p *feedPart) *feed {
	for _, f := range s.feeds {
		if f.source == source && f.scope == p.Scope && f.region == p.Region {
			return f
		}
	}
	return nil
}

// lackWhole reports whether changes are told of a node of whose runs this one
// was not told everything by the feed, since the node reported here then. The
// caller holds relayMu.
func (s *Sharer) lackWhole(sections []section, now time.Time) bool {
	return slices.ContainsFunc(sections, func(one section) bool { return s.relay.reportedOnce(one.Node, now) })
}

// applySections applies what a feed told, and returns the nodes whose runs it
// changed as they stand now. The caller holds relayMu.
func (s *Sharer) applySections(f *feed, sections []section, now time.Time) map[uint32][]shortRun {
	changed := map[uint32][]shortRun{}
	for _, one := range sections {
		if one.Node == s.short || s.relay.hears(one.Node, now) {
			continue
		}
		s.relay.change(one, false, s.regionOf(f), now)
		changed[one.Node] = nil
	}
	for node := range changed {
		changed[node] = s.relay.runsOf(node, now)
	}
	return changed
}

// handOn gives the tracker the runs of nodes.
func (s *Sharer) handOn(changed map[uint32][]shortRun) {
	for node, runs := range changed {
		s.tracker.SetOthers(nodeName(node), s.longRuns(runs))
	}
}

// longRuns returns runs as the tracker takes them; those at targets that are
// not listed are left out.
func (s *Sharer) longRuns(short []shortRun) []balance.Shared {
	names := make([]uint32, 0, 2*len(short))
	for _, r := range short {
		names = append(names, r.Target, r.Copy)
	}
	ids := s.tracker.Lives(names)
	var runs []balance.Shared
	for i, r := range short {
		if ids[2*i] == "" {
			continue
		}
		runs = append(runs, balance.Shared{
			Number: r.Number, Target: ids[2*i], Read: max(0, r.Read), Hold: max(0, r.Hold),
			Age: time.Duration(max(0, r.AgeMS)) * time.Millisecond, Trace: balance.Trace{Copy: ids[2*i+1]},
		})
	}
	return runs
}

// takeSubscribe notes a subscriber, and tells it again what it lost.
func (s *Sharer) takeSubscribe(from string, q *subscribe) {
	s.relayMu.Lock()
	var again []feedPart
	if p := s.relay.publisherOf(q.Scope, q.Region); p != nil {
		again = p.subscribe(from, q, uptime.Now())
	}
	s.relayMu.Unlock()
	s.sendParts([]string{from}, again)
}

// publish tells the subscribers of a feed until ctx ends.
func (s *Sharer) publish(ctx context.Context, p *publisher) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		select {
		case <-p.changed:
			time.Sleep(s.gatherOf(p))
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		s.flush(p)
		timer.Reset(heartbeat)
	}
}

func (s *Sharer) gatherOf(p *publisher) time.Duration {
	s.relayMu.Lock()
	defer s.relayMu.Unlock()
	return p.gather()
}

// flush sends what there is to tell.
func (s *Sharer) flush(p *publisher) {
	now := uptime.Now()
	l := s.layoutNow()
	s.relayMu.Lock()
	if len(p.subscribers) == 0 {
		p.forget()
		s.relayMu.Unlock()
		return
	}
	if !s.knowsFor(p, l, now) {
		s.relayMu.Unlock()
		return
	}
	if p.gravesDue(now) {
		p.news.ends = append(p.news.ends, encodeEnds(s.ledger.Grave())...)
	}
	var counts map[string]balance.Count
	if p.countsDue(now) {
		counts = s.countsOf(p)
	}
	changes, told, newcomers := p.flush(s.relay, counts, now)
	var everything []feedPart
	if len(newcomers) > 0 {
		everything = p.everything(s.relay, s.countsOf(p), s.allEnds(), now)
		s.count.whole.Add(int64(len(newcomers)))
	}
	s.relayMu.Unlock()
	s.sendParts(told, changes)
	s.sendParts(newcomers, everything)
}

func (s *Sharer) sendParts(addresses []string, parts []feedPart) {
	peers := s.addressesOf(addresses)
	if len(peers) == 0 {
		return
	}
	for i := range parts {
		s.sendTo(peers, message{Feed: &parts[i]})
	}
}

// countsOf sums the counts of the nodes that a publisher tells of. The caller
// holds relayMu.
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
