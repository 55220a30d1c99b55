package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// Members 150 ms apart answer a heartbeat after 300 ms. With an election
// timeout of 400 ms, and one message of heartbeats lost in seven, 11 leaders
// followed each other within two minutes.
func TestFarMembersKeepTheirLeader(t *testing.T) {
	const (
		watched   = 2 * time.Minute
		lossEvery = 7 // messages of heartbeats
	)
	inCluster(t, 5, 1, 150*time.Millisecond, func(t *testing.T, c *cluster) {
		c.awaitLeader()
		time.Sleep(5 * time.Second)
		n := 0
		c.mu.Lock()
		c.lost = func(_, _ walnutramp.NodeName, method string) bool {
			n++
			return method == Service+".Append" && n%lossEvery == 0
		}
		c.mu.Unlock()
		leader := c.awaitLeader()
		term := leader.Status().Term
		time.Sleep(watched)
		require.Equal(t, term, c.awaitLeader().Status().Term, "the leader was deposed")
		for _, m := range c.members {
			require.Equal(t, maxElection, m.electionTimeout(), "all go by the leader's figure")
		}
	})
}

// Members of one region, or of regions 12 ms apart, keep the configured timeout.
func TestNearMembersKeepTheConfiguredTimeout(t *testing.T) {
	for _, oneWay := range []time.Duration{time.Millisecond, 12 * time.Millisecond} {
		inCluster(t, 6, 1, oneWay, func(t *testing.T, c *cluster) {
			leader := c.awaitLeader()
			time.Sleep(5 * time.Second)
			for _, m := range c.members {
				require.Equal(t, testElection, m.electionTimeout())
			}
			for _, trip := range leader.Trips() {
				require.InDelta(t, 2*oneWay, trip, float64(time.Millisecond))
			}
		})
	}
}
