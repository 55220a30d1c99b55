// Package drain provides an HTTP/1.1 server whose graceful shutdown answers each request that
// it has read, and that bounds the memory and the connections that its clients take.
//
// The shutdown of http.Server drops requests that it reads after it has begun, such as the
// first one of a connection that was accepted before, and closes a connection as idle while it
// reads a request from it.
package drain

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

const (
	// newConnWait is how long a shutdown waits for the first request of a new connection.
	newConnWait = 5 * time.Second
	// pollInterval is how often a shutdown looks for idle connections.
	pollInterval = 20 * time.Millisecond
	// handlerPollInterval is how often it is checked whether handlers have ended.
	handlerPollInterval = 2 * time.Millisecond
)

// Server is an http.Server with a shutdown and limits of its own.
type Server struct {
	*http.Server
	closeConns   atomic.Bool  // after each answer
	serving      atomic.Int64 // connections whose goroutine has not ended
	requests     context.Context
	cancel       context.CancelFunc
	heads        *reqlimit.Budget
	headBytes    func() int       // limit of one head
	bodies       *reqlimit.Budget // nil for no limit
	maxConns     int              // 0 for no limit
	stalledAfter time.Duration    // see the constant
	bodyTimeout  time.Duration    // 0 for no limit
	turnedAway   atomic.Int64     // see ConnCounts
	evicted      atomic.Int64

	mu       sync.Mutex
	stopping bool
	listener net.Listener
	accepted chan struct{} // closed when Serve has ended
	conns    map[*conn]struct{}
}

// Option sets a limit of a Server.
type Option func(*Server)

// WithHeads sets the budget of the memory of request heads, which servers may share; the
// default follows from the process's resources.
func WithHeads(b *reqlimit.Budget) Option { return func(s *Server) { s.heads = b } }

// WithHeadBytes sets the function that returns the maximum size of a request's head; the
// default is the MaxHeaderBytes of the http.Server, which must not be less.
func WithHeadBytes(limit func() int) Option { return func(s *Server) { s.headBytes = limit } }

// WithMaxConns bounds the open connections; the default is not to bound them.
func WithMaxConns(n int) Option { return func(s *Server) { s.maxConns = n } }

// WithBodies sets the budget of the memory of request bodies, for handlers that keep them and do
// not bound it themselves; the default is not to bound it.
func WithBodies(b *reqlimit.Budget) Option { return func(s *Server) { s.bodies = b } }

// WithBodyTimeout bounds how long the body of a request may take to arrive; the default is not
// to bound it.
func WithBodyTimeout(d time.Duration) Option { return func(s *Server) { s.bodyTimeout = d } }

// New returns a server that drains s. It sets the ConnState, the BaseContext and the
// ConnContext of s, and wraps its handler.
func New(s *http.Server, opts ...Option) *Server {
	d := &Server{Server: s, conns: map[*conn]struct{}{}, stalledAfter: stalledAfter}
	d.headBytes = func() int { return cmp.Or(s.MaxHeaderBytes, http.DefaultMaxHeaderBytes) }
	for _, opt := range opts {
		opt(d)
	}
	if d.heads == nil {
		d.heads = ProcessResources(0).Heads(ClientLimits{})
	}
	d.requests, d.cancel = context.WithCancel(context.Background())
	s.BaseContext = func(net.Listener) context.Context { return d.requests }
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := &responseWriter{ResponseWriter: w, server: d}
		if refusal := refusalOf(r); refusal != nil {
			writeRefusal(out, refusal)
			return
		}
		trackBody(r)
		handler.ServeHTTP(out, r)
		out.announceClose() // for an answer without a body
	})
	s.ConnState = d.trackState
	return d
}

// Serve accepts connections until Shutdown or Close. It may be called once. The error is
// http.ErrServerClosed after these.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		l.Close()
		return http.ErrServerClosed
	}
	s.listener, s.accepted = l, make(chan struct{})
	defer close(s.accepted)
	s.mu.Unlock()
	err := s.Server.Serve(&listener{Listener: l, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// CloseConnections makes every answer from now on close its connection.
func (s *Server) CloseConnections() { s.closeConns.Store(true) }

// CancelRequests cancels the contexts of all requests. Their handlers may still answer.
func (s *Server) CancelRequests() { s.cancel() }

// Shutdown stops accepting connections, closes idle ones, and waits until the requests under
// way, and those that arrive before their connection is closed, are answered. It returns the
// error of ctx if that ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.CloseConnections()
	s.stopListening()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for s.accepting() || s.closeIdle() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.Server.Close()
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping && s.listener != nil {
		s.listener.Close()
	}
	s.stopping = true
}

// accepting reports whether a connection may still be handed over by the listener.
func (s *Server) accepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	select {
	case <-s.accepted:
		return false
	default:
		return true
	}
}

// closeIdle closes the idle connections, and returns the number of those that are open.
func (s *Server) closeIdle() (open int) {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
	return len(conns)
}

// ConnCounts are counts of a server's connections.
type ConnCounts struct {
	Open       int
	TurnedAway int64 // clients for which there was no connection
	Evicted    int64 // connections closed to keep some free
}

// ConnCounts returns the counts of the server's connections.
func (s *Server) ConnCounts() ConnCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConnCounts{Open: len(s.conns), TurnedAway: s.turnedAway.Load(), Evicted: s.evicted.Load()}
}

// AwaitHandlers waits, for at most limit, until the handlers of a closed server have ended.
func (s *Server) AwaitHandlers(limit time.Duration) {
	for began := time.Now(); s.serving.Load() > 0 && time.Since(began) < limit; {
		time.Sleep(handlerPollInterval)
	}
}

// trackState implements the ConnState of http.Server. A connection becomes StateClosed only
// when its handler has ended.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.serving.Add(1)
	case http.StateActive:
		if c, ok := c.(*conn); ok {
			c.setActive()
		}
	case http.StateIdle:
		if c, ok := c.(*conn); ok {
			c.setIdle()
		}
	case http.StateHijacked, http.StateClosed:
		s.serving.Add(-1)
	}
}

// responseWriter announces the close of its connection in the head of an answer, as late as
// possible: a client told later sends its next request on the connection that is closed.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter. Behind a refusal of a request that is too large
// the connection is closed, without a wait for the rest of its body: http.MaxBytesReader does
// not see that the writer is wrapped.
func (w *responseWriter) WriteHeader(status int) {
	if status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close")
	}
	if status >= http.StatusOK {
		w.announceClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) announceClose() {
	if !w.wroteHeader && w.server.closeConns.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
}

// listener accepts connections that a server tracks.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(accepted); c != nil {
			return c, nil
		}
		turnAway(accepted)
	}
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// conn is a connection that is closed as idle by its reader: an expired deadline ends the read
// that waits for a further request, unless some of it has arrived.
type conn struct {
	net.Conn
	server *Server

	mu       sync.Mutex
	received bool      // some of a request has been read since the last answer
	armed    bool      // http.Server has set the idle timeout since then
	idleFrom time.Time // a connection without a request does not count as idle before
	deadline time.Time // for reads, as set by http.Server
	closing  bool      // as idle
	head     *reqlimit.HeadMeter
	refusal  *reqlimit.Refusal // of a head that was read together with the request before

	state      connState
	stateSince time.Time
	evicted    bool      // is being closed to free it
	writing    time.Time // since when a write has lasted; zero for none
	body       reqlimit.BodyMeter
	bodyTimer  *time.Timer
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	n, refusal, err := c.receive(p, n, err)
	if refusal != nil {
		return 0, c.refuse(refusal)
	}
	return n, err
}

// receive records the result of a read, and counts what has arrived against the limits of heads.
func (c *conn) receive(p []byte, n int, err error) (int, *reqlimit.Refusal, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && (c.closing || !c.received && errors.Is(err, os.ErrDeadlineExceeded)) {
		n = c.readArrived(p)
	}
	switch {
	case n > 0:
		background := len(p) == 1
		return n, c.head.Read(p[:n], background), c.begin()
	case c.closing:
		return 0, nil, io.EOF // which http.Server does not answer
	}
	return n, nil, err
}

// begin records that some of a request has been read. The caller holds the mutex.
func (c *conn) begin() error {
	if !c.received {
		c.received = true
		c.stateSince = time.Now()
	}
	if !c.closing {
		return nil
	}
	c.closing = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// CloseWrite shuts down the sending side. http.Server does so before it closes a connection
// with unread data, so that the reset does not overtake its answer.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// SetReadDeadline implements net.Conn. http.Server sets one for an idle connection, and a
// further one once it reads a request, which it may have read together with the one before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.armed {
		if !c.received {
			c.refusal = c.head.Pipelined()
		}
		if err := c.begin(); err != nil {
			return err
		}
	}
	c.armed = true
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.mu.Lock()
	c.head.Close()
	c.endBody()
	c.mu.Unlock()
	return c.Conn.Close()
}

// readArrived reads what has arrived, in spite of an expired deadline: to close a connection
// with unread data resets it. It returns 0 if it can't tell, as if nothing had arrived.
func (c *conn) readArrived(p []byte) (n int) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var readErr error
	err = raw.Control(func(fd uintptr) { n, readErr = syscall.Read(int(fd), p) })
	if err != nil || readErr != nil {
		return 0
	}
	return n
}

// setIdle is called when a request has been answered.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.armed, c.idleFrom = false, false, time.Time{}
	c.setState(connIdle)
	c.endBody()
	c.head.Next()
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.received || time.Now().Before(c.idleFrom) {
		return
	}
	c.closing = c.Conn.SetReadDeadline(expired) == nil
}
