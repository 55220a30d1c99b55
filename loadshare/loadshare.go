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
	"k8s.io/klog/v2"
)

// Sharer tells peers of this node's runs, and learns theirs.
type Sharer struct {
	conn     net.PacketConn
	tracker  *balance.Tracker
	budgets  *balance.Budgets
	dataHall string
	near     *audience
	far      *audience
	news     chan struct{} // there is something new to write down
	file     string        // of the memory; empty for none
	started  time.Time
	sequence atomic.Uint64

	mu    sync.Mutex
	peers map[string]*net.UDPAddr
	named map[string]time.Time // when a peer was last named
	heard map[string]*sender   // by address
}

// WithDataHall names the data hall of this node.
func WithDataHall(hall string) Option { return func(s *Sharer) { s.dataHall = hall } }

// New returns a sharer that sends and receives on conn.
func New(conn net.PacketConn, tracker *balance.Tracker, budgets *balance.Budgets, opts ...Option) *Sharer {
	s := &Sharer{
		conn: conn, tracker: tracker, budgets: budgets, near: newAudience(true, nearPace), far: newAudience(false, farPace),
		news: make(chan struct{}, 1), started: time.Now(),
		peers: map[string]*net.UDPAddr{}, named: map[string]time.Time{}, heard: map[string]*sender{},
	}
	// A sender that restarts begins at a later time, and so higher.
	s.sequence.Store(uint64(time.Now().UnixNano()))
	for _, opt := range opts {
		opt(s)
	}
	tracker.OnChange(s.Changed)
	if s.file != "" {
		s.recall()
	}
	return s
}

// Changed says that the tracker's runs changed.
func (s *Sharer) Changed() {
	s.near.wake()
	s.far.wake()
}

// peerLife is how long a node is told after it was last named: a new leader
// of the control group knows the entries only once they have asked it.
const peerLife = 6 * time.Second

// strangerTime is how long after its start a node hears nodes that it was not
// told of: those that kept their peers over a restart speak before anybody
// else can name them.
const strangerTime = 2 * time.Second

// SetPeers names the nodes that are there, by numeric host:port.
func (s *Sharer) SetPeers(addresses []string) {
	own := s.conn.LocalAddr().String()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make(map[string]*net.UDPAddr, len(addresses))
	for _, a := range addresses {
		addr, err := net.ResolveUDPAddr("udp", a)
		if err == nil && a != own {
			peers[a] = addr
			s.named[a] = now
		}
	}
	for a, addr := range s.peers {
		if now.Sub(s.named[a]) < peerLife {
			peers[a] = addr
		} else if peers[a] == nil {
			delete(s.named, a)
			delete(s.heard, a)
		}
	}
	if len(peers) > len(s.peers) {
		s.Changed()
	}
	s.peers = peers
	s.budgets.SetNodes(len(peers) + 1)
	s.tracker.SetNodes(own, slices.Collect(maps.Keys(peers)))
	s.tracker.SetFarLag(s.far.pace.gather(len(peers)) - s.near.pace.settle)
}

// peersOf returns the peers of an audience. A peer that was not heard yet is
// held to be in another data hall.
func (s *Sharer) peersOf(a *audience) []*net.UDPAddr {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]*net.UDPAddr, 0, len(s.peers))
	for address, peer := range s.peers {
		heard := s.heard[address]
		near := heard != nil && s.dataHall != "" && heard.dataHall == s.dataHall
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
	for _, a := range []*audience{s.near, s.far} {
		tasks.Go(func() { s.tell(ctx, a) })
	}
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

// send brings an audience up to date.
func (s *Sharer) send(a *audience, full bool) {
	peers := s.peersOf(a)
	now := time.Now()
	full = full || a.fullDue(now, len(peers))
	if full {
		a.fullAt = now
	}
	a.peers = len(peers)
	if len(peers) == 0 {
		return
	}
	n := news{runs: s.tracker.Runs(), ended: s.tracker.Ended(), suspects: s.tracker.Suspects(),
		silent: s.tracker.SilentTargets(), counts: s.budgets.Counts()}
	for _, m := range a.compose(n, full) {
		m.DataHall = s.dataHall
		m.Sequence = s.sequence.Add(1)
		s.sendTo(peers, m)
	}
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
}

func (s *Sharer) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var m message
		if err := msgpack.Unmarshal(buffer[:n], &m); err != nil {
			klog.V(1).InfoS("Datagram not read", "from", from, "err", err)
			continue
		}
		s.take(from.String(), m)
	}
}

// take hands on a message, unless a newer one of its sender came before.
func (s *Sharer) take(from string, m message) {
	runs, ok := s.apply(from, m)
	if !ok {
		return
	}
	if len(m.Counts) > 0 {
		s.budgets.SetOther(from, m.Counts)
	}
	s.tracker.SetEnded(m.Ended)
	s.tracker.SetSuspects(m.Suspects)
	s.tracker.SetSilent(m.Silent)
	s.tracker.SetOthers(from, runs)
	s.note()
}

// apply brings what a sender told up to date; false if the message counts for
// nothing.
func (s *Sharer) apply(from string, m message) ([]balance.Shared, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.peers[from]
	if !known && time.Since(s.started) >= strangerTime {
		return nil, false
	}
	heard := s.heard[from]
	if heard == nil {
		heard = &sender{}
		s.heard[from] = heard
	}
	if m.Sequence <= heard.sequence {
		return nil, false
	}
	return heard.take(m, time.Now()), true
}
