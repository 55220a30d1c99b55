package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// A partitioned member costs a timeout per request, so it must not be asked twice
// in a row, even if another member still names it as the leader.
func TestFailedNodeIsNotAskedNext(t *testing.T) {
	c := NewDocumentClient(nil, []walnutramp.NodeName{"a", "b", "c"}, nil)
	defer c.Close()
	for range 50 {
		failed := c.target()
		c.dropLeader("")
		next := c.target()
		require.NotEqual(t, failed, next)
		c.dropLeader(failed) // from a member that has not learned of the new leader
		require.NotEqual(t, failed, c.leader)
		require.NotEqual(t, next, c.target())
		c.dropLeader("")
	}
	alone := NewDocumentClient(nil, []walnutramp.NodeName{"a"}, nil)
	defer alone.Close()
	alone.target()
	alone.dropLeader("")
	require.Equal(t, walnutramp.NodeName("a"), alone.target())
}
