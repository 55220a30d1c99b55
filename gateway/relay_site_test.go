package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/targetconn"
)

// cuttableNode is a gateway whose new connections to targets can be made to fail.
type cuttableNode struct {
	*testSite
	address string // for requests of other nodes
	server  *egress.Server
	failure atomic.Pointer[error] // of dials; errSilent does not answer
	dialed  atomic.Int64

	mu    sync.Mutex
	conns []net.Conn // to targets
}

// errSilent stands for a dial that is not answered.
var errSilent = os.ErrDeadlineExceeded

func (n *cuttableNode) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.dialed.Add(1)
	if failure := n.failure.Load(); failure != nil {
		if *failure == errSilent {
			<-ctx.Done()
		}
		return nil, &net.OpError{Op: "dial", Net: network, Err: *failure}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err == nil {
		n.mu.Lock()
		n.conns = append(n.conns, c)
		n.mu.Unlock()
	}
	return c, err
}

// cut makes dials fail and closes all connections to targets.
func (n *cuttableNode) cut(failure error) {
	n.failure.Store(&failure)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
	n.conns = nil
}

func (n *cuttableNode) heal() { n.failure.Store(nil) }

// lostPath waits until the node has noticed that it has no path to a service's targets.
func (n *cuttableNode) lostPath(t *testing.T, service string) {
	t.Helper()
	require.False(t, n.gateway.paths.Verify(t.Context(), service))
}

// relaySite is a node that may lose its path, and others that it may send through.
type relaySite struct {
	ingress *cuttableNode
	others  []*cuttableNode

	mu     sync.Mutex
	offers []string // nodes that offer to send; those of others unless set
	asked  int

	ignoresVersions bool // as nodes of an older build do
}

// FindEgress implements egress.Finder.
func (s *relaySite) FindEgress(_ context.Context, service string) (offers []egress.Offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.offers != nil {
		for _, node := range s.offers {
			offers = append(offers, egress.Offer{Node: node, Near: true, KeepsVersions: !s.ignoresVersions})
		}
		return offers
	}
	for _, n := range s.others {
		if ok, load := n.gateway.Reaches(service); ok {
			offers = append(offers, egress.Offer{Node: n.address, Near: true, Load: load, KeepsVersions: !s.ignoresVersions})
		}
	}
	return offers
}

func newCuttableNode(t *testing.T, targets []*fakeTarget, opts ...Option) *cuttableNode {
	n := &cuttableNode{}
	tracker := balance.NewTracker(balance.WithSeed(1), balance.WithDataHall("north"))
	pool := targetconn.NewPool(targetconn.WithIdentityHeader("X-Id"), targetconn.WithDial(n.dial),
		targetconn.WithOnKept(func(e targetconn.Endpoint, until time.Time) { tracker.SetConnectedUntil(e.ID, until) }))
	t.Cleanup(pool.Close)
	budgets := balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 200, Window: 10 * time.Second})
	g := New(tracker, pool, budgets, func() {}, append([]Option{WithNames(testNames), WithStall(300 * time.Millisecond)}, opts...)...)
	t.Cleanup(g.Close)
	g.cfg.Origins.NothingBefore()
	tracker.Update(listed(targets))
	g.SetTable(testTable())
	n.testSite = &testSite{gateway: g, tracker: tracker, server: httptest.NewServer(g)}
	t.Cleanup(n.testSite.server.Close)
	return n
}

// newRelaySite returns a site with the given number of other nodes.
func newRelaySite(t *testing.T, others int, targets []*fakeTarget, opts ...Option) *relaySite {
	s := &relaySite{}
	for range others {
		n := newCuttableNode(t, targets)
		l := newLocalListener(t)
		n.address = l.Addr().String()
		n.server = egress.NewServer(n.gateway, 8<<20)
		go n.server.Serve(l, peer.Identity{Site: "s", Node: walnutramp.NodeName(n.address)}, &peer.Traffic{})
		t.Cleanup(func() { n.server.Close() })
		s.others = append(s.others, n)
	}
	var d net.Dialer
	client := egress.NewClient(peer.Identity{Site: "s", Node: "ingress"}, d.DialContext, &peer.Traffic{})
	s.ingress = newCuttableNode(t, targets, append(opts, WithEgress(egress.NewSender(client, s)))...)
	return s
}

// sending returns the nodes that send requests of others now. A test that ends one of them
// must not ask again meanwhile, as the next one may send already.
func (s *relaySite) sending() (nodes []*cuttableNode) {
	for _, n := range s.others {
		if n.gateway.relayed.count() > 0 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// relayed returns how many requests of other nodes a node has been sent.
func (n *cuttableNode) relayed() int {
	count := 0
	for line := range strings.Lines(n.metrics()) {
		var value int
		if strings.HasPrefix(line, `walnutramp_gateway_relayed_total{role="egress"`) {
			fmt.Sscanf(line[strings.LastIndex(line, " ")+1:], "%d", &value)
		}
		count += value
	}
	return count
}

// awaitRelayed waits until a node serves no requests of other nodes. It counts a request at its
// end, and a client may have all of an answer with a length before that.
func (n *cuttableNode) awaitRelayed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return n.gateway.relayed.count() == 0 }, time.Second, time.Millisecond)
}

// seenBy returns all requests that reached targets.
func seenBy(targets []*fakeTarget) (all []*http.Request) {
	for _, f := range targets {
		all = append(all, f.seen()...)
	}
	return all
}
