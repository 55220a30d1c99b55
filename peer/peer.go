// Package peer implements RPC between nodes: net/rpc over one TCP connection per
// called node, opened on demand. Both sides identify themselves before the first
// call.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// Connection timeouts and limits.
const (
	helloTimeout   = 2 * time.Second       // of the accepting side, for the TLS handshake and the hello each
	dialTimeout    = 1 * time.Second       // of the dialing side, for all steps together
	redialDelay    = 50 * time.Millisecond // minimum time from a failed dial to the next
	silenceTimeout = 1 * time.Second       // time without replies after which a call that times out closes the connection
	idleTimeout    = 20 * time.Second      // time without calls after which a connection may be closed
	writeTimeout   = 2 * time.Second       // of one write by the dialing side
	maxHello       = 1024                  // bytes
)

// hello is the first line that each side sends, encoded as JSON.
type hello struct {
	Protocol    string                 `json:"protocol"`
	Site        string                 `json:"site"`
	Node        walnutramp.NodeName    `json:"node"`
	Incarnation walnutramp.Incarnation `json:"incarnation"`
}

const protocol = "walnutramp-peer/1"

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Identity is the identity that a node announces. With TLS set, both sides prove it
// with certificates issued by the site's CA.
type Identity struct {
	Site        string
	Node        walnutramp.NodeName
	Incarnation walnutramp.Incarnation
	TLS         *tls.Config
}

func (id Identity) hello() hello {
	return hello{Protocol: protocol, Site: id.Site, Node: id.Node, Incarnation: id.Incarnation}
}

// Traffic counts bytes to and from peers, and rejected connections.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Rejected atomic.Int64 // rejected connections
}

// Server serves RPC calls from peers.
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

// NewServer returns a server without any registered services.
func NewServer(self Identity, traffic *Traffic) *Server {
	return &Server{self: self, rpc: rpc.NewServer(), traffic: traffic, conns: map[net.Conn]struct{}{}}
}

// Register registers the methods of a service under a name.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Serve accepts connections on l until Close, or until accepting fails. It always
// returns an error.
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
	defer s.untrack(c)
	conn, err := s.self.Accept(c, s.traffic)
	if err != nil {
		return
	}
	s.rpc.ServeConn(conn)
}

func (s *Server) untrack(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes all listeners and connections and waits for calls in progress.
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

// Accept performs the accepting side of the handshake with a peer on c and returns the
// connection to use. It does not close c if it fails.
func (id Identity) Accept(c net.Conn, traffic *Traffic) (net.Conn, error) {
	secured, certNode, err := id.accept(&countingConn{Conn: c, traffic: traffic})
	var conn net.Conn
	if err == nil {
		conn, err = exchangeHello(context.Background(), secured, id, certNode)
	}
	if err != nil {
		traffic.Rejected.Add(1)
		klog.V(1).InfoS("Rejected peer connection", "remote", c.RemoteAddr(), "err", err)
	}
	return conn, err
}

// Connect performs the dialing side of the handshake with a node on c and returns the
// connection to use. It does not close c if it fails.
func (id Identity) Connect(ctx context.Context, c net.Conn, node walnutramp.NodeName, traffic *Traffic) (net.Conn, error) {
	secured, err := id.connect(ctx, &countingConn{Conn: c, traffic: traffic, writeTimeout: writeTimeout}, node)
	if err != nil {
		return nil, err
	}
	return exchangeHello(ctx, secured, id, node)
}

// accept performs the server side of the TLS handshake and returns the node named in
// the client's certificate; without TLS, the name is empty.
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
	certs := secured.ConnectionState().PeerCertificates
	return secured, walnutramp.NodeName(certs[0].Subject.CommonName), nil
}

// connect performs the client side of the TLS handshake with a node.
func (id Identity) connect(ctx context.Context, c net.Conn, node walnutramp.NodeName) (net.Conn, error) {
	if id.TLS == nil {
		return c, nil
	}
	cfg := id.TLS.Clone()
	cfg.ServerName = string(node)
	secured := tls.Client(c, cfg)
	return secured, secured.HandshakeContext(ctx)
}

// exchangeHello sends this side's identity and verifies the other's. want is the
// expected node, empty for any.
func exchangeHello(ctx context.Context, c net.Conn, self Identity, want walnutramp.NodeName) (net.Conn, error) {
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
		return nil, errors.Newf("protocol or site differs from this node's: peer announced protocol %q, site %q", other.Protocol, other.Site)
	}
	if want != "" && other.Node != want {
		return nil, errors.Newf("peer announced node %s, expected %s", other.Node, want)
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
	return h, errors.Newf("hello line exceeds %d bytes", maxHello)
}

// buffered reads through the reader of the hello, which may hold further bytes.
type buffered struct {
	net.Conn
	r *bufio.Reader
}

// Read implements io.Reader.
func (b *buffered) Read(p []byte) (int, error) { return b.r.Read(p) }

// countingConn counts bytes, and limits the duration of writes if writeTimeout is set.
type countingConn struct {
	net.Conn
	traffic      *Traffic
	writeTimeout time.Duration // zero for none
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
