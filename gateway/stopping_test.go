package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerTime bounds the time in which a stopping node answers what it has in flight.
const answerTime = 300 * time.Millisecond

// endRequests ends the requests of a node as the end of a stop does.
func (n *cuttableNode) endRequests(t *testing.T) {
	n.gateway.EndRequests()
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	n.server.Shutdown(ctx)
	n.server.Close()
}

// A stream that a stop breaks off was not left by its client.
func TestStreamBrokenOffByAStopIsCountedAsSuch(t *testing.T) {
	script := draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 3 {
			c.Read(make([]byte, 1))
		}
		return n < 3
	})
	s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script)})
	resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", "/draft/", "prompt"))
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, len(event(1)+event(2))))
	require.NoError(t, err)
	s.gateway.EndRequests()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err, "a truncated stream must not look complete")
	require.Contains(t, s.metrics(), `walnutramp_gateway_streams_cut_off_total{why="stopping"} 1`)
	require.NotContains(t, s.metrics(), "client-left")
}

// A long answer that a stop breaks off was not left by its client.
func TestAnswerBrokenOffByAStopIsCountedAsSuch(t *testing.T) {
	var s *testSite
	long := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), 2*maxBufferedBody, make([]byte, maxBufferedBody+1))
		time.AfterFunc(50*time.Millisecond, s.gateway.EndRequests)
		c.Read(make([]byte, 1))
	})
	s = newTestSite(t, []*fakeTarget{long})
	_, _, err := do(t, s.request(t, "POST", "/once/", ""))
	require.Error(t, err)
	require.Contains(t, s.metrics(), `walnutramp_gateway_requests_cut_off_total{why="stopping"} 1`)
}

// What a stopping egress has not sent to a target must not count as run.
func TestRequestWaitingAtAStoppingEgressGoesOnElsewhere(t *testing.T) {
	for path, service := range map[string]string{"/once/": "lookup", "/draft/": "draft"} {
		t.Run(service, func(t *testing.T) {
			script := answerWithID
			if service == "draft" {
				script = draft(nil)
			}
			s := newRelaySite(t, 2, []*fakeTarget{newFakeTarget(t, "i-1", service, "north", script)})
			waiting := s.others[0]
			waiting.tracker.Update(nil)
			s.others[1].gateway.active.Add(10) // so that the other one is preferred
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, service)
			go func() {
				for waiting.gateway.relayed.count() == 0 && t.Context().Err() == nil {
					time.Sleep(time.Millisecond)
				}
				waiting.endRequests(t)
			}()
			resp, body, err := do(t, s.ingress.request(t, "POST", path, "prompt"))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode, body)
		})
	}
}

// The ingress must learn from a stopping egress that a target may have run its request.
func TestRequestAtATargetOfAStoppingEgressIsAnswered(t *testing.T) {
	received := make(chan struct{}, 2)
	silent := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) {
		received <- struct{}{}
		c.Read(make([]byte, 1))
	})
	s := newRelaySite(t, 1, []*fakeTarget{silent})
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	go func() {
		<-received
		s.others[0].endRequests(t)
	}()
	began := time.Now()
	resp, body, err := do(t, s.ingress.request(t, "POST", "/once/", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Contains(t, body, `"outcome":"unknown"`)
	require.Less(t, time.Since(began), answerTime)
	require.Contains(t, s.ingress.metrics(), `walnutramp_gateway_relayed_total{role="ingress",result="failed"} 1`)
}

// A stopping node must not accept a plain request that can't end before the stop: another node
// can serve it.
func TestStoppingNodeRejectsPlainRequestsThatOutlastTheStop(t *testing.T) {
	const took, grace = 400 * time.Millisecond, time.Second
	slow := newFakeTarget(t, "i-1", "lookup", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		if r.URL.Path == "/once/x" {
			time.Sleep(took)
		}
		answerWithID(f, r, c)
	})
	s := newTestSite(t, []*fakeTarget{slow})
	for range 2 {
		for _, path := range []string{"/once/x", "/safe/x"} {
			status, _ := s.post(t, path)
			require.Equal(t, http.StatusOK, status)
		}
	}
	s.gateway.BeginShutdown(time.Now().Add(grace))
	status, _ := s.post(t, "/once/x")
	require.Equal(t, http.StatusOK, status, "it can end in time")
	time.Sleep(300 * time.Millisecond)
	before := len(slow.seen())
	resp, body, err := do(t, s.request(t, "POST", "/once/x", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, `"not-run"`)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Len(t, slow.seen(), before)
	status, _ = s.post(t, "/safe/x")
	require.Equal(t, http.StatusOK, status, "requests of this route are short")
	resp, _, err = do(t, s.request(t, "POST", "/once/x", "", "X-Deadline", "100"))
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, "it ends in time, whatever its target does")
	status, _ = s.post(t, "/safe/deeper/x")
	require.Equal(t, http.StatusOK, status, "how long requests of this route take is not known")
}

func TestPlainTimesFollowTheirObservations(t *testing.T) {
	var p plainTimes
	_, known := p.upper("a")
	require.False(t, known)
	for range 100 {
		p.observe("a", 2*time.Second)
	}
	upper, known := p.upper("a")
	require.True(t, known)
	require.Equal(t, 2*time.Second, upper)
	for range 100 {
		p.observe("a", 10*time.Millisecond)
	}
	upper, _ = p.upper("a")
	require.Less(t, upper, 50*time.Millisecond)
	for n := range 100 {
		p.observe("a", time.Duration(n%2)*time.Second)
	}
	upper, _ = p.upper("a")
	require.Greater(t, upper, time.Second)
	p.keepOnly(&Table{})
	_, known = p.upper("a")
	require.False(t, known)
}
