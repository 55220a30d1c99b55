package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
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

// A handler that panics must leave the request's id and the place in the log, and its client
// an answer.
func TestPanicOfAHandlerIsAnsweredAndCounted(t *testing.T) {
	failing := testNames
	failing.ParseBackpressure = func(int, http.Header) Backpressure { panic("backpressure") }
	for name, c := range map[string]struct {
		option  Option
		outcome string
	}{
		"before it is sent": {WithLease(func() bool { panic("lease") }), `"outcome":"not-run"`},
		"after it is sent":  {WithNames(failing), `"outcome":"unknown"`},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}, c.option)
			resp, body, err := do(t, s.request(t, "POST", "/once/", ""))
			require.NoError(t, err)
			require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
			require.Contains(t, body, `"code":9001`)
			require.Contains(t, body, c.outcome)
			require.Contains(t, s.metrics(), "walnutramp_gateway_handler_panics_total 1")
		})
	}
}

// The run of a request whose handler panics must not stay counted at its target.
func TestPanicEndsTheRun(t *testing.T) {
	for _, path := range []string{"/draft/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", answerWithID), newFakeTarget(t, "i-2", "lookup", "north", answerWithID)}
			s := newTestSite(t, targets)
			s.gateway.cfg.Names.ParseBackpressure = func(int, http.Header) Backpressure { panic("backpressure") }
			status, _ := s.post(t, path)
			require.Equal(t, http.StatusInternalServerError, status)
			require.Empty(t, s.tracker.Runs())
			require.Zero(t, s.gateway.InFlight())
		})
	}
}

// A stream must not look complete after a panic.
func TestPanicAfterTheHeadBreaksTheAnswerOff(t *testing.T) {
	begun := make(chan struct{})
	script := draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 3 {
			<-begun
			c.Close()
		}
		return n < 3
	})
	s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script)}, WithBorrow(func(context.Context, string) bool { panic("borrow") }))
	spendBudget(s.gateway)
	resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", "/draft/", "prompt"))
	require.NoError(t, err)
	defer resp.Body.Close()
	close(begun)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Contains(t, s.metrics(), "walnutramp_gateway_handler_panics_total 1")
}

// A panic at the egress must not reach the ingress as a node that is lost.
func TestPanicAtAnEgressIsReportedToTheIngress(t *testing.T) {
	s := newRelaySite(t, 1, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)})
	s.others[0].gateway.cfg.Names.ParseBackpressure = func(int, http.Header) Backpressure { panic("backpressure") }
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	resp, body, err := do(t, s.ingress.request(t, "POST", "/once/", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Contains(t, body, `"outcome":"unknown"`)
	require.Contains(t, s.ingress.metrics(), `walnutramp_gateway_relayed_total{role="ingress",result="failed"} 1`)
	require.Contains(t, s.others[0].metrics(), "walnutramp_gateway_handler_panics_total 1")
}
