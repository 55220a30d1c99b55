package gateway

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/topology"
)

// twoRegions has north and south in one region, and west and east in another.
var twoRegions = topology.New("north", map[string]string{"north": "one", "south": "one", "west": "other", "east": "other"})

// metrics returns the gateway's metrics in text format.
func (s *testSite) metrics() string {
	var text bytes.Buffer
	s.gateway.WriteMetrics(&text)
	return text.String()
}

func answerWithID(f *fakeTarget, r *http.Request, c net.Conn) {
	reply(c, r.Header.Get("X-Id"), 200, "from "+f.id)
}

func TestLookupStaysInItsRegion(t *testing.T) {
	south := newFakeTarget(t, "i-1", "lookup", "south", answerWithID)
	west := newFakeTarget(t, "i-2", "lookup", "west", answerWithID)
	s := newTestSiteWithRegions(t, twoRegions, []*fakeTarget{west, south})
	for range 5 {
		_, body, err := do(t, s.request(t, "GET", "/safe/x", ""))
		require.NoError(t, err)
		require.Equal(t, "from i-1", body)
	}
	require.NotContains(t, s.metrics(), "walnutramp_gateway_region_requests_total")
}

func TestLookupIsRetriedInAnotherRegion(t *testing.T) {
	south := newFakeTarget(t, "i-1", "lookup", "south", func(_ *fakeTarget, r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 500, "") })
	west := newFakeTarget(t, "i-2", "lookup", "west", answerWithID)
	s := newTestSiteWithRegions(t, twoRegions, []*fakeTarget{west, south})
	_, body, err := do(t, s.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, "from i-2", body)
	require.Contains(t, s.metrics(), `walnutramp_gateway_region_requests_total{from="one",to="other",why="no-room"} 1`)
}

// An engine is lost during a stream whose copy is held in another region.
func TestStreamResumesFromItsCopyInAnotherRegion(t *testing.T) {
	first := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 4 {
			c.Close()
			return false
		}
		return true
	}))
	south := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	holder := newFakeTarget(t, "i-3", "draft", "west", draft(nil))
	s := newTestSiteWithRegions(t, twoRegions, []*fakeTarget{south, holder, first}, WithStall(10*time.Second))
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-1"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.NotEmpty(t, holder.seen()[0].Header.Get("X-Copy-From"))
	require.Empty(t, south.seen())
	require.Contains(t, s.metrics(), `walnutramp_gateway_region_requests_total{from="one",to="other",why="copy"} 1`)
	require.Contains(t, s.metrics(), `walnutramp_gateway_region_copies_total{from="one",to="other"} 1`)
}

// All engines of the region stall during a stream: it must resume in another region.
func TestStreamResumesInAnotherRegion(t *testing.T) {
	stall := func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 4 {
			time.Sleep(3 * time.Second)
			return false
		}
		return true
	}
	first := newFakeTarget(t, "i-1", "draft", "north", draft(stall))
	holder := newFakeTarget(t, "i-2", "draft", "south", func(*fakeTarget, *http.Request, net.Conn) { time.Sleep(3 * time.Second) })
	west := newFakeTarget(t, "i-3", "draft", "west", draft(nil))
	s := newTestSiteWithRegions(t, twoRegions, []*fakeTarget{west, holder, first}, WithStall(200*time.Millisecond), WithFirstEvent(200*time.Millisecond))
	began := time.Now()
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-1"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Len(t, west.seen(), 1)
	require.Contains(t, s.metrics(), `walnutramp_gateway_region_requests_total{from="one",to="other"`)
}
