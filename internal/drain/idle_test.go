package drain

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const lateness = 200 * time.Millisecond

// lateReadListener accepts connections whose readers run late once their deadline has passed.
type lateReadListener struct {
	net.Listener
	expired chan struct{}
}

func (l *lateReadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateReadConn{Conn: c, expired: l.expired}, nil
}

type lateReadConn struct {
	net.Conn
	expired chan struct{}
}

func (c *lateReadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	aborted := len(p) == 1 // a background read of net/http
	if ne, ok := err.(net.Error); ok && ne.Timeout() && !aborted {
		close(c.expired)
		time.Sleep(lateness)
	}
	return n, err
}

func (c *lateReadConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// A request that lies unread when the idle timeout closes its connection must be answered.
func TestIdleTimeoutAnswersARequestThatHasArrived(t *testing.T) {
	var handled atomic.Int32
	server := New(&http.Server{IdleTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := &lateReadListener{Listener: l, expired: make(chan struct{})}
	go server.Serve(late)
	t.Cleanup(func() { server.Close() })
	c, answers := dial(t, l.Addr().String())
	_, err = sendOn(c, answers)
	require.NoError(t, err)
	<-late.expired
	_, err = sendOn(c, answers)
	require.NoError(t, err, "the request arrived before its connection was closed")
}
