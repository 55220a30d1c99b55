package consensus

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// During leadership transfers every proposal is either committed or rejected
// with CodeNoLeader, so that it can be retried; none has an unknown outcome.
func TestTransferLosesNoAcknowledgement(t *testing.T) {
	const (
		oneWayDelay = 12 * time.Millisecond
		maxLatency  = 250 * time.Millisecond // maximum latency of a proposal
	)
	inCluster(t, 6, 1, oneWayDelay, func(t *testing.T, c *cluster) {
		c.awaitLeader()
		var longest atomic.Int64
		ctx, stop := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		defer callers.Wait()
		defer stop()
		for range 4 {
			callers.Go(func() {
				for ctx.Err() == nil {
					longest.Store(max(longest.Load(), int64(c.proposeUntilAcknowledged(t))))
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			old := c.awaitLeader()
			term := old.Status().Term
			require.True(t, old.TransferLeadership(t.Context()))
			require.False(t, old.Leads())
			require.Eventually(t, func() bool { m := c.leader(); return m != nil && m != old }, time.Second, time.Millisecond)
			require.Equal(t, term+1, c.leader().Status().Term, "one election")
		}
		stop()
		callers.Wait()
		t.Logf("longest proposal %v", time.Duration(longest.Load()))
		require.Less(t, time.Duration(longest.Load()), maxLatency)
	})
}

// proposeUntilAcknowledged retries a proposal until it is committed and returns
// the total latency. No attempt may have an unknown outcome.
func (c *cluster) proposeUntilAcknowledged(t *testing.T) time.Duration {
	began := time.Now()
	for {
		m := c.leader()
		if m == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		switch code := m.Propose(t.Context(), []byte("command")).Code; code {
		case walnutramp.CodeOK:
			return time.Since(began)
		default:
			require.Equal(t, walnutramp.CodeNoLeader, code)
			time.Sleep(time.Millisecond)
		}
	}
}

// Of the up-to-date followers, the one with the shortest round trip takes over.
func TestTransferPrefersNearestMember(t *testing.T) {
	inCluster(t, 6, 2, time.Millisecond, func(t *testing.T, c *cluster) {
		old := c.awaitLeader()
		near := c.names[0]
		if near == old.node {
			near = c.names[1]
		}
		c.mu.Lock()
		c.delay = func(from, to walnutramp.NodeName) time.Duration {
			if from == near || to == near {
				return time.Millisecond
			}
			return 12 * time.Millisecond
		}
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		require.True(t, old.TransferLeadership(t.Context()))
		require.Equal(t, near, c.awaitLeader().node)
	})
}

// After a failed transfer the leader keeps leading and accepts proposals.
func TestFailedTransferKeepsLeader(t *testing.T) {
	inCluster(t, 3, 3, time.Millisecond, func(t *testing.T, c *cluster) {
		old := c.awaitLeader()
		c.mu.Lock()
		c.drop = func(_, _ walnutramp.NodeName, method string) bool { return method == Service+".TimeoutNow" }
		c.mu.Unlock()
		require.False(t, old.TransferLeadership(t.Context()))
		require.True(t, old.Leads())
		require.Equal(t, walnutramp.CodeOK, old.Propose(t.Context(), []byte("command")).Code)
	})
}

// A TimeoutNow request of a former leader is rejected.
func TestTimeoutNowOfFormerLeaderIsRejected(t *testing.T) {
	inCluster(t, 3, 4, time.Millisecond, func(t *testing.T, c *cluster) {
		old := c.awaitLeader()
		term := old.Status().Term
		require.True(t, old.TransferLeadership(t.Context()))
		next := c.awaitLeader()
		for _, name := range c.names {
			var reply TimeoutNowReply
			args := TimeoutNowArgs{Term: term, Leader: old.node, To: Founder}
			require.NoError(t, c.member(name).Handler().TimeoutNow(args, &reply))
			require.False(t, reply.Taken)
		}
		time.Sleep(time.Second)
		require.Equal(t, next.node, c.leader().node)
	})
}
