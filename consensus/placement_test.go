package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// Of three members close to each other and two remote ones, one of the three
// becomes leader by a single transfer and stays leader.
func TestLeadershipMovesToBestPlacedMember(t *testing.T) {
	const far = 30 * time.Millisecond
	inCluster(t, 5, 1, time.Millisecond, func(t *testing.T, c *cluster) {
		near := c.names[:3]
		c.mu.Lock()
		c.delay = func(from, to walnutramp.NodeName) time.Duration {
			if slices.Contains(near, from) && slices.Contains(near, to) {
				return time.Millisecond
			}
			return far
		}
		c.mu.Unlock()
		first := c.awaitLeader()
		if first.node != c.names[4] {
			require.True(t, first.transferTo(t.Context(), c.names[4]))
		}
		first = c.awaitLeader()
		require.Equal(t, c.names[4], first.node)
		term := first.Status().Term
		time.Sleep(betterDuration + 3*pingInterval)
		next := c.awaitLeader()
		require.Contains(t, near, next.node)
		require.Equal(t, term+1, next.Status().Term)
		time.Sleep(3 * transferInterval)
		require.Equal(t, next.node, c.awaitLeader().node)
		require.Equal(t, term+1, next.Status().Term, "no further transfer")
		require.Equal(t, uint64(1), c.member(c.names[4]).Stats().PlacementTransfers)
		require.Zero(t, c.member(c.names[4]).Stats().Deposed)
	})
}

// With equal quorum round trips no transfer takes place.
func TestLeadershipStaysWithEqualPlacement(t *testing.T) {
	inCluster(t, 6, 1, time.Millisecond, func(t *testing.T, c *cluster) {
		region := map[walnutramp.NodeName]int{}
		for i, name := range c.names {
			region[name] = i % 3
		}
		c.mu.Lock()
		c.delay = func(from, to walnutramp.NodeName) time.Duration {
			if region[from] == region[to] {
				return 1400 * time.Microsecond
			}
			return 12 * time.Millisecond
		}
		c.mu.Unlock()
		leader := c.awaitLeader()
		term := leader.Status().Term
		time.Sleep(2 * transferInterval)
		require.Equal(t, leader.node, c.awaitLeader().node)
		require.Equal(t, term, leader.Status().Term)
	})
}
