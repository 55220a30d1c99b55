package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An operator must be able to tell why plain requests end without an answer.
func TestRequestsCutOffAreCountedByReason(t *testing.T) {
	received := make(chan struct{}, 1)
	silent := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) {
		received <- struct{}{}
		c.Read(make([]byte, 1))
	})
	s := newTestSite(t, []*fakeTarget{silent})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-received
		leave()
	}()
	_, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", "/once/", "").WithContext(ctx))
	require.Error(t, err)
	require.Eventually(t, func() bool {
		return strings.Contains(s.metrics(), `walnutramp_gateway_requests_cut_off_total{why="client-left"} 1`)
	}, 2*time.Second, 10*time.Millisecond)
}

func TestBrokenAnswerIsCounted(t *testing.T) {
	cut := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100000))
		c.Close()
	})
	s := newTestSite(t, []*fakeTarget{cut})
	_, _, err := do(t, s.request(t, "POST", "/once/", ""))
	require.Error(t, err)
	require.Contains(t, s.metrics(), `walnutramp_gateway_requests_cut_off_total{why="broken-answer"} 1`)
}

// A handler that panics must leave the request's id and the place in the log.
func TestPanicOfAHandlerIsCounted(t *testing.T) {
	s := newTestSite(t, nil, WithLease(func() bool { panic("lease") }))
	_, err := http.DefaultTransport.RoundTrip(s.request(t, "GET", "/safe/", ""))
	require.Error(t, err)
	require.Contains(t, s.metrics(), "walnutramp_gateway_handler_panics_total 1")
}
