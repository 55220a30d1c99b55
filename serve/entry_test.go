package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A shutdown that outlasts its grace period is killed with requests in flight.
func TestShutdownScheduleFitsGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		schedule := newShutdownSchedule(grace)
		require.LessOrEqual(t, schedule.closeConns, schedule.reject, grace)
		require.LessOrEqual(t, schedule.reject, schedule.deadline, grace)
		require.LessOrEqual(t, schedule.deadline, grace)
		require.LessOrEqual(t, schedule.reject, schedule.deadline-schedule.early(100000), grace)
		require.Zero(t, schedule.early(0), grace)
		require.LessOrEqual(t, grace-schedule.deadline+schedule.early(100000), max(grace/6, killMargin), "requests are ended before the last sixth of %s", grace)
	}
	require.Equal(t, shutdownSchedule{closeConns: connCloseDelay, reject: rejectDelay, deadline: 8*time.Second - killMargin, maxEarly: 8*time.Second/6 - killMargin}, newShutdownSchedule(8*time.Second))
	require.Less(t, newShutdownSchedule(3*time.Second).reject, 2500*time.Millisecond)
}
