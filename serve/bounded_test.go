package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/gateway"
)

// startTimeoutServer starts a server whose limits can be changed while it runs
// and returns its address.
func startTimeoutServer(t *testing.T, limits *atomic.Pointer[gateway.Limits]) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := (&Process{}).newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }), 0)
	go server.Serve(&timeoutListener{Listener: l, limits: func() gateway.Limits { return *limits.Load() }})
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// timeUntilClose sends data on a new connection and returns how long the server
// keeps the connection open.
func timeUntilClose(t *testing.T, address, sent string) time.Duration {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	start := time.Now()
	_, err = io.WriteString(c, sent)
	require.NoError(t, err)
	c.SetReadDeadline(start.Add(8 * time.Second))
	_, err = io.Copy(io.Discard, c)
	require.NoError(t, err, "server did not close the connection")
	return time.Since(start)
}

func TestConnectionTimeoutsFollowConfiguration(t *testing.T) {
	var limits atomic.Pointer[gateway.Limits]
	limits.Store(&gateway.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
	address := startTimeoutServer(t, &limits)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	require.Less(t, timeUntilClose(t, address, "GET / HTTP/1.1\r\nHo"), 5*time.Second, "incomplete request header")
	idle := timeUntilClose(t, address, request)
	require.GreaterOrEqual(t, idle, 600*time.Millisecond)
	require.Less(t, idle, 6*time.Second)

	limits.Store(&gateway.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
	require.GreaterOrEqual(t, timeUntilClose(t, address, request), 1500*time.Millisecond, "a new idle timeout applies to new connections at once")
}

// A client may rest for as long as the limits in force allow, also on a connection that
// became idle under earlier ones.
func TestRaisedIdleTimeoutAppliesToIdleConnections(t *testing.T) {
	var limits atomic.Pointer[gateway.Limits]
	limits.Store(&gateway.Limits{HeaderTimeout: time.Second, IdleTimeout: 500 * time.Millisecond})
	c, err := net.Dial("tcp", startTimeoutServer(t, &limits))
	require.NoError(t, err)
	defer c.Close()
	answers := bufio.NewReader(c)
	request := func() error {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	require.NoError(t, request())
	limits.Store(&gateway.Limits{HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second})
	time.Sleep(time.Second)
	require.NoError(t, request(), "a fifth of the idle timeout in force has passed")
}

// A new connection without any byte of a request is idle: the header timeout bounds how long
// a request's head takes.
func TestNewConnectionMayRestForTheIdleTimeout(t *testing.T) {
	var limits atomic.Pointer[gateway.Limits]
	limits.Store(&gateway.Limits{HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 10 * time.Second})
	c, err := net.Dial("tcp", startTimeoutServer(t, &limits))
	require.NoError(t, err)
	defer c.Close()
	time.Sleep(time.Second)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "a tenth of the idle timeout has passed")
}
