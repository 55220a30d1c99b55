// Package loadshare exchanges in-flight load between entry nodes, so that they do
// not all pick the same target from the same outdated load report. A node sends
// changes to its runs, the requests in progress at targets, as UDP datagrams, and
// periodically its full state, which repairs packet loss. Nodes of the same data
// hall are updated more often than the others.
package loadshare

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/shortname"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/topology"
	"k8s.io/klog/v2"
)

// Sharer exchanges the runs of this node with its peers.
type Sharer struct {
	conn           net.PacketConn
	tracker        *balance.Tracker
	budgets        *balance.Budgets
	ledger         *quarantine.Ledger
	location       location // of this node
	regions        topology.Map
	shortID        uint32     // of this node's address, used in feeds
	sameHall       *peerGroup // same data hall, direct
	otherHalls     *peerGroup // other data halls, direct
	relayGroup     *peerGroup // relays, on sites that use them
	sentTraces     sentTraces
	counters       counters
	maintainSignal chan struct{}
	saveSignal     chan struct{} // there are changes to save
	stateFile      string        // empty for none
	started        time.Time
	sequence       atomic.Uint64

	mu             sync.Mutex
	peers          map[string]*net.UDPAddr
	peersUpdatedAt time.Time                    // when SetPeers or ConfirmPeers was last called
	absentSince    map[string]time.Time         // peers missing from the last SetPeers: when they were last listed
	senders        map[string]*sender           // by address
	layout         *layout                      // cached; nil if it must be recomputed
	lastLookup     uint64                       // ID of the last lookup
	pendingLookups map[uint64]chan *traceUpdate // by lookup ID

	borrows borrowState // of retries

	limits LimitHandler // nil if unused
	asks   pendingReplies[ratelimit.Reply]

	reachHandler ReachHandler // nil if unused
	reach        pendingReplies[reachAnswer]

	leases    LeaseHandler // nil if unused
	leaseAsks pendingReplies[inflight.Reply]

	origins       OriginHandler // nil if unused
	originReplies pendingReplies[nodeReply]
	originsSentAt map[string]time.Time         // when each node was last sent all that it is to keep
	leftAt        []time.Time                  // when peers were dropped, within origins.MaxTTL
	transfers     map[string]*receivedTransfer // of origins, by sender
	transferID    atomic.Uint64

	hallsQueriedAt time.Time // used only by maintainSubscriptions

	relayMu            sync.Mutex
	relay              *relay
	feeds              map[feedKey]*feed
	failedRelays       map[string]time.Time // when each relay timed out, by address
	livenessReportedAt time.Time            // when the live nodes were last passed to the tracker
}

// WithDataHall sets the data hall of this node.
func WithDataHall(hall string) Option { return func(s *Sharer) { s.location.dataHall = hall } }

// WithTopology sets the regions of the data halls.
func WithTopology(m topology.Map) Option { return func(s *Sharer) { s.regions = m } }

// WithQuarantine sets the ledger whose crash reports nodes exchange.
func WithQuarantine(l *quarantine.Ledger) Option { return func(s *Sharer) { s.ledger = l } }

// New returns a sharer that sends and receives on conn once it runs. With WithStateFile it
// restores the state file.
func New(conn net.PacketConn, tracker *balance.Tracker, budgets *balance.Budgets, opts ...Option) *Sharer {
	s := &Sharer{
		conn: conn, tracker: tracker, budgets: budgets, sameHall: newPeerGroup(true, sameHallPacing), otherHalls: newPeerGroup(false, otherHallPacing),
		relayGroup: newRelayGroup(), maintainSignal: make(chan struct{}, 1), shortID: shortname.Of(conn.LocalAddr().String()),
		relay: newRelay(), feeds: map[feedKey]*feed{}, failedRelays: map[string]time.Time{}, pendingLookups: map[uint64]chan *traceUpdate{},
		saveSignal: make(chan struct{}, 1), started: uptime.Now(),
		borrows: borrowState{pending: map[uint64]*pendingBorrow{}, refusedAt: map[string]time.Time{}},
		peers:   map[string]*net.UDPAddr{}, absentSince: map[string]time.Time{}, originsSentAt: map[string]time.Time{}, transfers: map[string]*receivedTransfer{}, senders: map[string]*sender{},
	}
	// Sequence numbers start at the current time so that they grow across restarts, unless the
	// clock is set back; see sender.outdated.
	s.sequence.Store(uint64(time.Now().UnixNano()))
	for _, opt := range opts {
		opt(s)
	}
	if s.ledger == nil {
		s.ledger = quarantine.New()
	}
	s.ledger.OnReport(s.Changed)
	s.relay.addRegions(s.regions)
	s.counters.addRegions(s.regions)
	tracker.OnChange(s.Changed)
	if s.stateFile != "" {
		s.location.disk = true
		s.restore()
	}
	return s
}

// Changed signals that the tracker's runs or the ledger changed.
func (s *Sharer) Changed() {
	s.sameHall.wake()
	s.otherHalls.wake()
	s.relayGroup.wake()
}

// peerRetention is how long a peer is kept after it was last listed: a new leader
// of the control group learns of entry nodes only when they contact it.
const peerRetention = 6 * time.Second

// unknownSenderGrace is how long after its start a node accepts datagrams from
// unlisted senders: nodes that restored their peers from disk send before any list
// arrives.
const unknownSenderGrace = 2 * time.Second

// Peer is another live node.
type Peer struct {
	Address  string // numeric host:port
	DataHall string // empty if unknown; it is then queried
	Disk     bool   // traces survive a power loss
}

// SetPeers sets the list of live nodes. A peer that is missing from it is kept until
// it has not been listed for peerRetention.
func (s *Sharer) SetPeers(peers []Peer) {
	if first, changed := s.setPeers(peers); changed {
		s.peersChanged()
		if first {
			s.requestCrashes()
		}
		if uptime.Since(s.started) < originRequestSpan {
			s.requestOrigins()
		}
	}
}

// ConfirmPeers confirms that the last list of peers is still valid. It drops the peers
// that have been missing from it for peerRetention.
func (s *Sharer) ConfirmPeers() {
	if s.confirmPeers() {
		s.peersChanged()
	}
}

// confirmPeers refreshes the last list of peers, and reports whether it dropped any
// absent peers.
func (s *Sharer) confirmPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersUpdatedAt = uptime.Now()
	return s.dropAbsentPeers()
}

// dropAbsentPeers drops the peers that have not been listed for peerRetention, and
// reports whether there were any. The caller holds the mutex.
func (s *Sharer) dropAbsentPeers() (dropped bool) {
	for a, listedAt := range s.absentSince {
		if uptime.Since(listedAt) >= peerRetention {
			delete(s.absentSince, a)
			delete(s.peers, a)
			delete(s.senders, a)
			delete(s.originsSentAt, a)
			delete(s.transfers, a)
			s.leftAt = append(s.leftAt, uptime.Now())
			dropped = true
		}
	}
	return dropped
}

// setPeers replaces the list of live nodes. It reports whether anything changed, and
// whether these are the first peers of this node.
func (s *Sharer) setPeers(listed []Peer) (first, changed bool) {
	own := s.conn.LocalAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.peers) == 0
	updatedBefore := s.peersUpdatedAt
	s.peersUpdatedAt = uptime.Now()
	present := make(map[string]bool, len(listed))
	for _, p := range listed {
		present[p.Address] = true
		if p.Address != own && s.addPeer(p) {
			changed = true
		}
	}
	for a := range s.peers {
		if _, known := s.absentSince[a]; !known && !present[a] {
			s.absentSince[a] = updatedBefore
		}
	}
	changed = s.dropAbsentPeers() || changed
	return first && len(s.peers) > 0, changed
}

// addPeer adds a peer or updates its location, and reports whether anything changed.
// The caller holds the mutex.
func (s *Sharer) addPeer(p Peer) (changed bool) {
	delete(s.absentSince, p.Address)
	if s.peers[p.Address] == nil {
		addr, err := net.ResolveUDPAddr("udp", p.Address)
		if err != nil {
			klog.ErrorS(err, "Ignoring peer with unresolvable address", "address", p.Address)
			return false
		}
		s.peers[p.Address] = addr
		changed = true
	}
	if p.DataHall == "" {
		return changed
	}
	state := s.senders[p.Address]
	if state == nil {
		state = &sender{}
		s.senders[p.Address] = state
	}
	if loc := (location{dataHall: p.DataHall, disk: p.Disk}); state.location != loc {
		state.location = loc
		changed = true
	}
	return changed
}

// peersChanged applies a new list of peers to the tracker and the layout.
func (s *Sharer) peersChanged() {
	own := s.conn.LocalAddr().String()
	s.mu.Lock()
	s.layout = nil
	nodes := slices.Collect(maps.Keys(s.peers))
	s.mu.Unlock()
	s.tracker.SetNodes(own, nodes)
	s.tracker.SetCrossHallLag(s.otherHallLag(len(nodes)))
	s.tracker.SetPropagationDelay(s.propagationLag(len(nodes)))
	s.tracker.SetCrossRegionLag(s.regionLag(len(nodes)))
	s.Changed()
}

// initialCrashQueries is how many peers a starting node asks for crash reports: some
// may have just started themselves or be unreachable.
const initialCrashQueries = 3

// requestCrashes asks some peers for their crash reports, so that a starting node
// does not route a quarantined request before the first full message arrives, which may
// take a second: the very first request may be one that crashes its targets.
func (s *Sharer) requestCrashes() {
	peers := s.Peers() // random order
	s.sendTo(s.addressesOf(peers[:min(initialCrashQueries, len(peers))]), message{WantCrashes: true})
}

// otherHallLag is the extra delay of updates from other data halls. Through relays
// it is one more hop, from a publisher with few subscribers.
func (s *Sharer) otherHallLag(peers int) time.Duration {
	if usesRelays(peers+1, s.location.dataHall) {
		return minBatchDelay
	}
	return s.otherHalls.pacing.batchDelay(peers) - s.sameHall.pacing.minDelay
}

// propagationLag is how long a new run takes to become known to most nodes.
func (s *Sharer) propagationLag(peers int) time.Duration {
	if usesRelays(peers+1, s.location.dataHall) {
		return s.relayGroup.pacing.minDelay + minBatchDelay + nodesPerRelay*perSubscriberDelay
	}
	return s.otherHalls.pacing.batchDelay(peers)
}

// peersOf returns the peers of a group. A peer whose data hall is not known yet
// counts as one of another hall.
func (s *Sharer) peersOf(a *peerGroup, l *layout) []*net.UDPAddr {
	if a.relays {
		return s.addressesOf(without(l.relays[l.hall], l.own))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]*net.UDPAddr, 0, len(s.peers))
	for address, peer := range s.peers {
		state := s.senders[address]
		sameHall := state != nil && s.location.dataHall != "" && state.location.dataHall == s.location.dataHall
		if sameHall == a.sameHall {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Run sends, receives and writes the state file until ctx ends, sends a last full message,
// then closes the connection. It returns once nothing writes the state file any more.
func (s *Sharer) Run(ctx context.Context) {
	go s.receive()
	defer s.conn.Close()
	var tasks sync.WaitGroup
	if s.stateFile != "" {
		tasks.Go(func() { s.saveLoop(ctx) })
	}
	for _, a := range []*peerGroup{s.sameHall, s.otherHalls, s.relayGroup} {
		tasks.Go(func() { s.sendLoop(ctx, a) })
	}
	for _, p := range s.relay.publishers() {
		tasks.Go(func() { s.publish(ctx, p) })
	}
	tasks.Go(func() { s.maintainSubscriptions(ctx) })
	tasks.Wait()
}

// sendLoop keeps a peer group up to date until ctx ends. The last message is a full
// one, which lists the runs that this node aborted.
func (s *Sharer) sendLoop(ctx context.Context, a *peerGroup) {
	timer := time.NewTimer(a.pacing.fullInterval)
	defer timer.Stop()
	for {
		select {
		case <-a.changed:
			time.Sleep(a.pacing.batchDelay(a.peerCount))
		case <-timer.C:
		case <-ctx.Done():
			s.send(a, true)
			return
		}
		a.drain()
		s.send(a, false)
		s.requestSave()
		timer.Reset(a.pacing.fullInterval)
	}
}

// send brings a peer group up to date, if it is in use on a site of this size.
func (s *Sharer) send(a *peerGroup, full bool) {
	l := s.currentLayout()
	if a.relays != l.relayed {
		a.peerCount = 0
		return
	}
	n := localState{runs: s.tracker.Runs(), ended: s.tracker.Ended(), suspects: s.tracker.Suspects(),
		unresponsive: s.tracker.UnresponsiveTargets(), counts: s.budgets.Counts()}
	n.crashes = s.newCrashes(a)
	if a.relays {
		s.sendTraces(l, n.runs)
		n.runs = withoutTraces(n.runs)
		s.relayReport(l.own, n.runs, n.counts, targetEvents{ended: n.ended, suspects: n.suspects, unresponsive: n.unresponsive, crashes: n.crashes})
	}
	peers := s.peersOf(a, l)
	now := uptime.Now()
	full = full || a.fullDue(now, len(peers))
	if full {
		a.lastFull = now
	}
	a.peerCount = len(peers)
	if len(peers) == 0 {
		return
	}
	if full {
		n.crashes = s.allCrashes()
	}
	for _, m := range a.buildMessages(n, full) {
		m = s.withLocation(m)
		m.Sequence = s.sequence.Add(1)
		s.sendTo(peers, m)
	}
}

// newCrashes returns the crash reports not yet sent to a peer group.
func (s *Sharer) newCrashes(a *peerGroup) []crashReport {
	crashes, newest := s.ledger.ReportsAfter(a.crashCursor)
	a.crashCursor = newest
	return encodeCrashes(crashes)
}

// allCrashes returns the crash reports for a node that may have missed some.
func (s *Sharer) allCrashes() []crashReport { return encodeCrashes(s.ledger.AllReports()) }

// mergeCrashes adds another node's crash reports, and returns those that are new.
func (s *Sharer) mergeCrashes(reports []crashReport) []crashReport {
	return encodeCrashes(s.ledger.Merge(decodeCrashes(reports)))
}

// withoutTraces returns the runs that occupy a target, without the trace keys, which
// relays do not forward.
func withoutTraces(runs []balance.RunReport) []balance.RunReport {
	var stripped []balance.RunReport
	for _, r := range runs {
		if r.Failed {
			continue
		}
		r.Trace = balance.Trace{Copy: r.Trace.Copy, CopyName: r.Trace.CopyName}
		stripped = append(stripped, r)
	}
	return stripped
}

// withLocation adds this node's location to a message.
func (s *Sharer) withLocation(m message) message {
	m.DataHall, m.Disk = s.location.dataHall, s.location.disk
	return m
}

// sendTo sends a message. Packet loss is repaired by the next full message.
func (s *Sharer) sendTo(peers []*net.UDPAddr, m message) {
	datagram, err := msgpack.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "Failed to encode message")
		return
	}
	for _, peer := range peers {
		s.conn.WriteTo(datagram, peer)
	}
	s.countRegions(peers, len(datagram))
	s.counters.datagrams.Add(int64(len(peers)))
	s.counters.bytes.Add(int64(len(peers) * len(datagram)))
}

func (s *Sharer) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		m, err := decode(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("Ignoring malformed datagram", "from", from, "err", err)
			continue
		}
		s.handle(from.String(), m)
	}
}

// handle dispatches a message. Those from unknown senders are ignored.
func (s *Sharer) handle(from string, m message) {
	state := s.senderOf(from, &m)
	if state == nil {
		return
	}
	if m.WantDataHall {
		s.sendTo(s.addressesOf([]string{from}), s.withLocation(message{}))
	}
	if m.WantCrashes {
		s.sendTo(s.addressesOf([]string{from}), message{Crashes: s.allCrashes(), Brittle: s.brittleNotices()})
	}
	if len(m.Crashes) > 0 && !m.isReport() {
		s.mergeCrashes(m.Crashes)
	}
	if m.isReport() {
		s.handleReport(from, state, m)
	}
	if m.Feed != nil {
		s.handleFeed(from, m.Feed)
	}
	if m.Subscribe != nil {
		s.handleSubscribe(from, m.Subscribe)
	}
	if len(m.Traces) > 0 {
		s.handleTraces(m.Traces)
	}
	if m.Lookup != nil {
		s.handleLookup(from, m.Lookup)
	}
	if m.LookupReply != nil {
		s.handleLookupReply(m.LookupReply)
	}
	if m.Borrow != nil {
		s.handleBorrow(from, m.Borrow)
	}
	if m.BorrowReply != nil {
		s.handleBorrowReply(m.BorrowReply)
	}
	if m.Permit != nil {
		s.handlePermitRequest(from, m.Permit)
	}
	if m.PermitReply != nil {
		s.handlePermitReply(m.PermitReply)
	}
	if len(m.Limits) > 0 {
		s.handleLimits(m.Limits)
	}
	if m.Reach != nil {
		s.handleReach(from, m.Reach)
	}
	if m.ReachReply != nil {
		s.handleReachReply(from, m.ReachReply)
	}
	s.handleLeases(from, &m)
	s.handleOrigins(from, &m)
}

// senderOf returns the state of a message's sender, nil if it is unknown.
func (s *Sharer) senderOf(from string, m *message) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.peers[from]
	if !known && uptime.Since(s.started) >= unknownSenderGrace {
		return nil
	}
	state := s.senders[from]
	if state == nil {
		state = &sender{}
		s.senders[from] = state
	}
	s.updateLocation(state, m)
	return state
}

// handleReport processes a report of a node's runs, unless it is out of date.
func (s *Sharer) handleReport(from string, state *sender, m message) {
	runs, sameHall, ok := s.applyReport(state, m)
	if !ok {
		return
	}
	crashes := s.mergeCrashes(m.Crashes)
	if sameHall && s.currentLayout().relayed {
		s.relayReport(from, runs, m.Counts, targetEvents{ended: m.Ended, suspects: m.Suspects, unresponsive: m.Silent, crashes: crashes})
	} else if len(m.Counts) > 0 {
		s.budgets.SetPeerCounts(from, m.Counts)
	}
	s.tracker.SetEnded(m.Ended)
	s.tracker.SetSuspects(m.Suspects)
	s.tracker.SetUnresponsive(m.Silent)
	s.tracker.SetPeerRuns(nodeName(shortname.Of(from)), runs)
	s.requestSave()
}

// applyReport updates the state of a sender and returns its runs. sameHall reports
// whether it is in this node's data hall; ok is false for an outdated message.
func (s *Sharer) applyReport(state *sender, m message) (runs []balance.RunReport, sameHall, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := uptime.Now()
	if state.outdated(m, now) {
		return nil, false, false
	}
	return state.apply(m, now), state.location.dataHall == s.location.dataHall, true
}
