package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowClient reads nothing until read is closed or its write deadline is set.
type slowClient struct {
	*httptest.ResponseRecorder
	read    chan struct{}
	expired chan struct{}
	once    sync.Once
}

func newSlowClient(read chan struct{}) *slowClient {
	return &slowClient{ResponseRecorder: httptest.NewRecorder(), read: read, expired: make(chan struct{})}
}

func (c *slowClient) Write(p []byte) (int, error) {
	select {
	case <-c.read:
		return c.ResponseRecorder.Write(p)
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *slowClient) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.expired) })
	return nil
}

// serve has the gateway answer a request; false if the answer was aborted.
func (s *testSite) serve(w http.ResponseWriter, r *http.Request) (whole bool) {
	defer func() { whole = recover() == nil }()
	r.RequestURI = "/draft/"
	s.gateway.ServeHTTP(w, r)
	return true
}

// longDraft sends events of about 4 kB, endlessly if events is 0.
func longDraft(events int) func(*fakeTarget, *http.Request, net.Conn) {
	return func(_ *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "s")
		for n := 1; n <= events || events == 0; n++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 4000))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
		}
		streamEnd(c)
	}
}

func TestSlowClientsDoNotBlockTargets(t *testing.T) {
	const clients, events = 60, 8
	f := newFakeTarget(t, "i-1", "draft", "north", longDraft(events))
	s := newTestSite(t, []*fakeTarget{f})
	read := make(chan struct{})
	var slow, normal sync.WaitGroup
	var asked []*slowClient
	for range clients {
		client, r := newSlowClient(read), s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "1,60")
		asked = append(asked, client)
		slow.Go(func() { s.serve(client, r) })
		fast, other := httptest.NewRecorder(), s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "1,60")
		normal.Go(func() { s.serve(fast, other) })
	}
	normal.Wait()
	require.Eventually(t, func() bool { return len(f.seen()) == 2*clients && len(s.tracker.Runs()) == 0 }, 2*time.Second, 5*time.Millisecond,
		"runs end without waiting for their clients")
	require.EqualValues(t, asked[0].Body.Len(), 0)
	require.Greater(t, s.gateway.buffers.bytes(), int64(clients*(events-1)*4000))
	close(read)
	slow.Wait()
	for _, client := range asked {
		require.Equal(t, events, strings.Count(client.Body.String(), "\n\n"))
	}
	require.Zero(t, s.gateway.buffers.bytes())
}

func TestClientThatNeverReadsIsAborted(t *testing.T) {
	const answer = 256 << 10
	for name, limits := range map[bound]BufferLimits{
		boundAnswer:  {Answer: answer, Account: 8 << 20, Total: 8 << 20},
		boundAccount: {Answer: 8 << 20, Account: answer, Total: 8 << 20},
		boundTotal:   {Answer: 8 << 20, Account: 8 << 20, Total: answer},
	} {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			endless := newFakeTarget(t, "i-1", "draft", "north", longDraft(0))
			s := newTestSite(t, []*fakeTarget{endless}, WithBufferLimits(limits))
			began := time.Now()
			require.False(t, s.serve(newSlowClient(nil), s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60")))
			require.Greater(t, time.Since(began), slowClientTimeout, "it is not aborted before the timeout")
			require.Less(t, time.Since(began), 2*slowClientTimeout)
			require.Zero(t, s.gateway.buffers.bytes())
			require.Empty(t, s.tracker.Runs())
			require.Len(t, endless.seen(), 1, "the run is not retried")
			require.Contains(t, s.metrics(), `walnutramp_gateway_streams_cut_off_total{why="client-slow"} 1`)
		})
	}
}

// The answer with the largest buffer must be aborted, not the one that needs space.
func TestLargestBufferIsEvictedAtTheSharedLimit(t *testing.T) {
	h := newBufferAccounting(BufferLimits{Answer: 100, Account: 100, Total: 100}, newCounters())
	large := h.newResponseBuffer(&call{id: "large"}, newSlowClient(nil))
	small := h.newResponseBuffer(&call{id: "small"}, newSlowClient(nil))
	require.NoError(t, large.Put(t.Context(), make([]byte, 70)))
	require.NoError(t, small.Put(t.Context(), make([]byte, 20)))
	began := time.Now()
	require.NoError(t, small.Put(t.Context(), make([]byte, 20)))
	require.GreaterOrEqual(t, time.Since(began), slowClientTimeout)
	require.ErrorIs(t, large.Put(t.Context(), []byte("x")), errClientSlow)
	small.Stop(errClientSlow)
	large.Stop(errClientSlow)
	require.Zero(t, h.bytes())
}
