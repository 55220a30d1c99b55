package loadshare

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// spendAll takes all repeats that a node may take now, and returns how many.
func (n *siteNode) spendAll() int {
	b := n.budgets.Of("s")
	for spent := 0; ; spent++ {
		if _, ok := b.Spend(); !ok {
			return spent
		}
	}
}

// One node needs more repeats than it has: peers lend theirs, each once. Where half of the
// datagrams are lost and nodes are gone, fewer come, and never more than there are.
func TestNodesLendRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, each = 8, 10
		s := newSite(t, nodes, 2)
		defer s.close()
		time.Sleep(settleTime)
		needs := s.nodes[0]
		spent := needs.spendAll()
		require.Equal(t, each, spent)
		for vain := 0; vain < 5; vain++ {
			for needs.Borrow(t.Context(), "s") {
				spent += needs.spendAll()
				vain = 0
			}
			time.Sleep(borrowRest)
		}
		require.Equal(t, nodes*each, spent, "all that the site has")
		for _, n := range s.nodes[1:] {
			require.Zero(t, n.spendAll(), "it was lent")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 8, 2)
		defer s.close()
		time.Sleep(settleTime)
		s.cutOff(s.nodes[1])
		s.network.mu.Lock()
		lost, before := 0, s.network.drop
		s.network.drop = func(from, to string) bool { lost++; return lost%2 == 0 || before(from, to) }
		s.network.mu.Unlock()
		spent := 0
		for range 200 {
			s.nodes[0].Borrow(t.Context(), "s")
			spent += s.nodes[0].spendAll()
			time.Sleep(20 * time.Millisecond)
		}
		for _, n := range s.nodes[1:] {
			spent += n.spendAll()
		}
		require.Greater(t, spent, 40)
		require.LessOrEqual(t, spent, 80)
	})
}

// A call that finds nobody who lends gives up soon, and the next ones at once for a while.
func TestBorrowingInVainIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 8, 2)
		defer s.close()
		time.Sleep(settleTime)
		for _, n := range s.nodes {
			n.spendAll()
		}
		began := time.Now()
		require.False(t, s.nodes[0].Borrow(t.Context(), "s"))
		require.Less(t, time.Since(began), 2*borrowWait)
		sent := s.nodes[0].Stats().Datagrams
		require.False(t, s.nodes[0].Borrow(t.Context(), "s"))
		require.Equal(t, sent, s.nodes[0].Stats().Datagrams, "nobody is asked")
		for _, n := range s.nodes[1:] {
			s.cutOff(n)
		}
		time.Sleep(borrowRest)
		began = time.Now()
		require.False(t, s.nodes[0].Borrow(t.Context(), "s"))
		require.LessOrEqual(t, time.Since(began), (borrowTries+1)*borrowWait)
	})
}
