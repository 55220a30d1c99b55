// Package site runs a whole site in one process: entry nodes, engines and
// services, over loopback or an in-memory network. The demo, the load tool
// and tests use it.
package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/memnet"
)

// Network joins the site's processes.
type Network interface {
	// Reserve returns a free address for a host in a data hall.
	Reserve(host, hall string) (string, error)
	// Listen opens a reserved address, again after its listener closed.
	Listen(host, address string) (net.Listener, error)
	// Dialer returns how a host connects to others.
	Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// Memory is the in-memory network of tests.
type Memory struct {
	*memnet.Network

	mu   sync.Mutex
	next int
}

// NewMemory returns an empty in-memory network.
func NewMemory() *Memory { return &Memory{Network: memnet.New()} }

// Reserve implements Network.
func (m *Memory) Reserve(string, string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	return fmt.Sprintf("10.0.%d.%d:80", m.next/250, m.next%250+1), nil
}

// Loopback joins processes over 127.0.0.1, with a delay between data halls.
type Loopback struct {
	Between time.Duration // one way, between hosts of different halls
	Client  time.Duration // one way, between callers and the site

	mu   sync.Mutex
	hall map[string]string // by host, and by address
}

// ClientHost is the host name that callers dial from.
const ClientHost = "caller"

// Reserve implements Network.
func (l *Loopback) Reserve(host, hall string) (string, error) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := probe.Addr().String()
	probe.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hall == nil {
		l.hall = map[string]string{}
	}
	l.hall[host] = hall
	l.hall[address] = hall
	return address, nil
}

// Listen implements Network.
func (l *Loopback) Listen(_, address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dialer implements Network.
func (l *Loopback) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if delay := l.delay(host, address); delay > 0 {
			return newDelayed(c, delay), nil
		}
		return c, nil
	}
}

func (l *Loopback) delay(host, address string) time.Duration {
	if host == ClientHost {
		return l.Client
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hall[host] == l.hall[address] {
		return 0
	}
	return l.Between
}

// delayed is a connection on which each direction takes a fixed time.
type delayed struct {
	net.Conn
	out  *line
	in   *line
	rest []byte // read and not yet handed on
}

// parcel is bytes on their way.
type parcel struct {
	due  time.Time
	data []byte
	err  error
}

// line carries parcels in order.
type line struct {
	parcels chan parcel
	done    chan struct{}
	once    sync.Once
}

const (
	lineDepth  = 1024 // parcels on their way
	readBuffer = 64 << 10
)

func newLine() *line { return &line{parcels: make(chan parcel, lineDepth), done: make(chan struct{})} }

func (l *line) close() { l.once.Do(func() { close(l.done) }) }

func (l *line) put(p parcel) bool {
	select {
	case l.parcels <- p:
		return true
	case <-l.done:
		return false
	}
}

// take returns the next parcel when it is due.
func (l *line) take() (parcel, bool) {
	select {
	case p := <-l.parcels:
		time.Sleep(time.Until(p.due))
		return p, true
	case <-l.done:
		return parcel{}, false
	}
}

func newDelayed(c net.Conn, delay time.Duration) net.Conn {
	d := &delayed{Conn: c, out: newLine(), in: newLine()}
	go d.send()
	go d.receive(delay)
	return &delayedConn{delayed: d, delay: delay}
}

func (d *delayed) send() {
	for {
		p, ok := d.out.take()
		if !ok {
			return
		}
		if _, err := d.Conn.Write(p.data); err != nil {
			d.close()
			return
		}
	}
}

func (d *delayed) receive(delay time.Duration) {
	for {
		buf := make([]byte, readBuffer)
		n, err := d.Conn.Read(buf)
		if !d.in.put(parcel{due: time.Now().Add(delay), data: buf[:n], err: err}) || err != nil {
			return
		}
	}
}

func (d *delayed) close() error {
	d.out.close()
	d.in.close()
	return d.Conn.Close()
}

type delayedConn struct {
	*delayed
	delay time.Duration
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	if !c.out.put(parcel{due: time.Now().Add(c.delay), data: append([]byte(nil), p...)}) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		next, ok := c.in.take()
		if !ok {
			return 0, net.ErrClosed
		}
		if len(next.data) == 0 && next.err != nil {
			return 0, next.err
		}
		c.rest = next.data
		if next.err != nil {
			c.in.put(parcel{err: next.err})
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error { return c.close() }

// SetReadDeadline implements net.Conn; a delayed line has none.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; a delayed line has none.
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn; a delayed line has none.
func (c *delayedConn) SetDeadline(time.Time) error { return nil }
