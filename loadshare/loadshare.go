// Package loadshare lets entry nodes tell each other what they have under way
// at the targets, so that they do not all choose the same one from the same
// old report. Each node sends its whole table, which is short, in one
// datagram: after a change, and now and then without one. A datagram that is
// lost is made good by the next.
package loadshare

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
	"k8s.io/klog/v2"
)

// Times of sending.
const (
	// Settle is how long changes are gathered before they are sent.
	Settle = 10 * time.Millisecond
	// Refresh is the longest time between two datagrams.
	Refresh = 1 * time.Second
)

// maxDatagram bounds a datagram, in bytes; runs that do not fit are left out.
const maxDatagram = 16 << 10

// message is what a node sends: its runs, newest last.
type message struct {
	Sequence uint64 `msgpack:"q"`
	Runs     []run  `msgpack:"r"`
	// Ended are targets that the sender lately found to have ended.
	Ended []string `msgpack:"e,omitempty"`
	// Counts are the sender's requests and repeats, by service.
	Counts map[string]balance.Count `msgpack:"n,omitempty"`
	// Suspects are targets that lately broke off to the sender.
	Suspects []string `msgpack:"s,omitempty"`
}

type run struct {
	Target string `msgpack:"t"`
	Read   int    `msgpack:"p,omitempty"`
	Hold   int    `msgpack:"h"`
	AgeMS  int64  `msgpack:"a"`
	// How the run is found again after it broke off.
	Key      string `msgpack:"k,omitempty"`
	Identity string `msgpack:"i,omitempty"`
	Copy     string `msgpack:"c,omitempty"`
	Broken   bool   `msgpack:"b,omitempty"`
}

// maxRuns keeps a message within a datagram.
const (
	maxRuns  = 120
	maxEnded = 40
)

// Sharer sends and receives tables.
type Sharer struct {
	conn    net.PacketConn
	tracker *balance.Tracker
	budgets *balance.Budgets
	changed chan struct{}
	news    chan struct{} // there is something new to write down
	file    string        // of the memory; empty for none
	started time.Time

	mu    sync.Mutex
	peers map[string]*net.UDPAddr
	named map[string]time.Time // when a peer was last named
	heard map[string]uint64    // newest sequence, by sender
}

// New returns a sharer that sends and receives on conn.
func New(conn net.PacketConn, tracker *balance.Tracker, budgets *balance.Budgets, opts ...Option) *Sharer {
	s := &Sharer{
		conn: conn, tracker: tracker, budgets: budgets, changed: make(chan struct{}, 1), news: make(chan struct{}, 1), started: time.Now(),
		peers: map[string]*net.UDPAddr{}, named: map[string]time.Time{}, heard: map[string]uint64{},
	}
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
	select {
	case s.changed <- struct{}{}:
	default:
	}
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
	s.peers = peers
}

// Run sends until ctx ends, and receives until the connection is closed.
func (s *Sharer) Run(ctx context.Context) {
	go s.receive()
	if s.file != "" {
		go s.keepMemory(ctx)
	}
	defer s.conn.Close()
	timer := time.NewTimer(Refresh)
	defer timer.Stop()
	sequence := uint64(time.Now().UnixNano())
	for {
		select {
		case <-s.changed:
			time.Sleep(Settle)
		case <-timer.C:
		case <-ctx.Done():
			s.send(sequence + 1) // the last word: runs that this node broke off
			return
		}
		select {
		case <-s.changed:
		default:
		}
		sequence++
		s.send(sequence)
		s.note()
		timer.Reset(Refresh)
	}
}

func (s *Sharer) send(sequence uint64) {
	m := message{Sequence: sequence}
	for _, r := range s.tracker.Runs() {
		if len(m.Runs) < maxRuns {
			m.Runs = append(m.Runs, encodeRun(r))
		}
	}
	m.Counts = s.budgets.Counts()
	m.Ended = s.tracker.Ended()
	m.Ended = m.Ended[:min(len(m.Ended), maxEnded)]
	m.Suspects = s.tracker.Suspects()
	m.Suspects = m.Suspects[:min(len(m.Suspects), maxEnded)]
	datagram, err := msgpack.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "Runs not encoded")
		return
	}
	s.mu.Lock()
	peers := s.peers
	s.mu.Unlock()
	for _, addr := range peers {
		s.conn.WriteTo(datagram, addr) // a lost one is made good by the next
	}
}

// encodeRun leaves out how a run without a copy is found: it can't be.
func encodeRun(r balance.Shared) run {
	e := run{Target: r.Target, Read: r.Read, Hold: r.Hold, AgeMS: r.Age.Milliseconds(), Broken: r.Broken}
	if r.Trace.Copy != "" {
		e.Key, e.Identity, e.Copy = r.Trace.Key, r.Trace.Identity, r.Trace.Copy
	}
	return e
}

func (r run) shared() balance.Shared {
	return balance.Shared{
		Target: r.Target, Read: max(0, r.Read), Hold: max(0, r.Hold), Age: time.Duration(max(0, r.AgeMS)) * time.Millisecond,
		Trace: balance.Trace{Key: r.Key, Identity: r.Identity, Copy: r.Copy}, Broken: r.Broken,
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

// take hands on a message, unless a newer one of its sender came before. A
// sender that restarts begins at a later time, and so higher.
func (s *Sharer) take(from string, m message) {
	s.mu.Lock()
	_, known := s.peers[from]
	known = known || time.Since(s.started) < strangerTime
	stale := m.Sequence <= s.heard[from]
	if known && !stale {
		s.heard[from] = m.Sequence
	}
	s.mu.Unlock()
	if !known || stale {
		return
	}
	runs := make([]balance.Shared, 0, len(m.Runs))
	for _, r := range m.Runs {
		runs = append(runs, r.shared())
	}
	s.budgets.SetOther(from, m.Counts)
	s.tracker.SetEnded(m.Ended)
	s.tracker.SetSuspects(m.Suspects)
	s.tracker.SetOthers(from, runs)
	s.note()
}
