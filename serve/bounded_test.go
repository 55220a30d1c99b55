package serve

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/gateway"
)

// boundedServer serves under limits that may change while it runs.
func boundedServer(t *testing.T, limits *atomic.Pointer[gateway.Limits]) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	go server.Serve(&boundedListener{Listener: l, limits: func() gateway.Limits { return *limits.Load() }})
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// closedAfter returns how long the server leaves a connection open on which
// that was sent.
func closedAfter(t *testing.T, address, sent string) time.Duration {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	began := time.Now()
	_, err = io.WriteString(c, sent)
	require.NoError(t, err)
	c.SetReadDeadline(began.Add(8 * time.Second))
	_, err = io.Copy(io.Discard, c)
	require.NoError(t, err, "the server has not closed the connection")
	return time.Since(began)
}

func TestConfigurationBoundsConnections(t *testing.T) {
	var limits atomic.Pointer[gateway.Limits]
	limits.Store(&gateway.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 600 * time.Millisecond})
	address := boundedServer(t, &limits)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	require.Less(t, closedAfter(t, address, "GET / HTTP/1.1\r\nHo"), 5*time.Second, "a head that does not end")
	atRest := closedAfter(t, address, request)
	require.GreaterOrEqual(t, atRest, 600*time.Millisecond)
	require.Less(t, atRest, 6*time.Second)

	limits.Store(&gateway.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 1500 * time.Millisecond})
	require.GreaterOrEqual(t, closedAfter(t, address, request), 1500*time.Millisecond, "a new configuration holds at once")
}
