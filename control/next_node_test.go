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
		failed := c.nextNode()
		c.switchNode("")
		next := c.nextNode()
		require.NotEqual(t, failed, next)
		c.switchNode(failed) // a hint from a member that has not learned of the new leader
		require.NotEqual(t, failed, c.leader)
		require.NotEqual(t, next, c.nextNode())
		c.switchNode("")
	}
	alone := NewDocumentClient(nil, []walnutramp.NodeName{"a"}, nil)
	defer alone.Close()
	alone.nextNode()
	alone.switchNode("")
	require.Equal(t, walnutramp.NodeName("a"), alone.nextNode())
}
