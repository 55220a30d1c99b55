package consensus

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Simultaneous candidates must not cause a second election that deposes the
// leader which has just won.
func TestLeaderLossCausesOneElection(t *testing.T) {
	const (
		oneWayDelay = 12 * time.Millisecond
		trials      = 60
		maxDelay    = time.Second // maximum time to the next acknowledged proposal
	)
	terms, longest := 0, time.Duration(0)
	for seed := range uint64(trials) {
		inCluster(t, 6, seed, oneWayDelay, func(t *testing.T, c *cluster) {
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
	t.Logf("%d trials: %.2f terms per leader loss, longest time to an acknowledged proposal %v", trials, float64(terms)/trials, longest)
	require.Less(t, longest, maxDelay)
	require.LessOrEqual(t, float64(terms)/trials, 1.05, "terms per leader loss")
}

// A leader resumed from suspension must step down before it hears of its
// successor.
func TestLeaderStepsDownAfterSuspension(t *testing.T) {
	inCluster(t, 3, 1, time.Millisecond, func(t *testing.T, c *cluster) {
		old := c.awaitLeader()
		term := old.Status().Term
		t.Cleanup(uptime.Pretend(5 * time.Second))
		time.Sleep(old.electionTimeout())
		require.False(t, old.Leads() && old.Status().Term == term)
		c.awaitLeader()
	})
}
