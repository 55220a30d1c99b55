package gateway

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// An operator must be able to tell why streams are cut off.
func TestStreamsCutOffAreCountedByReason(t *testing.T) {
	for why, c := range map[endReason]struct {
		deadlineMS int64
		prepare    func(*testSite)
		disrupt    func(s *testSite, target net.Conn) // before the third event
	}{
		endNoTarget: {9000, func(*testSite) {}, func(s *testSite, target net.Conn) {
			s.tracker.Update(nil)
			target.Close()
		}},
		endNoRetry:   {9000, func(s *testSite) { spendBudget(s.gateway) }, func(_ *testSite, target net.Conn) { target.Close() }},
		endNoAttempt: {9000, func(s *testSite) { allowRuns(s, 1) }, func(_ *testSite, target net.Conn) { target.Close() }},
		endDeadline:  {300, func(*testSite) {}, func(*testSite, net.Conn) {}},
	} {
		t.Run(string(why), func(t *testing.T) {
			t.Parallel()
			var s *testSite
			script := draft(func(_ *fakeTarget, target net.Conn, n int) bool {
				if n == 3 {
					c.disrupt(s, target)
				}
				return n < 3
			})
			s = newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script)})
			c.prepare(s)
			_, _, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", fmt.Sprint(c.deadlineMS)))
			require.Error(t, err)
			require.Contains(t, s.metrics(), fmt.Sprintf("walnutramp_gateway_streams_cut_off_total{why=%q} 1\n", why))
		})
	}
}
