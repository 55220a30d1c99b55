package consensus

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Members 12 ms apart often campaign at the same moment. One that had asked
// for an election in a term, and voted for another there before it campaigned
// itself, went on in the next term and deposed the leader that had just won.
func TestOneElectionFollowsALostLeader(t *testing.T) {
	const (
		oneWay  = 12 * time.Millisecond
		trials  = 60
		patient = time.Second // for the next acknowledgement
	)
	terms, longest := 0, time.Duration(0)
	for seed := range uint64(trials) {
		inCluster(t, 6, seed, oneWay, func(t *testing.T, c *cluster) {
			old := c.awaitLeader()
			before := old.Status().Term
			c.kill(old.node)
			killed := time.Now()
			for {
				m := c.leader()
				if m != nil && m.Propose(context.Background(), []byte("next")).Code == walnutramp.CodeOK {
					terms += int(m.Status().Term - before)
					break
				}
				time.Sleep(time.Millisecond)
			}
			longest = max(longest, time.Since(killed))
		})
	}
	t.Logf("%d trials: %.2f terms for each lost leader, acknowledged after %v at the latest", trials, float64(terms)/trials, longest)
	require.Less(t, longest, patient)
	require.LessOrEqual(t, float64(terms)/trials, 1.05, "terms for each lost leader")
}

// A leader whose machine was suspended takes itself for one no longer when it
// wakes, before it has heard of the next.
func TestLeaderStepsDownAfterASuspension(t *testing.T) {
	inCluster(t, 3, 1, time.Millisecond, func(t *testing.T, c *cluster) {
		old := c.awaitLeader()
		term := old.Status().Term
		t.Cleanup(uptime.Pretend(5 * time.Second))
		time.Sleep(old.electionTimeout())
		require.False(t, old.Leads() && old.Status().Term == term)
		c.awaitLeader()
	})
}
