// Package loadshare lets entry nodes tell each other what they have under way
// at the targets, so that they do not all choose the same one from the same
// old report. A node tells changes in datagrams, and now and then all there
// is, which makes good what was lost. Nodes of its own data hall are told
// sooner than the others.
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
	"github.com/walnutramp/walnutramp/internal/shortname"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/topology"
	"k8s.io/klog/v2"
)

// Sharer tells peers of this node's runs, and learns theirs.
type Sharer struct {
	conn     net.PacketConn
	tracker  *balance.Tracker
	budgets  *balance.Budgets
	ledger   *quarantine.Ledger
	place    place // of this node
	regions  topology.Map
	short    uint32    // its name in feeds
	near     *audience // of the own data hall, told directly
	far      *audience // of the others, told directly
	up       *audience // relays, told where there are any
	traces   toldTraces
	count    counters
	tendSoon chan struct{}
	news     chan struct{} // there is something new to write down
	file     string        // of the memory; empty for none
	started  time.Time
	sequence atomic.Uint64

	mu      sync.Mutex
	peers   map[string]*net.UDPAddr
	namedAt time.Time                  // when the newest peers were named last
	unnamed map[string]time.Time       // peers that the newest naming lacks: when they were named last
	heard   map[string]*sender         // by address
	layout  *layout                    // nil if it is to be worked out anew
	lookups uint64                     // numbers lookups
	asked   map[uint64]chan *traceNote // lookups that wait

	borrows borrowing // of repeats

	askedHalls time.Time // only used by the task that tends subscriptions

	relayMu sync.Mutex
	relay   *relay
	feeds   map[feedKey]*feed
	missed  map[string]time.Time // when a relay fell silent, by address
	thereAt time.Time            // when the tracker was told who is there
}

// WithDataHall names the data hall of this node.
func WithDataHall(hall string) Option { return func(s *Sharer) { s.place.dataHall = hall } }

// WithTopology tells which data halls are in which region.
func WithTopology(m topology.Map) Option { return func(s *Sharer) { s.regions = m } }

// WithQuarantine sets which notes of targets that ended under requests nodes tell
// each other.
func WithQuarantine(l *quarantine.Ledger) Option { return func(s *Sharer) { s.ledger = l } }

// New returns a sharer that sends and receives on conn.
func New(conn net.PacketConn, tracker *balance.Tracker, budgets *balance.Budgets, opts ...Option) *Sharer {
	s := &Sharer{
		conn: conn, tracker: tracker, budgets: budgets, near: newAudience(true, nearPace), far: newAudience(false, farPace),
		up: newRelayAudience(), tendSoon: make(chan struct{}, 1), short: shortname.Of(conn.LocalAddr().String()),
		relay: newRelay(), feeds: map[feedKey]*feed{}, missed: map[string]time.Time{}, asked: map[uint64]chan *traceNote{},
		news: make(chan struct{}, 1), started: uptime.Now(),
		borrows: borrowing{pending: map[uint64]*pendingBorrow{}, vain: map[string]time.Time{}},
		peers:   map[string]*net.UDPAddr{}, unnamed: map[string]time.Time{}, heard: map[string]*sender{},
	}
	// A sender that restarts begins at a later time, and so higher.
	s.sequence.Store(uint64(time.Now().UnixNano()))
	for _, opt := range opts {
		opt(s)
	}
	if s.ledger == nil {
		s.ledger = quarantine.New()
	}
	s.ledger.OnNews(s.Changed)
	s.relay.addRegions(s.regions)
	s.count.addRegions(s.regions)
	tracker.OnChange(s.Changed)
	if s.file != "" {
		s.place.disk = true
		s.recall()
	}
	return s
}

// Changed says that the tracker's runs changed.
func (s *Sharer) Changed() {
	s.near.wake()
	s.far.wake()
	s.up.wake()
}

// peerLife is how long a node is told after it was last named: a new leader
// of the control group knows the entries only once they have asked it.
const peerLife = 6 * time.Second

// strangerTime is how long after its start a node hears nodes that it was not
// told of: those that kept their peers over a restart speak before anybody
// else can name them.
const strangerTime = 2 * time.Second

// Peer is a node that is there.
type Peer struct {
	Address  string // numeric host:port
	DataHall string // empty if it is not known: the peer is asked
	Disk     bool   // it keeps traces over a loss of power
}

// SetPeers names the nodes that are there.
func (s *Sharer) SetPeers(peers []Peer) {
	if first, changed := s.setPeers(peers); changed {
		s.peersChanged()
		if first {
			s.askForEnds()
		}
	}
}

// PeersStill says that those named last are still there.
func (s *Sharer) PeersStill() {
	if s.confirmPeers() {
		s.peersChanged()
	}
}

// confirmPeers notes that the newest peers are still there, and forgets those that were
// not named for long. It reports whether there were any.
func (s *Sharer) confirmPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.namedAt = uptime.Now()
	return s.forgetUnnamed()
}

// forgetUnnamed drops the peers that were not named for long, and reports whether there
// were any. The caller holds the mutex.
func (s *Sharer) forgetUnnamed() (dropped bool) {
	for a, named := range s.unnamed {
		if uptime.Since(named) >= peerLife {
			delete(s.unnamed, a)
			delete(s.peers, a)
			delete(s.heard, a)
			dropped = true
		}
	}
	return dropped
}

// setPeers takes the nodes that are there. It reports whether that changes anything, and
// whether they are the first that this node is told of.
func (s *Sharer) setPeers(named []Peer) (first, changed bool) {
	own := s.conn.LocalAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.peers) == 0
	before := s.namedAt
	s.namedAt = uptime.Now()
	now := make(map[string]bool, len(named))
	for _, p := range named {
		now[p.Address] = true
		if p.Address != own && s.addPeer(p) {
			changed = true
		}
	}
	for a := range s.peers {
		if _, known := s.unnamed[a]; !known && !now[a] {
			s.unnamed[a] = before
		}
	}
	changed = s.forgetUnnamed() || changed
	return first && len(s.peers) > 0, changed
}

// addPeer notes a peer and where it stands, and reports whether that is new. The caller
// holds the mutex.
func (s *Sharer) addPeer(p Peer) (changed bool) {
	delete(s.unnamed, p.Address)
	if s.peers[p.Address] == nil {
		addr, err := net.ResolveUDPAddr("udp", p.Address)
		if err != nil {
			klog.ErrorS(err, "Peer not taken", "address", p.Address)
			return false
		}
		s.peers[p.Address] = addr
		changed = true
	}
	if p.DataHall == "" {
		return changed
	}
	heard := s.heard[p.Address]
	if heard == nil {
		heard = &sender{}
		s.heard[p.Address] = heard
	}
	if at := (place{dataHall: p.DataHall, disk: p.Disk}); heard.place != at {
		heard.place = at
		changed = true
	}
	return changed
}

// peersChanged has all go by the peers that there are now.
func (s *Sharer) peersChanged() {
	own := s.conn.LocalAddr().String()
	s.mu.Lock()
	s.layout = nil
	nodes := slices.Collect(maps.Keys(s.peers))
	s.mu.Unlock()
	s.tracker.SetNodes(own, nodes)
	s.tracker.SetFarLag(s.farLag(len(nodes)))
	s.tracker.SetNewsLag(s.newsLag(len(nodes)))
	s.tracker.SetRegionLag(s.regionLag(len(nodes)))
	s.Changed()
}

// startAsks is how many peers a node that starts asks what it missed: one may
// have just started, too, and one may be cut off.
const startAsks = 3

// askForEnds asks peers under which requests targets ended: such a request may
// be the first that comes. Without it a node that was started again learned of
// it after a second, and two targets ended meanwhile.
func (s *Sharer) askForEnds() {
	s.mu.Lock()
	some := slices.Collect(maps.Keys(s.peers)) // in no order
	s.mu.Unlock()
	s.sendTo(s.addressesOf(some[:min(startAsks, len(some))]), message{AsksEnds: true})
}

// farLag is by how much word of other data halls comes later than that of the
// own one: through relays there is one more step, of a publisher that has few
// subscribers.
func (s *Sharer) farLag(peers int) time.Duration {
	if throughRelays(peers+1, s.place.dataHall) {
		return leastGather
	}
	return s.far.pace.gather(peers) - s.near.pace.settle
}

// newsLag is how long it takes until most nodes know what one has begun.
func (s *Sharer) newsLag(peers int) time.Duration {
	if throughRelays(peers+1, s.place.dataHall) {
		return s.up.pace.settle + leastGather + relaySpan*perSubscriber
	}
	return s.far.pace.gather(peers)
}

// peersOf returns the peers of an audience. A peer that was not heard yet is
// held to be in another data hall.
func (s *Sharer) peersOf(a *audience, l *layout) []*net.UDPAddr {
	if a.relays {
		return s.addressesOf(without(l.relays[l.hall], l.own))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]*net.UDPAddr, 0, len(s.peers))
	for address, peer := range s.peers {
		heard := s.heard[address]
		near := heard != nil && s.place.dataHall != "" && heard.place.dataHall == s.place.dataHall
		if near == a.near {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Run sends until ctx ends, and receives until the connection is closed.
func (s *Sharer) Run(ctx context.Context) {
	go s.receive()
	if s.file != "" {
		go s.keepMemory(ctx)
	}
	defer s.conn.Close()
	var tasks sync.WaitGroup
	for _, a := range []*audience{s.near, s.far, s.up} {
		tasks.Go(func() { s.tell(ctx, a) })
	}
	for _, p := range s.relay.publishers() {
		tasks.Go(func() { s.publish(ctx, p) })
	}
	tasks.Go(func() { s.tend(ctx) })
	tasks.Wait()
}

// tell keeps an audience up to date until ctx ends. Its last word names the
// runs that this node broke off.
func (s *Sharer) tell(ctx context.Context, a *audience) {
	timer := time.NewTimer(a.pace.refresh)
	defer timer.Stop()
	for {
		select {
		case <-a.changed:
			time.Sleep(a.pace.gather(a.peers))
		case <-timer.C:
		case <-ctx.Done():
			s.send(a, true)
			return
		}
		a.drain()
		s.send(a, false)
		s.note()
		timer.Reset(a.pace.refresh)
	}
}

// send brings an audience up to date, if it is told at all on a site of this
// size.
func (s *Sharer) send(a *audience, full bool) {
	l := s.layoutNow()
	if a.relays != l.relayed {
		a.peers = 0
		return
	}
	n := news{runs: s.tracker.Runs(), ended: s.tracker.Ended(), suspects: s.tracker.Suspects(),
		silent: s.tracker.SilentTargets(), counts: s.budgets.Counts()}
	n.ends = s.newEnds(a)
	if a.relays {
		s.tellTraces(l, n.runs)
		n.runs = untraced(n.runs)
		s.passOn(l.own, n.runs, n.counts, urgent{ended: n.ended, suspects: n.suspects, silent: n.silent, ends: n.ends})
	}
	peers := s.peersOf(a, l)
	now := uptime.Now()
	full = full || a.fullDue(now, len(peers))
	if full {
		a.fullAt = now
	}
	a.peers = len(peers)
	if len(peers) == 0 {
		return
	}
	if full {
		n.ends = s.allEnds()
	}
	for _, m := range a.compose(n, full) {
		m = s.signed(m)
		m.Sequence = s.sequence.Add(1)
		s.sendTo(peers, m)
	}
}

// newEnds returns the notes of ends that an audience was not told.
func (s *Sharer) newEnds(a *audience) []endNote {
	notes, newest := s.ledger.News(a.noted)
	a.noted = newest
	return encodeEnds(notes)
}

// allEnds returns the notes of ends that a node which missed some has to be told.
func (s *Sharer) allEnds() []endNote { return encodeEnds(s.ledger.Everything()) }

// takeEnds takes another node's notes of ends, and returns those that are new.
func (s *Sharer) takeEnds(ends []endNote) []endNote {
	return encodeEnds(s.ledger.Take(decodeEnds(ends)))
}

// untraced returns the runs that hold anything, without how they are found
// again: relays do not pass that on.
func untraced(runs []balance.Shared) []balance.Shared {
	var untraced []balance.Shared
	for _, r := range runs {
		if r.Broken {
			continue
		}
		r.Trace = balance.Trace{Copy: r.Trace.Copy, CopyName: r.Trace.CopyName}
		untraced = append(untraced, r)
	}
	return untraced
}

// signed returns a message that says where this node stands.
func (s *Sharer) signed(m message) message {
	m.DataHall, m.Disk = s.place.dataHall, s.place.disk
	return m
}

// sendTo sends a message; what is lost is made good by the next full one.
func (s *Sharer) sendTo(peers []*net.UDPAddr, m message) {
	datagram, err := msgpack.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "Runs not encoded")
		return
	}
	for _, peer := range peers {
		s.conn.WriteTo(datagram, peer)
	}
	s.countRegions(peers, len(datagram))
	s.count.datagrams.Add(int64(len(peers)))
	s.count.bytes.Add(int64(len(peers) * len(datagram)))
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
			klog.V(1).InfoS("Datagram not read", "from", from, "err", err)
			continue
		}
		s.take(from.String(), m)
	}
}

// take hands on a message, if its sender is known.
func (s *Sharer) take(from string, m message) {
	heard := s.senderOf(from, &m)
	if heard == nil {
		return
	}
	if m.Asks {
		s.sendTo(s.addressesOf([]string{from}), s.signed(message{}))
	}
	if m.AsksEnds {
		s.sendTo(s.addressesOf([]string{from}), message{Ends: s.allEnds()})
	}
	if len(m.Ends) > 0 && !m.report() {
		s.takeEnds(m.Ends)
	}
	if m.report() {
		s.takeReport(from, heard, m)
	}
	if m.Feed != nil {
		s.takeFeed(from, m.Feed)
	}
	if m.Subscribe != nil {
		s.takeSubscribe(from, m.Subscribe)
	}
	if len(m.Traces) > 0 {
		s.takeTraces(m.Traces)
	}
	if m.Lookup != nil {
		s.answerLookup(from, m.Lookup)
	}
	if m.Found != nil {
		s.takeFound(m.Found)
	}
	if m.Borrow != nil {
		s.lend(from, m.Borrow)
	}
	if m.Lent != nil {
		s.takeLent(m.Lent)
	}
}

// senderOf returns what is known of a message's sender, nil for a stranger.
func (s *Sharer) senderOf(from string, m *message) *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.peers[from]
	if !known && uptime.Since(s.started) >= strangerTime {
		return nil
	}
	heard := s.heard[from]
	if heard == nil {
		heard = &sender{}
		s.heard[from] = heard
	}
	s.notePlace(heard, m)
	return heard
}

// takeReport takes what a node tells of its runs, unless something newer came
// before.
func (s *Sharer) takeReport(from string, heard *sender, m message) {
	runs, near, ok := s.apply(heard, m)
	if !ok {
		return
	}
	ends := s.takeEnds(m.Ends)
	if near && s.layoutNow().relayed {
		s.passOn(from, runs, m.Counts, urgent{ended: m.Ended, suspects: m.Suspects, silent: m.Silent, ends: ends})
	} else if len(m.Counts) > 0 {
		s.budgets.SetOther(from, m.Counts)
	}
	s.tracker.SetEnded(m.Ended)
	s.tracker.SetSuspects(m.Suspects)
	s.tracker.SetSilent(m.Silent)
	s.tracker.SetOthers(nodeName(shortname.Of(from)), runs)
	s.note()
}

// apply brings what a sender told up to date, and reports whether that is a
// node of the own data hall; false if the message counts for nothing.
func (s *Sharer) apply(heard *sender, m message) (runs []balance.Shared, near, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Sequence <= heard.sequence {
		return nil, false, false
	}
	return heard.take(m, uptime.Now()), heard.place.dataHall == s.place.dataHall, true
}
