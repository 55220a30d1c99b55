package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawClient is a connection to a gateway on which a test writes its own requests.
type rawClient struct {
	*net.TCPConn
	answers *bufio.Reader
}

func (s *testSite) dialRaw(t *testing.T) *rawClient {
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	return &rawClient{TCPConn: c.(*net.TCPConn), answers: bufio.NewReader(c)}
}

func rawRequest(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline: 2000\r\nContent-Length: 1\r\n\r\nx", path, id)
}

// A client that only shuts down its sending side sends the same as one that closes.
func TestHalfClosedClientCountsAsGone(t *testing.T) {
	for path, counter := range map[string]string{"/safe/x": "requests", "/draft/x": "streams"} {
		t.Run(counter, func(t *testing.T) {
			running, closed := make(chan struct{}), make(chan struct{})
			hang := func(_ *fakeTarget, _ *http.Request, c net.Conn) {
				close(running)
				c.Read(make([]byte, 1))
				close(closed)
			}
			s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", hang), newFakeTarget(t, "i-2", "draft", "north", hang)})
			c := s.dialRaw(t)
			_, err := fmt.Fprint(c, rawRequest(path, "attempt-1"))
			require.NoError(t, err)
			<-running
			require.NoError(t, c.CloseWrite())
			select {
			case <-closed:
			case <-time.After(500 * time.Millisecond):
				require.Fail(t, "the target still works")
			}
			_, err = c.answers.ReadByte()
			require.Error(t, err)
			require.Eventually(t, func() bool {
				return strings.Contains(s.metrics(), fmt.Sprintf("walnutramp_gateway_%s_cut_off_total{why=\"client-left\"} 1\n", counter))
			}, time.Second, 10*time.Millisecond)
		})
	}
}

// A client that sends its next request before the answer must get each answer in its turn.
func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	slow := newFakeTarget(t, "i-1", "lookup", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		time.Sleep(50 * time.Millisecond)
		answerWithID(f, r, c)
	})
	s := newTestSite(t, []*fakeTarget{slow})
	c := s.dialRaw(t)
	_, err := fmt.Fprint(c, rawRequest("/once/x", "attempt-1")+rawRequest("/once/x", "attempt-2")+rawRequest("/once/x", "attempt-3"))
	require.NoError(t, err)
	for n := 1; n <= 3; n++ {
		resp, err := http.ReadResponse(c.answers, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, fmt.Sprint("attempt-", n), resp.Header.Get("X-Id"))
	}
	require.Len(t, slow.seen(), 3)
}
