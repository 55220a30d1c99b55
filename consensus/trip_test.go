package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// Between members 150 ms apart (one way), lost heartbeats must not end the leader's term.
func TestDistantMembersKeepLeader(t *testing.T) {
	const (
		observedFor = 2 * time.Minute
		lossEvery   = 7 // one in this many Append messages is lost
	)
	inCluster(t, 5, 1, 150*time.Millisecond, func(t *testing.T, c *cluster) {
		c.awaitLeader()
		time.Sleep(5 * time.Second)
		n := 0
		c.mu.Lock()
		c.drop = func(_, _ walnutramp.NodeName, method string) bool {
			n++
			return method == Service+".Append" && n%lossEvery == 0
		}
		c.mu.Unlock()
		leader := c.awaitLeader()
		term := leader.Status().Term
		time.Sleep(observedFor)
		require.Equal(t, term, c.awaitLeader().Status().Term, "the leader was deposed")
		for _, m := range c.members {
			require.Equal(t, maxElectionTimeout, m.electionTimeout(), "all members use the leader's timeout")
		}
	})
}

// Members up to 12 ms apart (one way) keep the configured election timeout: electionRTTs
// round trips stay below it.
func TestNearbyMembersKeepConfiguredTimeout(t *testing.T) {
	for _, oneWayDelay := range []time.Duration{time.Millisecond, 12 * time.Millisecond} {
		inCluster(t, 6, 1, oneWayDelay, func(t *testing.T, c *cluster) {
			leader := c.awaitLeader()
			time.Sleep(5 * time.Second)
			for _, m := range c.members {
				require.Equal(t, testElection, m.electionTimeout())
			}
			for _, trip := range leader.RoundTrips() {
				require.InDelta(t, 2*oneWayDelay, trip, float64(time.Millisecond))
			}
		})
	}
}
