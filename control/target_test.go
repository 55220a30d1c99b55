package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// A member that is cut off in silence costs a time-out each time it is asked,
// so it is not asked twice in a row, even if another still takes it for the
// leader.
func TestWhoWasAskedInVainIsNotAskedNext(t *testing.T) {
	c := NewDocumentClient(nil, []walnutramp.NodeName{"a", "b", "c"}, nil)
	defer c.Close()
	for range 50 {
		silent := c.target()
		c.forgetLeader("")
		other := c.target()
		require.NotEqual(t, silent, other)
		c.forgetLeader(silent) // it has not heard of the new leader yet
		require.NotEqual(t, silent, c.leader)
		require.NotEqual(t, other, c.target())
		c.forgetLeader("")
	}
	alone := NewDocumentClient(nil, []walnutramp.NodeName{"a"}, nil)
	defer alone.Close()
	alone.target()
	alone.forgetLeader("")
	require.Equal(t, walnutramp.NodeName("a"), alone.target())
}
