package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A stop whose steps outlast its grace is killed with requests under way.
func TestStopKeepsWithinItsGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		times := stopTimesOf(grace)
		require.LessOrEqual(t, times.closing, times.refuse, grace)
		require.LessOrEqual(t, times.refuse, times.end, grace)
		require.LessOrEqual(t, times.end, grace)
	}
	require.Equal(t, stopTimes{closing: stopClosing, refuse: stopRefuse, end: 8*time.Second - stopReserve}, stopTimesOf(8*time.Second))
	require.Less(t, stopTimesOf(3*time.Second).refuse, 2500*time.Millisecond)
}
