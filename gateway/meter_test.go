package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/metering"
)

// systemClock is a clock without uncertainty.
type systemClock struct{}

func (systemClock) Now() (time.Time, time.Duration, bool) { return time.Now(), 0, true }

// newMeteredSite has one API key, and metering windows that outlast any test.
func newMeteredSite(t *testing.T, targets ...*fakeTarget) (*testSite, *metering.Counter) {
	counter := metering.NewCounter(metering.Config{Span: 1000 * time.Hour}, systemClock{})
	s := newTestSite(t, targets, WithMetering(counter))
	table := testTable()
	table.Open, table.Accounts = false, map[string]Account{"key-1": {Name: "harbour"}}
	s.gateway.SetTable(table)
	return s, counter
}

// meteredRequests returns the number of requests metered.
func meteredRequests(c *metering.Counter) uint64 {
	var n uint64
	for _, row := range c.Report(true) {
		n += row.Count
	}
	return n
}

func (s *testSite) call(t *testing.T, path string, headers ...string) {
	t.Helper()
	answer, err := http.DefaultClient.Do(s.request(t, "POST", path, "x", append(headers, "X-Key", "key-1")...))
	if err != nil {
		return
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
}

func rejecting(_ *fakeTarget, r *http.Request, c net.Conn) {
	reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
}

func TestStartedRequestsAreMetered(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*fakeTarget, *http.Request, net.Conn)
		want   uint64
	}{
		"served":             {serving, 1},
		"failed by a target": {failing, 1},
		"rejected":           {rejecting, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, counter := newMeteredSite(t, newFakeTarget(t, "i-1", "lookup", "north", c.script))
			s.call(t, "/once/1")
			require.Equal(t, c.want, meteredRequests(counter))
		})
	}
}

// A safe request that one target fails and another serves must be metered once.
func TestRetriedRequestIsMeteredOnce(t *testing.T) {
	s, counter := newMeteredSite(t, newFakeTarget(t, "i-1", "lookup", "north", failing), newFakeTarget(t, "i-2", "lookup", "north", serving))
	for range 4 {
		s.call(t, "/safe/1")
	}
	require.EqualValues(t, 4, meteredRequests(counter))
}

func TestStreamIsMeteredAtItsFirstEvent(t *testing.T) {
	proceed := make(chan struct{})
	target := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "s")
		<-proceed
		chunk(c, event(1))
		chunk(c, event(2))
		streamEnd(c)
	})
	s, counter := newMeteredSite(t, target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.call(t, "/draft/1")
	}()
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, meteredRequests(counter), "no event yet")
	close(proceed)
	<-done
	require.EqualValues(t, 1, meteredRequests(counter))
	s.call(t, "/draft/1", "X-Last", "1")
	require.EqualValues(t, 1, meteredRequests(counter), "a resumed stream is not counted again")
}

// A request queued at its target must be dated to its start, not to its sending.
func TestServiceTimeExcludesQueueing(t *testing.T) {
	var e serviceTimes
	const work, wait = 15 * time.Millisecond, 400 * time.Millisecond
	require.Equal(t, work, e.estimate("r", work))
	for range 20 {
		require.InDelta(t, work, e.estimate("r", work+wait), float64(4*time.Millisecond))
	}
	require.Equal(t, work, e.estimate("r", work))
	slower := 3 * work
	for range 200 {
		e.estimate("r", slower)
	}
	require.Equal(t, slower, e.estimate("r", slower))
}
