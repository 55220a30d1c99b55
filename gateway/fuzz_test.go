package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pieces writes data in pieces of a size, and then closes the connection, or keeps it open for
// a while without another byte.
func pieces(data string, size int, stays bool) func(*fakeTarget, *http.Request, net.Conn) {
	return func(_ *fakeTarget, _ *http.Request, c net.Conn) {
		defer c.Close()
		for rest := data; len(rest) > 0; { // of each connection
			n := min(max(size, 1), len(rest))
			if _, err := io.WriteString(c, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
		if stays {
			c.SetReadDeadline(time.Now().Add(time.Second))
			io.Copy(io.Discard, c)
		}
	}
}

// FuzzTargetAnswer checks that a client gets a whole answer, a refusal, or the beginning of an
// answer that doesn't look complete, whatever bytes a target sends.
func FuzzTargetAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: attempt-1\r\n"
	const streamed = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunked := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for _, answer := range []string{
		"", "\x00", "HTTP/1.1 100 Continue\r\n\r\n", head, head + "\r\n", head + "Content-Length: 5\r\n\r\nab",
		head + "Content-Length: 2\r\n\r\nab", head + "Content-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n\r\n", head + "Content-Length: -1\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", head + "Transfer-Encoding: chunked\r\n\r\nzz", head + strings.Repeat("X: y\r\n", 20000),
		"HTTP/1.1 204 No\r\nX-Id: attempt-1\r\n\r\n", "HTTP/1.1 503 X\r\nX-Id: attempt-1\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\n",
		streamed, streamed + chunked(event(1)) + chunked(event(2)), streamed + chunked(event(1)+"id: 2\nda"), streamed + chunked(comment+event(1)+comment) + "0\r\n\r\n",
		streamed + chunked(event(2)+event(1)+event(2)), streamed + chunked(strings.Repeat(comment, 8000)), streamed + chunked(event(1)) + "zz\r\n",
		streamed + chunked("data: a\n\n"+event(1)+"data: b\n\n"), streamed + chunked(strings.Repeat("x", 100_000)), streamed + "0\r\nX: y",
	} {
		for _, stays := range []bool{false, true} {
			f.Add(answer, 1<<20, stays)
		}
		f.Add(answer, 7, false)
	}
	f.Fuzz(func(t *testing.T, answer string, size int, stays bool) {
		script := pieces(answer, max(size, len(answer)/1000), stays)
		targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "lookup", "north", script)}
		s := newTestSite(t, targets, WithStall(20*time.Millisecond), WithFirstEvent(20*time.Millisecond))
		for _, path := range []string{"/draft/", "/once/", "/safe/"} {
			began := time.Now()
			resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", path, "prompt", "X-Deadline", "150"))
			require.NoError(t, err, "a request without an answer or a refusal")
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			require.Less(t, time.Since(began), time.Second)
			require.LessOrEqual(t, len(body), len(answer)+maxFiller)
			if resp.StatusCode == http.StatusOK && err == nil {
				require.Contains(t, answer, "\r\n\r\n", "a whole answer of a target that sent none")
			}
			if path == "/draft/" && resp.StatusCode == http.StatusOK && err != nil {
				require.True(t, len(body) == 0 || strings.HasSuffix(string(body), "\n"), "an event that is not whole: %q", body)
			}
		}
	})
}
