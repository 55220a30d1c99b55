package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Framings of a body without end.
const (
	framedByLength = "Content-Length: 1000000000\r\n"
	framedByChunks = "Transfer-Encoding: chunked\r\n"
	framedByClose  = ""
)

// endlessBody answers with a body of which some bytes come at once, and then text at an interval
// until the connection is closed.
func endlessBody(status int, framing string, atOnce int, text string, interval time.Duration) func(*fakeTarget, *http.Request, net.Conn) {
	return func(_ *fakeTarget, r *http.Request, c net.Conn) {
		defer c.Close()
		write := io.WriteString
		if framing == framedByChunks {
			write = func(w io.Writer, s string) (int, error) { return fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nContent-Type: text/plain\r\n%s\r\n", status, r.Header.Get("X-Id"), framing)
		if atOnce > 0 {
			write(c, strings.Repeat("x", atOnce))
		}
		for {
			if _, err := write(c, text); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}
}

var framings = map[string]string{"length": framedByLength, "chunks": framedByChunks, "close": framedByClose}

// shortObjective lets attempts of safe requests be retried after a short time.
func shortObjective(s *testSite) {
	table := testTable()
	table.Route("a.example", "/safe/x").LatencyObjective = testStall
	s.gateway.SetTable(table)
}

func TestSafeRequestIsRetriedBesideABodyAtADrip(t *testing.T) {
	for name, framing := range framings {
		for _, atOnce := range []int{0, maxBufferedBody / 2} {
			t.Run(fmt.Sprintf("%s after %d bytes", name, atOnce), func(t *testing.T) {
				t.Parallel()
				bad := newFakeTarget(t, "i-1", "lookup", "north", endlessBody(200, framing, atOnce, "x", endlessInterval))
				good := newFakeTarget(t, "i-2", "lookup", "south", answerWithID)
				s := newTestSite(t, []*fakeTarget{bad, good})
				shortObjective(s)
				began := time.Now()
				resp, body, err := do(t, s.request(t, "GET", "/safe/x", "", "X-Deadline", "9000"))
				require.NoError(t, err)
				require.Less(t, time.Since(began), time.Second)
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, "from i-2", body)
				require.Len(t, bad.seen(), 1)
			})
		}
	}
}

func TestRelayedSafeRequestIsRetriedBesideABodyAtADrip(t *testing.T) {
	bad := newFakeTarget(t, "i-1", "lookup", "north", endlessBody(200, framedByLength, 0, "x", endlessInterval))
	good := newFakeTarget(t, "i-2", "lookup", "south", answerWithID)
	s := newRelaySite(t, 1, []*fakeTarget{bad, good})
	shortObjective(s.ingress.testSite)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	began := time.Now()
	resp, body, err := do(t, s.ingress.request(t, "GET", "/safe/x", "", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "from i-2", body)
}

func TestRequestThatRunsOnceIsAnsweredBesideABodyWithoutEnd(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeTarget(t, "i-1", "lookup", "north", endlessBody(200, framing, 0, "x", endlessInterval))
			other := newFakeTarget(t, "i-2", "lookup", "north", endlessBody(200, framing, 0, "x", endlessInterval))
			s := newTestSite(t, []*fakeTarget{f, other})
			began := time.Now()
			resp, body, err := do(t, s.request(t, "POST", "/once/", "", "X-Deadline", "1000"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), time.Second)
			require.Equal(t, 504, resp.StatusCode)
			require.Contains(t, body, `"outcome":"unknown"`)
			require.Len(t, seenBy([]*fakeTarget{f, other}), 1)
		})
	}
}

func TestLongBodyWithoutEndIsBrokenOffAtTheDeadline(t *testing.T) {
	fast := strings.Repeat("x", 64<<10)
	for name, framing := range framings {
		for speed, script := range map[string]func(*fakeTarget, *http.Request, net.Conn){
			"drip": endlessBody(200, framing, 2*maxBufferedBody, "x", endlessInterval),
			"fast": endlessBody(200, framing, 0, fast, 0),
		} {
			for _, path := range []string{"/safe/", "/once/"} {
				t.Run(name+" "+speed+" "+path, func(t *testing.T) {
					t.Parallel()
					f := newFakeTarget(t, "i-1", "lookup", "north", script)
					s := newTestSite(t, []*fakeTarget{f})
					began := time.Now()
					resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", path, "", "X-Deadline", "1000"))
					require.NoError(t, err)
					defer resp.Body.Close()
					require.Equal(t, 200, resp.StatusCode)
					_, err = io.Copy(io.Discard, resp.Body)
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
					require.Less(t, time.Since(began), 1500*time.Millisecond)
					require.LessOrEqual(t, s.gateway.buffers.bytes(), s.gateway.buffers.limits.Answer)
				})
			}
		}
	}
}

func TestStreamIsRetriedBesideAnAnswerAtADripThatIsNoStream(t *testing.T) {
	for _, status := range []int{200, 404} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			bad := newFakeTarget(t, "i-1", "draft", "north", endlessBody(status, framedByLength, 0, "x", endlessInterval))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newTestSite(t, []*fakeTarget{bad, good})
			began := time.Now()
			_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), 2*time.Second)
			require.Equal(t, wholeDraft(1), body)
		})
	}
}

func TestRelayedStreamIsRetriedBesideAnAnswerAtADripThatIsNoStream(t *testing.T) {
	bad := newFakeTarget(t, "i-1", "draft", "north", endlessBody(404, framedByLength, 0, "x", endlessInterval))
	good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s := newRelaySite(t, 1, []*fakeTarget{bad, good})
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	began := time.Now()
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 3*time.Second)
	require.Equal(t, wholeDraft(1), body)
}

// The answer to an order must not be read without end, in whatever way it is framed.
func TestEndlessAnswerToAnOrderIsNotReadWhole(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeTarget(t, "i-1", "draft", "north", endlessBody(200, framing, maxBufferedBody, strings.Repeat("x", 4096), 0))
			s := newTestSite(t, []*fakeTarget{f})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			body, err := s.gateway.callTarget(ctx, s.target("i-1"), purposeCopy, TargetCall{Method: "POST", URI: copyPath})
			require.NoError(t, err)
			require.LessOrEqual(t, len(body), maxCopyAnswer)
		})
	}
}
