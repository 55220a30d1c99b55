package loadshare

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/topology"
)

// datagramNet simulates a datagram network in virtual time.
type datagramNet struct {
	mu            sync.Mutex
	conns         map[string]*datagramConn
	drop          func(from, to string) bool
	sent          map[string]int // datagrams sent, by sender
	receivedBytes map[string]int // bytes received, by receiver
	delay         func(from, to string) time.Duration

	crossRegionBytes int // bytes sent between regions
	received         map[string]int
	sentBytes        map[string]int // bytes sent, by sender

	bandwidth  float64            // of a node's link in bytes per second; 0 for unlimited
	queueLimit float64            // size of the link's queue in bytes
	queued     map[string]float64 // bytes in the queue, by sender
	queuedAt   map[string]time.Time
}

// startCounting resets the counters.
func (n *datagramNet) startCounting() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.sent)
	clear(n.received)
	clear(n.sentBytes)
}

// limit sets the bandwidth and queue size of each node's link; datagrams that exceed
// the queue are dropped.
func (n *datagramNet) limit(rate, queue float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidth, n.queueLimit = rate, queue
	n.queued, n.queuedAt = map[string]float64{}, map[string]time.Time{}
}

// full reports whether a datagram of this size exceeds the sender's queue.
func (n *datagramNet) full(sender string, size int) bool {
	if n.bandwidth == 0 {
		return false
	}
	now := time.Now()
	drained := now.Sub(n.queuedAt[sender]).Seconds() * n.bandwidth
	n.queued[sender], n.queuedAt[sender] = max(0, n.queued[sender]-drained), now
	if n.queued[sender]+float64(size) > n.queueLimit {
		return true
	}
	n.queued[sender] += float64(size)
	return false
}

const datagramDelay = 500 * time.Microsecond // one way

func newDatagramNet() *datagramNet {
	return &datagramNet{conns: map[string]*datagramConn{}, drop: func(string, string) bool { return false },
		delay: func(string, string) time.Duration { return datagramDelay },
		sent:  map[string]int{}, receivedBytes: map[string]int{}, received: map[string]int{}, sentBytes: map[string]int{}}
}

type datagram struct {
	from string
	data []byte
}

type datagramConn struct {
	net.PacketConn
	network *datagramNet
	address string
	in      chan datagram
	done    chan struct{}
	once    sync.Once

	mu     sync.Mutex
	thawed chan struct{} // nil unless the node is frozen
}

func (n *datagramNet) listen(address string) *datagramConn {
	c := &datagramConn{network: n, address: address, in: make(chan datagram, 4096), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

func (c *datagramConn) LocalAddr() net.Addr {
	addr, _ := net.ResolveUDPAddr("udp", c.address)
	return addr
}

func (c *datagramConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// freeze blocks sending and receiving until thaw. Incoming datagrams stay queued.
func (c *datagramConn) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.thawed = make(chan struct{})
}

func (c *datagramConn) thaw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.thawed)
	c.thawed = nil
}

func (c *datagramConn) awaitThaw() {
	c.mu.Lock()
	thawed := c.thawed
	c.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (c *datagramConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.awaitThaw()
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[c.address]++
	n.sentBytes[c.address] += len(p)
	if n.delay(c.address, to.String()) > datagramDelay {
		n.crossRegionBytes += len(p)
	}
	target := n.conns[to.String()]
	if target == nil || n.drop(c.address, to.String()) || n.full(c.address, len(p)) {
		return len(p), nil
	}
	n.receivedBytes[to.String()] += len(p)
	n.received[to.String()]++
	data := slices.Clone(p)
	time.AfterFunc(n.delay(c.address, to.String()), func() {
		select {
		case target.in <- datagram{from: c.address, data: data}:
		default: // receive buffer full
		}
	})
	return len(p), nil
}

func (c *datagramConn) ReadFrom(p []byte) (int, net.Addr, error) {
	c.awaitThaw()
	select {
	case d := <-c.in:
		addr, err := net.ResolveUDPAddr("udp", d.from)
		return copy(p, d.data), addr, err
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// siteOf is a simulated site of nodes and engines in data halls.
type siteOf struct {
	t       *testing.T
	network *datagramNet
	nodes   []*siteNode
	regions map[string]string // by data hall; nil on a site of one
}

type siteNode struct {
	*Sharer
	tracker *balance.Tracker
	conn    *datagramConn
	kill    context.CancelFunc
}

const siteEngines = 60

// newSite starts nodes in this many halls; every tenth has a state file.
func newSite(t *testing.T, nodes, halls int) *siteOf {
	s := &siteOf{t: t, network: newDatagramNet()}
	for i := range nodes {
		s.nodes = append(s.nodes, s.start(i, halls))
	}
	s.setPeers()
	return s
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (s *siteOf) start(i, halls int, extra ...Option) *siteNode {
	n := &siteNode{conn: s.network.listen(addressOf(i)), tracker: balance.NewTracker(balance.WithSeed(uint64(i)))}
	n.tracker.Update(engines(halls))
	opts := []Option{WithDataHall(fmt.Sprint("hall-", i%halls))}
	if s.regions != nil {
		opts = append(opts, WithTopology(topology.New(fmt.Sprint("hall-", i%halls), s.regions)))
	}
	if i%10 == 0 {
		opts = append(opts, WithStateFile(s.t.TempDir()+"/traces"))
	}
	n.Sharer = New(n.conn, n.tracker, balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: 10 * time.Second}), append(opts, extra...)...)
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	n.kill = func() { cancel(); <-done }
	return n
}

func (s *siteOf) setPeers() {
	var addresses []string
	for _, n := range s.nodes {
		addresses = append(addresses, n.conn.address)
	}
	for _, n := range s.nodes {
		n.SetPeers(peersFromAddresses(addresses))
	}
}

func (s *siteOf) close() {
	for _, n := range s.nodes {
		n.kill()
	}
}

func engines(halls int) []discovery.Target {
	var list []discovery.Target
	for i := range siteEngines {
		list = append(list, discovery.Target{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.1.0.%d:80", i), DataHall: fmt.Sprint("hall-", i%halls), Slots: 8})
	}
	return list
}

// begin starts a run at an engine.
func (n *siteNode) begin(engine string, key string) *balance.Run {
	return n.beginStream(engine, key, balance.StreamID{})
}

// beginStream starts a run of a stream at an engine.
func (n *siteNode) beginStream(engine, key string, stream balance.StreamID) *balance.Run {
	t := n.tracker.Pick(balance.Choice{Service: "s", Work: balance.Work{PrefillTokens: 8000, MemoryTokens: 8000}, Exclude: func(t *balance.Target) bool { return t.ID != engine }})
	return t.Begin(balance.Work{PrefillTokens: 90000, MemoryTokens: 8000}, balance.Trace{Key: key, Stream: stream})
}

// sees reports whether a node knows of a run at an engine.
func (n *siteNode) sees(engine string) bool {
	only := balance.Choice{Service: "s", Work: balance.Work{PrefillTokens: 8000, MemoryTokens: 8000}, Exclude: func(t *balance.Target) bool { return t.ID != engine }}
	t := n.tracker.Pick(only)
	idle := n.tracker.PredictDuration("s", 8000, 0)
	return t != nil && n.tracker.Expected(only, t) > idle+100*time.Millisecond
}

// nodesThatSee returns how many nodes know of a run at an engine.
func (s *siteOf) nodesThatSee(engine string) int {
	count := 0
	for _, n := range s.nodes {
		if n.sees(engine) {
			count++
		}
	}
	return count
}

func TestRunsReachAllNodesThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 120, 6)
		defer s.close()
		time.Sleep(3 * time.Second)
		require.True(t, s.nodes[0].currentLayout().relayed)
		subscribers := 0
		for _, n := range s.nodes {
			st := n.Stats()
			require.Equal(t, 119, st.Nodes)
			require.True(t, st.Relayed)
			require.Positive(t, st.Datagrams)
			subscribers += st.Subscribers
		}
		require.GreaterOrEqual(t, subscribers, 120, "one per non-relay node, and five per relay")
		run := s.nodes[7].begin("i-5", "")
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 120, s.nodesThatSee("i-5"))
		time.Sleep(4 * time.Second) // longer than unrenewed state stays valid
		require.Equal(t, 120, s.nodesThatSee("i-5"))
		run.End(balance.RunEnd{})
		time.Sleep(150 * time.Millisecond)
		require.Zero(t, s.nodesThatSee("i-5"))
		run = s.nodes[8].begin("i-5", "")
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 120, s.nodesThatSee("i-5"))
		run.FirstEvent()
		time.Sleep(150 * time.Millisecond)
		require.Zero(t, s.nodesThatSee("i-5"), "the prompt has been prefilled")
	})
}

// All nodes must learn of a terminated engine within 100 ms.
func TestTargetEventsReachAllNodesWithin100ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 300, 6)
		defer s.close()
		time.Sleep(4 * time.Second)
		for i := range 10 {
			id := fmt.Sprint("i-", i)
			pick := balance.Choice{Service: "s", Exclude: func(t *balance.Target) bool { return t.ID != id }}
			s.nodes[i*29].tracker.Pick(pick).RecordRefused()
			s.nodes[i*29].tracker.RecordRoundTrip(fmt.Sprint("i-", siteEngines-1), time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			aware := 0
			for _, n := range s.nodes {
				if target := n.tracker.Pick(pick); target == nil || !target.Usable() {
					aware++
				}
			}
			require.Equal(t, 300, aware, id)
		}
	})
}

// The traffic of a node must stay about the same when the site grows.
func TestTrafficPerNodeIsIndependentOfSiteSize(t *testing.T) {
	cost := func(nodes int) (sent, received int) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, nodes, 6)
			time.Sleep(4 * time.Second)
			s.network.startCounting()
			time.Sleep(5 * time.Second)
			s.close()
			for _, n := range s.nodes {
				sent = max(sent, s.network.sent[n.conn.address]/5)
				received = max(received, s.network.received[n.conn.address]/5)
			}
		})
		return sent, received
	}
	sent60, got60 := cost(60)
	sent300, got300 := cost(300)
	t.Logf("datagrams per second of the busiest idle node: 60 nodes send %d and receive %d, 300 nodes %d and %d", sent60, got60, sent300, got300)
	require.Less(t, sent300, 3*sent60, "five times as many nodes")
	require.Less(t, got300, 3*got60)
}

func TestFindFetchesTraceFromStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		time.Sleep(3 * time.Second)
		stream := balance.StreamID{Content: 1, Attempt: 1}
		run := s.nodes[4].beginStream("i-5", "part-1", stream)
		run.FirstEvent()
		run.SetCopy("i-6", "run-1")
		time.Sleep(50 * time.Millisecond)
		for _, i := range []int{1, 17, 59} {
			n := s.nodes[i]
			n.Find(t.Context(), "part-1", stream)
			at, trace := n.tracker.FindCopy(stream)
			require.NotNil(t, at, i)
			require.Equal(t, "i-6", at.ID)
			require.Equal(t, "run-1", trace.CopyName)
		}
		began := time.Now()
		s.nodes[1].Find(t.Context(), "unheard-of", balance.StreamID{Content: 2, Attempt: 2})
		require.Less(t, time.Since(began), 5*time.Millisecond, "trace stores reply that it is unknown")
	})
}

// Streams of one session share their prompt's key, and so their trace stores.
func TestFindFetchesTraceOfTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		time.Sleep(3 * time.Second)
		streams := []balance.StreamID{{Content: 1, Attempt: 1}, {Content: 1, Attempt: 2}, {Content: 2, Attempt: 3}}
		for i, stream := range streams {
			run := s.nodes[4+i].beginStream("i-5", "part-1", stream)
			run.FirstEvent()
			run.SetCopy("i-6", fmt.Sprint("run-", i))
		}
		time.Sleep(50 * time.Millisecond)
		for i, stream := range streams {
			n := s.nodes[17+i]
			n.Find(t.Context(), "part-1", stream)
			_, trace := n.tracker.FindCopy(stream)
			require.Equal(t, fmt.Sprint("run-", i), trace.CopyName)
		}
		n := s.nodes[40]
		n.Find(t.Context(), "part-1", balance.StreamID{Content: 1})
		at, _ := n.tracker.FindCopy(balance.StreamID{Content: 1})
		require.Nil(t, at, "it may be of either stream")
	})
}
