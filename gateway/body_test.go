package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

// Bodies that arrive at the same time must not take more memory than the bound, and those that
// find no room are told when to come back.
func TestBodiesAtOnceStayWithinTheirMemory(t *testing.T) {
	const size, bodies, limit = 1 << 20, 20, 8 << 20
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end := make(chan struct{})
			f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
				<-end
				reply(c, r.Header.Get("X-Id"), 200, "ok")
			})
			s := newTestSite(t, []*fakeTarget{f})
			s.gateway.bodies = reqlimit.NewBudget(limit)
			var served, refused atomic.Int64
			var load sync.WaitGroup
			for i := range bodies {
				load.Go(func() {
					r := s.request(t, "POST", "/once/", "", "X-Id", "attempt-"+strconv.Itoa(i), "X-Deadline", "9000")
					r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, size))), size
					if chunked {
						r.ContentLength = -1
					}
					resp, _, err := do(t, r)
					switch {
					case err != nil: // answered before it was read
						refused.Add(1)
					case resp.StatusCode == 200:
						served.Add(1)
					case assert.Equal(t, 503, resp.StatusCode):
						assert.NotEmpty(t, resp.Header.Get("Retry-After"))
						refused.Add(1)
					}
				})
			}
			most := int64(0)
			for refused.Load()+int64(len(f.seen())) < bodies {
				most = max(most, s.gateway.bodies.Used())
				time.Sleep(100 * time.Microsecond)
			}
			close(end)
			load.Wait()
			require.LessOrEqual(t, most, int64(limit))
			require.Positive(t, refused.Load())
			require.GreaterOrEqual(t, served.Load(), int64(limit/size/3), "buffers double")
			require.Eventually(t, func() bool { return s.gateway.bodies.Used() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// A body that is larger than the bound is served if no other is buffered.
func TestLargeBodyIsServedAlone(t *testing.T) {
	var got atomic.Int64
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		got.Store(r.ContentLength)
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{f})
	s.gateway.bodies = reqlimit.NewBudget(1 << 20)
	table := testTable()
	table.Limits.BodyBytes = 4 << 20
	s.gateway.SetTable(table)
	resp, _, err := do(t, s.request(t, "POST", "/once/", strings.Repeat("x", 4<<20), "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.EqualValues(t, 4<<20, got.Load())
}

func TestBodyMemoryFollowsTheProcess(t *testing.T) {
	require.EqualValues(t, 28<<20, bodyMemoryOf(112<<20))
	require.EqualValues(t, maxBodyMemory, bodyMemoryOf(512<<20))
}

// The body of a request that is rejected once it has been read must not stay counted.
func TestBodyOfARejectedRequestIsReleased(t *testing.T) {
	names := testNames
	names.ParseUsage = func(v string) (prompt, out int) {
		if v == "panic" {
			panic("usage")
		}
		return 0, 0
	}
	for name, headers := range map[string][]string{
		"position not a number": {"X-Last", "4x"},
		"over-long attempt":     {"X-Last", "4", "X-Resumes", strings.Repeat("a", maxAttemptName+1)},
		"unknown version":       {"X-Last", "4"},
		"panic":                 {"X-Usage", "panic"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakenUpSite(t, WithNames(names))
			s.listOnly("v1", "v2")
			resp, _, err := do(t, s.request(t, "POST", "/draft/", strings.Repeat("x", 1<<20), headers...))
			require.NoError(t, err)
			require.GreaterOrEqual(t, resp.StatusCode, 400)
			require.Eventually(t, func() bool { return s.gateway.bodies.Used() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// A request whose body does not come by its deadline must be answered as not run.
func TestBodyThatDoesNotComeIsNotAwaitedBeyondTheDeadline(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) { reply(c, "", 200, "") })
	s := newTestSite(t, []*fakeTarget{f})
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Id: attempt-1\r\nX-Deadline: 200\r\nContent-Length: 10\r\n\r\nx")
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.True(t, resp.Close)
	require.Empty(t, f.seen())
	require.Zero(t, s.gateway.bodies.Used())
}
