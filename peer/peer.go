// Package peer carries calls between the system's own nodes: net/rpc over one
// TCP connection to each node that is called, opened on demand. Both sides
// say who they are before the first call.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// Timing of connections.
const (
	helloTimeout = 2 * time.Second
	dialTimeout  = 1 * time.Second
	redialPause  = 50 * time.Millisecond
	stuckAfter   = 1 * time.Second  // silence after which a connection is given up
	idleLimit    = 20 * time.Second // after which an unused connection is closed
	writeTimeout = 2 * time.Second  // of one write to a peer that does not read
	maxHello     = 1024             // bytes
)

// hello is the line each side sends first.
type hello struct {
	Protocol    string                 `json:"protocol"`
	Site        string                 `json:"site"`
	Node        walnutramp.NodeName    `json:"node"`
	Incarnation walnutramp.Incarnation `json:"incarnation"`
}

const protocol = "walnutramp-peer/1"

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Identity is who a node says it is. With TLS set, both ends prove it by
// certificates of the site's authority.
type Identity struct {
	Site        string
	Node        walnutramp.NodeName
	Incarnation walnutramp.Incarnation
	TLS         *tls.Config
}

func (id Identity) hello() hello {
	return hello{Protocol: protocol, Site: id.Site, Node: id.Node, Incarnation: id.Incarnation}
}

// Traffic counts bytes to and from peers.
type Traffic struct {
	Sent      atomic.Int64
	Received  atomic.Int64
	Strangers atomic.Int64 // connections refused
}

// Server answers peers' calls.
type Server struct {
	self    Identity
	rpc     *rpc.Server
	traffic *Traffic

	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	listeners []net.Listener
	closed    bool
	tasks     sync.WaitGroup
}

// NewServer returns a server that answers for no service yet.
func NewServer(self Identity, traffic *Traffic) *Server {
	return &Server{self: self, rpc: rpc.NewServer(), traffic: traffic, conns: map[net.Conn]struct{}{}}
}

// Register serves the methods of a service under a name.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Serve accepts connections on l until Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if !s.track(c) {
			c.Close()
			return net.ErrClosed
		}
		go s.serveConn(c)
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.tasks.Add(1)
	return true
}

func (s *Server) serveConn(c net.Conn) {
	defer s.tasks.Done()
	defer s.forget(c)
	counted := &countingConn{Conn: c, traffic: s.traffic}
	secured, proven, err := s.self.accept(counted)
	var conn io.ReadWriteCloser
	if err == nil {
		conn, err = exchangeHello(context.Background(), secured, s.self, proven)
	}
	if err != nil {
		s.traffic.Strangers.Add(1)
		klog.V(1).InfoS("Peer refused", "remote", c.RemoteAddr(), "err", err)
		return
	}
	s.rpc.ServeConn(conn)
}

func (s *Server) forget(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close breaks every connection and waits for the calls under way.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// accept takes the server's end of a secured connection and returns the node
// that the far end's certificate names; without TLS that is empty.
func (id Identity) accept(c net.Conn) (net.Conn, walnutramp.NodeName, error) {
	if id.TLS == nil {
		return c, "", nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	secured := tls.Server(c, id.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, "", err
	}
	names := secured.ConnectionState().PeerCertificates
	return secured, walnutramp.NodeName(names[0].Subject.CommonName), nil
}

// connect takes the client's end of a secured connection to a node.
func (id Identity) connect(ctx context.Context, c net.Conn, node walnutramp.NodeName) (net.Conn, error) {
	if id.TLS == nil {
		return c, nil
	}
	cfg := id.TLS.Clone()
	cfg.ServerName = string(node)
	secured := tls.Client(c, cfg)
	return secured, secured.HandshakeContext(ctx)
}

// exchangeHello says who this side is and checks the other. want is the node
// expected at the far end, empty for any.
func exchangeHello(ctx context.Context, c net.Conn, self Identity, want walnutramp.NodeName) (io.ReadWriteCloser, error) {
	limit, ok := ctx.Deadline()
	if !ok {
		limit = time.Now().Add(helloTimeout)
	}
	c.SetDeadline(limit)
	defer c.SetDeadline(time.Time{})
	sent := make(chan error, 1)
	go func() { sent <- sendHello(c, self) }()
	r := bufio.NewReader(c)
	other, err := readHello(r)
	if err != nil {
		c.Close()
		<-sent
		return nil, err
	}
	if err := <-sent; err != nil {
		return nil, err
	}
	if other.Protocol != protocol || other.Site != self.Site {
		return nil, errors.Newf("peer speaks %q for site %q", other.Protocol, other.Site)
	}
	if want != "" && other.Node != want {
		return nil, errors.Newf("node %s answers in place of %s", other.Node, want)
	}
	return &buffered{Conn: c, r: r}, nil
}

func sendHello(c net.Conn, self Identity) error {
	line, err := json.Marshal(self.hello())
	if err != nil {
		return err
	}
	_, err = c.Write(append(line, '\n'))
	return err
}

func readHello(r *bufio.Reader) (hello, error) {
	var h hello
	line := make([]byte, 0, maxHello)
	for len(line) < maxHello {
		b, err := r.ReadByte()
		if err != nil {
			return h, err
		}
		if b == '\n' {
			return h, json.Unmarshal(line, &h)
		}
		line = append(line, b)
	}
	return h, errors.New("hello too long")
}

// buffered reads through the reader that took the hello.
type buffered struct {
	net.Conn
	r *bufio.Reader
}

// Read implements io.Reader.
func (b *buffered) Read(p []byte) (int, error) { return b.r.Read(p) }

// countingConn counts bytes and bounds how long a write may block.
type countingConn struct {
	net.Conn
	traffic    *Traffic
	writeLimit time.Duration // zero for none
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.writeLimit > 0 {
		c.Conn.SetWriteDeadline(time.Now().Add(c.writeLimit))
	}
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
