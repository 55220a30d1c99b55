package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readHookListener accepts connections that call a hook when data has been read, before it
// is returned.
type readHookListener struct {
	net.Listener
	afterRead func(*readHookConn)
}

func (l *readHookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHookConn{Conn: c, listener: l, closed: make(chan struct{})}, nil
}

type readHookConn struct {
	net.Conn
	listener *readHookListener
	isClosed atomic.Bool
	closed   chan struct{}
}

func (c *readHookConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.afterRead(c)
	}
	return n, err
}

func (c *readHookConn) Close() error {
	if c.isClosed.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}

// sendOn sends a request on an open connection and reads its answer.
func sendOn(c net.Conn, r *bufio.Reader) (*http.Response, error) {
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// newDrainedServer returns a server whose handler counts requests, on a listener whose
// connections call a hook, and its address.
func newDrainedServer(t *testing.T, handled *atomic.Int32, afterRead func(*Server, *readHookConn)) (*Server, string) {
	server := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(&readHookListener{Listener: l, afterRead: func(c *readHookConn) { afterRead(server, c) }})
	t.Cleanup(func() { server.Close() })
	return server, l.Addr().String()
}

// dial returns an open connection, and a reader of its answers.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// A request that has been read when its idle connection is about to be closed must be answered.
func TestShutdownAnswersARequestThatHasJustBeenRead(t *testing.T) {
	var handled atomic.Int32
	shutdown := make(chan error, 1)
	_, address := newDrainedServer(t, &handled, func(s *Server, c *readHookConn) {
		if handled.Load() == 0 {
			return
		}
		go func() { shutdown <- s.Shutdown(context.Background()) }()
		select {
		case <-c.closed:
		case <-time.After(200 * time.Millisecond):
		}
	})
	c, answers := dial(t, address)
	_, err := sendOn(c, answers)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // until the connection is idle
	_, err = sendOn(c, answers)
	require.NoError(t, err, "the request was read, and its connection closed without an answer")
	require.NoError(t, <-shutdown)
}

// A connection that was accepted before the shutdown must not lose its first request.
func TestShutdownAnswersTheFirstRequestOfANewConnection(t *testing.T) {
	var handled atomic.Int32
	server, address := newDrainedServer(t, &handled, func(*Server, *readHookConn) {})
	c, answers := dial(t, address)
	other, otherAnswers := dial(t, address)
	_, err := sendOn(other, otherAnswers) // the connection before it is accepted, too
	require.NoError(t, err)
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { _, err := net.Dial("tcp", address); return err != nil }, time.Second, time.Millisecond, "still listening")
	_, err = sendOn(c, answers)
	require.NoError(t, err, "the request was read, and its connection closed without an answer")
	require.NoError(t, <-shutdown)
}

// idleHookListener accepts connections that call a hook before the read that waits for a
// further request.
type idleHookListener struct {
	net.Listener
	beforeRead func()
}

func (l *idleHookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleHookConn{TCPConn: c.(*net.TCPConn), beforeRead: l.beforeRead}, nil
}

type idleHookConn struct {
	*net.TCPConn
	beforeRead func()
	idle       atomic.Bool
}

const testIdleTimeout = time.Hour

// SetReadDeadline implements net.Conn. Only that of an idle connection is so late.
func (c *idleHookConn) SetReadDeadline(t time.Time) error {
	c.idle.Store(time.Until(t) > testIdleTimeout/2)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *idleHookConn) Read(p []byte) (int, error) {
	if c.idle.CompareAndSwap(true, false) {
		c.beforeRead()
	}
	return c.TCPConn.Read(p)
}

// A request that lies unread when its idle connection is about to be closed must be answered.
func TestShutdownAnswersARequestThatHasArrivedUnread(t *testing.T) {
	server := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), IdleTimeout: testIdleTimeout})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	idle, toBeClosed := make(chan struct{}), make(chan struct{})
	go server.Serve(&idleHookListener{Listener: l, beforeRead: func() {
		close(idle)
		<-toBeClosed
	}})
	t.Cleanup(func() { server.Close() })
	c, answers := dial(t, l.Addr().String())
	_, err = sendOn(c, answers)
	require.NoError(t, err)
	<-idle
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	go func() {
		time.Sleep(50 * time.Millisecond)
		close(toBeClosed)
	}()
	resp, err := sendOn(c, answers)
	require.NoError(t, err, "the request had arrived, and its connection was closed without an answer")
	require.True(t, resp.Close)
	require.NoError(t, <-shutdown)
}

// lateListener returns a connection that it has accepted only after it is closed.
type lateListener struct {
	net.Listener
	accepted, closed chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.closed
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

func (l *lateListener) Close() error {
	err := l.Listener.Close()
	if err == nil {
		close(l.closed)
	}
	return err
}

// A connection that is being accepted when the shutdown begins must not lose its request.
func TestShutdownAnswersAConnectionThatIsBeingAccepted(t *testing.T) {
	server := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := &lateListener{Listener: l, accepted: make(chan struct{}), closed: make(chan struct{})}
	go server.Serve(late)
	t.Cleanup(func() { server.Close() })
	c, answers := dial(t, l.Addr().String())
	<-late.accepted
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(context.Background()) }()
	_, err = sendOn(c, answers)
	require.NoError(t, err, "the connection was accepted, and closed without an answer")
	require.NoError(t, <-shutdown)
}

// A new connection without a request must be closed without an answer: a client whose request
// crosses the close would take it for that to its request.
func TestShutdownClosesANewConnectionWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	var handled atomic.Int32
	server, address := newDrainedServer(t, &handled, func(*Server, *readHookConn) {})
	c, _ := dial(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), newConnWait+time.Second)
	defer cancel()
	require.NoError(t, server.Shutdown(ctx))
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, string(answer))
}
