// Package memnet is an in-memory network for tests: listeners by address,
// connections over net.Pipe, and cuts between named hosts.
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

// Network joins hosts by address.
type Network struct {
	// Delay is how long each way takes between two hosts; nil means no time.
	// It is set before the first connection, and needed where Rate is set.
	Delay func(a, b string) time.Duration
	// Rate is how many bytes a second a host's link carries, each way; nil means
	// any number. It is set before the first connection.
	Rate func(host string) float64

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[[2]string]bool
	links     map[string]*hostLinks
}

// hostLinks are a host's links into the network and out of it.
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

// Listen opens address on the named host.
func (n *Network) Listen(host, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is taken", address)
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
		there, back := n.ways(host, l.host)
		a = slownet.New(a, n.Delay(host, l.host), there, back)
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
		return nil, errors.Newf("dial %s: refused, too many wait", address)
	}
}

// ways returns the links between two hosts, each way. The caller holds the
// mutex.
func (n *Network) ways(a, b string) (there, back slownet.Links) {
	if n.Rate == nil || a == b {
		return nil, nil
	}
	from, to := n.linksOf(a), n.linksOf(b)
	return slownet.Links{from.out, to.in}, slownet.Links{to.out, from.in}
}

// linksOf returns a host's links. The caller holds the mutex.
func (n *Network) linksOf(host string) *hostLinks {
	l := n.links[host]
	if l == nil {
		l = &hostLinks{out: slownet.NewLink(n.Rate(host)), in: slownet.NewLink(n.Rate(host))}
		n.links[host] = l
	}
	return l
}

// Cut breaks every connection between two hosts and refuses new ones.
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

// Reset breaks every connection of a host once.
func (n *Network) Reset(host string) {
	n.drop(func(c *conn) bool { return c.hosts[0] == host || c.hosts[1] == host })
}

func (n *Network) drop(match func(*conn) bool) {
	n.mu.Lock()
	var hit []*conn
	for c := range n.conns {
		if match(c) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.Close()
	}
}

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
		// Once the address is gone nobody dials into the queue below.
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
