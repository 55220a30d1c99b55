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

// datagramNet carries datagrams between the nodes of a test, in virtual time.
type datagramNet struct {
	mu    sync.Mutex
	conns map[string]*datagramConn
	drop  func(from, to string) bool
	sent  map[string]int // datagrams, by sender
	bytes map[string]int // received, by receiver
	delay func(from, to string) time.Duration

	crossed int // bytes sent over links slower than those within a region
	got     map[string]int
	out     map[string]int // bytes sent, by sender

	rate  float64            // bytes a second that a node's link passes; 0 for all
	queue float64            // bytes that may wait there
	wait  map[string]float64 // bytes that wait, by sender
	at    map[string]time.Time
}

// startCounting counts from now on.
func (n *datagramNet) startCounting() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.sent)
	clear(n.got)
	clear(n.out)
}

// limit gives each node's link a bandwidth and a queue; what is too much is
// lost.
func (n *datagramNet) limit(rate, queue float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate, n.queue = rate, queue
	n.wait, n.at = map[string]float64{}, map[string]time.Time{}
}

// full reports whether a sender's link can't take so much more.
func (n *datagramNet) full(sender string, size int) bool {
	if n.rate == 0 {
		return false
	}
	now := time.Now()
	drained := now.Sub(n.at[sender]).Seconds() * n.rate
	n.wait[sender], n.at[sender] = max(0, n.wait[sender]-drained), now
	if n.wait[sender]+float64(size) > n.queue {
		return true
	}
	n.wait[sender] += float64(size)
	return false
}

const datagramDelay = 500 * time.Microsecond // one way

func newDatagramNet() *datagramNet {
	return &datagramNet{conns: map[string]*datagramConn{}, drop: func(string, string) bool { return false },
		delay: func(string, string) time.Duration { return datagramDelay },
		sent:  map[string]int{}, bytes: map[string]int{}, got: map[string]int{}, out: map[string]int{}}
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

// freeze has the node neither send nor hear until thaw; what it was sent is
// still there then.
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
	n.out[c.address] += len(p)
	if n.delay(c.address, to.String()) > datagramDelay {
		n.crossed += len(p)
	}
	target := n.conns[to.String()]
	if target == nil || n.drop(c.address, to.String()) || n.full(c.address, len(p)) {
		return len(p), nil
	}
	n.bytes[to.String()] += len(p)
	n.got[to.String()]++
	data := slices.Clone(p)
	time.AfterFunc(n.delay(c.address, to.String()), func() {
		select {
		case target.in <- datagram{from: c.address, data: data}:
		default: // its buffer is full
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

// siteOf is a site of nodes in halls, with engines.
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

// newSite starts nodes in so many halls; every tenth keeps traces.
func newSite(t *testing.T, nodes, halls int) *siteOf {
	s := &siteOf{t: t, network: newDatagramNet()}
	for i := range nodes {
		s.nodes = append(s.nodes, s.start(i, halls))
	}
	s.setPeers()
	return s
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func (s *siteOf) start(i, halls int) *siteNode {
	n := &siteNode{conn: s.network.listen(addressOf(i)), tracker: balance.NewTracker(balance.WithSeed(uint64(i)))}
	n.tracker.Update(engines(halls))
	opts := []Option{WithDataHall(fmt.Sprint("hall-", i%halls))}
	if s.regions != nil {
		opts = append(opts, WithTopology(topology.New(fmt.Sprint("hall-", i%halls), s.regions)))
	}
	if i%10 == 0 {
		opts = append(opts, WithMemory(s.t.TempDir()+"/traces"))
	}
	n.Sharer = New(n.conn, n.tracker, balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: 10 * time.Second}), opts...)
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
		n.SetPeers(peersAt(addresses))
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

// begin begins a run at an engine.
func (n *siteNode) begin(engine string, key string) *balance.Run {
	t := n.tracker.Pick(balance.Choice{Service: "s", Work: balance.Work{Read: 8000, Hold: 8000}, Exclude: func(t *balance.Target) bool { return t.ID != engine }})
	return t.Begin(balance.Work{Read: 90000, Hold: 8000}, balance.Trace{Key: key})
}

// sees reports whether a node knows of work at an engine.
func (n *siteNode) sees(engine string) bool {
	only := balance.Choice{Service: "s", Work: balance.Work{Read: 8000, Hold: 8000}, Exclude: func(t *balance.Target) bool { return t.ID != engine }}
	t := n.tracker.Pick(only)
	idle := n.tracker.RunTime("s", 8000, 0)
	return t != nil && n.tracker.Expected(only, t) > idle+100*time.Millisecond
}

// see returns how many nodes know of work at an engine.
func (s *siteOf) see(engine string) int {
	count := 0
	for _, n := range s.nodes {
		if n.sees(engine) {
			count++
		}
	}
	return count
}

func TestRunsAreKnownEverywhereThroughRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 120, 6)
		defer s.close()
		time.Sleep(3 * time.Second)
		require.True(t, s.nodes[0].layoutNow().relayed)
		subscribers := 0
		for _, n := range s.nodes {
			st := n.Stats()
			require.Equal(t, 119, st.Nodes)
			require.True(t, st.Relayed)
			require.Positive(t, st.Datagrams)
			subscribers += st.Subscribers
		}
		require.GreaterOrEqual(t, subscribers, 120, "each node but a relay, and each relay in five other halls")
		run := s.nodes[7].begin("i-5", "")
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 120, s.see("i-5"))
		time.Sleep(4 * time.Second) // longer than word counts that is not renewed
		require.Equal(t, 120, s.see("i-5"))
		run.End(balance.RunEnd{})
		time.Sleep(150 * time.Millisecond)
		require.Zero(t, s.see("i-5"))
		run = s.nodes[8].begin("i-5", "")
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 120, s.see("i-5"))
		run.FirstEvent()
		time.Sleep(150 * time.Millisecond)
		require.Zero(t, s.see("i-5"), "the prompt is read")
	})
}

// An engine that ended is known everywhere within 100 ms.
func TestUrgentNewsIsEverywhereWithin100ms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 300, 6)
		defer s.close()
		time.Sleep(4 * time.Second)
		for i := range 10 {
			id := fmt.Sprint("i-", i)
			pick := balance.Choice{Service: "s", Exclude: func(t *balance.Target) bool { return t.ID != id }}
			s.nodes[i*29].tracker.Pick(pick).Refused()
			time.Sleep(100 * time.Millisecond)
			know := 0
			for _, n := range s.nodes {
				if n.tracker.Pick(pick) == nil {
					know++
				}
			}
			require.Equal(t, 300, know, id)
		}
	})
}

// What a node sends and hears stays about the same when the site grows.
func TestCostOfANodeIsFlatInTheirNumber(t *testing.T) {
	cost := func(nodes int) (sent, received int) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, nodes, 6)
			time.Sleep(4 * time.Second)
			s.network.startCounting()
			time.Sleep(5 * time.Second)
			s.close()
			for _, n := range s.nodes {
				sent = max(sent, s.network.sent[n.conn.address]/5)
				received = max(received, s.network.got[n.conn.address]/5)
			}
		})
		return sent, received
	}
	sent60, got60 := cost(60)
	sent300, got300 := cost(300)
	t.Logf("datagrams a second of the busiest node at rest: 60 nodes send %d and hear %d, 300 nodes %d and %d", sent60, got60, sent300, got300)
	require.Less(t, sent300, 3*sent60, "five times as many nodes")
	require.Less(t, got300, 3*got60)
}

func TestTracesAreFoundByWhoNeedsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 60, 3)
		defer s.close()
		time.Sleep(3 * time.Second)
		run := s.nodes[4].begin("i-5", "part-1")
		run.FirstEvent()
		run.SetCopy("i-6", "run-1")
		time.Sleep(50 * time.Millisecond)
		for _, i := range []int{1, 17, 59} {
			n := s.nodes[i]
			n.Find(t.Context(), "part-1")
			at, name := n.tracker.FindCopy("part-1")
			require.NotNil(t, at, i)
			require.Equal(t, "i-6", at.ID)
			require.Equal(t, "run-1", name)
		}
		began := time.Now()
		s.nodes[1].Find(t.Context(), "unheard-of")
		require.Less(t, time.Since(began), 5*time.Millisecond, "keepers say so at once")
	})
}
