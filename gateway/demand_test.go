package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/fleet"
)

func TestDemandCountsNewRequestsOfScaledServices(t *testing.T) {
	engine := newFakeTarget(t, "i-1", "draft", "north", draft(nil))
	plain := newFakeTarget(t, "i-2", "lookup", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "found")
	})
	s := newTestSite(t, []*fakeTarget{engine, plain})
	table := testTable()
	scaled := table.Services["draft"]
	scaled.Scaling = &fleet.Scaling{Min: 1, Max: 2}
	table.Services["draft"] = scaled
	s.gateway.SetTable(table)
	for _, headers := range [][]string{{"X-Usage", "100,60"}, {"X-Usage", "300,20"}, {"X-Usage", "100,60", "X-Last", "3"}} {
		_, _, err := do(t, s.request(t, "POST", "/draft/", "prompt", headers...))
		require.NoError(t, err)
	}
	_, _, err := do(t, s.request(t, "GET", "/safe/", ""))
	require.NoError(t, err)
	rows := s.gateway.Demand()
	require.Len(t, rows, 1, "only scaled services are reported")
	require.Equal(t, "draft", rows[0].Service)
	require.EqualValues(t, 2, rows[0].Requests, "a resumed request is not counted")
	require.EqualValues(t, 400, rows[0].Read)
	require.EqualValues(t, 40, rows[0].Write)
	require.Greater(t, rows[0].RunMS, rows[0].ReadMS)
	require.NotZero(t, rows[0].HoldMS)
}

// Spot targets of one data hall are reclaimed together.
func TestSpotTargetsOfOneHallHoldNoCopiesForEachOther(t *testing.T) {
	script := draft(nil)
	var targets []*fakeTarget
	for _, id := range []string{"i-1", "i-2"} {
		targets = append(targets, newFakeTarget(t, id, "draft", "north", script))
	}
	s := newTestSite(t, targets)
	run := func() string {
		_, _, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Usage", "100,60", "X-Prefix", "part-1"))
		require.NoError(t, err)
		for _, f := range targets {
			if seen := f.seen(); len(seen) > 0 {
				return seen[len(seen)-1].Header.Get("X-Copy-To")
			}
		}
		return ""
	}
	require.NotEmpty(t, run(), "on-demand targets of one hall hold copies for each other")
	list := listed(targets)
	for i := range list {
		list[i].Spot = true
	}
	s.tracker.Update(list)
	require.Empty(t, run())
}
