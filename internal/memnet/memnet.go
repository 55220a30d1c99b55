// Package memnet is an in-memory network for tests. Connections use net.Pipe, and
// named hosts can be partitioned from each other.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/slownet"
)

// Network connects named hosts.
type Network struct {
	// Delay returns the one-way latency between two hosts; nil means zero. It must
	// be set before the first connection. Without it, Rate has no effect.
	Delay func(a, b string) time.Duration
	// Rate returns the bandwidth of a host's link in each direction, in bytes per
	// second; nil means unlimited. It must be set before the first connection.
	Rate func(host string) float64

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[[2]string]bool
	links     map[string]*hostLinks
}

// hostLinks is the two directions of a host's network link.
type hostLinks struct {
	out, in *slownet.Link
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		cut:       map[[2]string]bool{},
		links:     map[string]*hostLinks{},
	}
}

// Listen listens on address as the named host. It fails if the address is in use.
func (n *Network) Listen(host, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is already in use", address)
	}
	l := &listener{net: n, host: host, address: address, conns: make(chan net.Conn, 128), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for the named host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) {
		return n.dial(host, address)
	}
}

func (n *Network) dial(host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil {
		n.mu.Unlock()
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "dial %s", address)
	}
	if n.cut[pair(host, l.host)] {
		n.mu.Unlock()
		return nil, errors.Wrapf(syscall.EHOSTUNREACH, "dial %s", address)
	}
	a, b := net.Pipe()
	if n.Delay != nil {
		outbound, inbound := n.paths(host, l.host)
		a = slownet.New(a, n.Delay(host, l.host), outbound, inbound)
	}
	client := &conn{Conn: a, net: n, hosts: pair(host, l.host)}
	server := &conn{Conn: b, net: n, hosts: client.hosts}
	defer n.mu.Unlock()
	select {
	case l.conns <- server:
		n.conns[client] = struct{}{}
		n.conns[server] = struct{}{}
		return client, nil
	default:
		a.Close()
		b.Close()
		return nil, errors.Newf("dial %s: connection refused: accept queue is full", address)
	}
}

// paths returns the links from a to b and from b to a. The caller must hold n.mu.
func (n *Network) paths(a, b string) (forward, reverse slownet.Links) {
	if n.Rate == nil || a == b {
		return nil, nil
	}
	from, to := n.linksOf(a), n.linksOf(b)
	return slownet.Links{from.out, to.in}, slownet.Links{to.out, from.in}
}

// linksOf returns the links of a host. The caller must hold n.mu.
func (n *Network) linksOf(host string) *hostLinks {
	l := n.links[host]
	if l == nil {
		l = &hostLinks{out: slownet.NewLink(n.Rate(host)), in: slownet.NewLink(n.Rate(host))}
		n.links[host] = l
	}
	return l
}

// Cut partitions two hosts: it closes their connections and rejects new ones.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cut[pair(a, b)] = true
	n.mu.Unlock()
	n.drop(func(c *conn) bool { return c.hosts == pair(a, b) })
}

// Heal undoes Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair(a, b))
}

// Reset closes all current connections of a host.
func (n *Network) Reset(host string) {
	n.drop(func(c *conn) bool { return c.hosts[0] == host || c.hosts[1] == host })
}

// drop closes the connections that match.
func (n *Network) drop(match func(*conn) bool) {
	n.mu.Lock()
	var matched []*conn
	for c := range n.conns {
		if match(c) {
			matched = append(matched, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matched {
		c.Close()
	}
}

// pair returns two hosts in sorted order.
func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

type conn struct {
	net.Conn
	net   *Network
	hosts [2]string
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

type listener struct {
	net     *Network
	host    string
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		// Unregister first, so that no connection is added to the queue drained below.
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
		close(l.done)
		for {
			select {
			case c := <-l.conns:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }
