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

// utc is a clock that is right.
type utc struct{}

func (utc) Now() (time.Time, time.Duration, bool) { return time.Now(), 0, true }

// newMeteredSite has a key of an account, and windows so long that a test
// lies in one.
func newMeteredSite(t *testing.T, targets ...*fakeTarget) (*site, *metering.Counter) {
	counter := metering.NewCounter(metering.Config{Span: 1000 * time.Hour}, utc{})
	s := newSite(t, targets, WithMetering(counter))
	table := testTable()
	table.Accounts = map[string]Account{"key-1": {Name: "harbour"}}
	s.gateway.SetTable(table)
	return s, counter
}

// counted returns how many requests of the account began.
func counted(c *metering.Counter) uint64 {
	var n uint64
	for _, row := range c.Report(true) {
		n += row.Count
	}
	return n
}

func (s *site) call(t *testing.T, path string, headers ...string) {
	t.Helper()
	answer, err := http.DefaultClient.Do(s.request(t, "POST", path, "x", append(headers, "X-Key", "key-1")...))
	if err != nil {
		return
	}
	defer answer.Body.Close()
	io.Copy(io.Discard, answer.Body)
}

func turningAway(_ *fakeTarget, r *http.Request, c net.Conn) {
	reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
}

func TestRequestsThatBeginAreMetered(t *testing.T) {
	for name, c := range map[string]struct {
		script func(*fakeTarget, *http.Request, net.Conn)
		want   uint64
	}{
		"served":             {serving, 1},
		"failed by a target": {failing, 1},
		"turned away":        {turningAway, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, counter := newMeteredSite(t, newFakeTarget(t, "i-1", "lookup", "north", c.script))
			s.call(t, "/once/1")
			require.Equal(t, c.want, counted(counter))
		})
	}
}

// A safe request that one target fails and another serves is one request.
func TestRepeatIsMeteredOnce(t *testing.T) {
	s, counter := newMeteredSite(t, newFakeTarget(t, "i-1", "lookup", "north", failing), newFakeTarget(t, "i-2", "lookup", "north", serving))
	for range 4 {
		s.call(t, "/safe/1")
	}
	require.EqualValues(t, 4, counted(counter))
}

func TestStreamIsMeteredAtItsFirstEvent(t *testing.T) {
	goOn := make(chan struct{})
	target := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "s")
		<-goOn
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
	require.Zero(t, counted(counter), "nothing has come yet")
	close(goOn)
	<-done
	require.EqualValues(t, 1, counted(counter))
	s.call(t, "/draft/1", "X-Last", "1")
	require.EqualValues(t, 1, counted(counter), "it began before")
}

// A request that waited at its target is counted when it began, not when it
// was sent.
func TestWaitingIsNoWork(t *testing.T) {
	var e exchanges
	const work, wait = 15 * time.Millisecond, 400 * time.Millisecond
	require.Equal(t, work, e.working("r", work))
	for range 20 {
		require.InDelta(t, work, e.working("r", work+wait), float64(4*time.Millisecond))
	}
	require.Equal(t, work, e.working("r", work))
	slower := 3 * work
	for range 200 {
		e.working("r", slower)
	}
	require.Equal(t, slower, e.working("r", slower))
}
