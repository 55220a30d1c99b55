package loadshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that starts with its clock behind its predecessor's must be heard once that is
// silent; late messages of a process must not.
func TestReportsOfAProcessWhoseClockIsBehind(t *testing.T) {
	began := time.Now()
	s := &sender{}
	require.False(t, s.outdated(message{Sequence: 1000, Full: true}, began))
	s.apply(message{Sequence: 1000, Full: true, Runs: []run{{Number: 1}}}, began)
	require.True(t, s.outdated(message{Sequence: 1000, Full: true}, began.Add(time.Millisecond)), "doubled")
	require.True(t, s.outdated(message{Sequence: 999, Full: true}, began.Add(sameHallPacing.fullInterval)), "late")
	require.True(t, s.outdated(message{Sequence: 999, Full: true}, began.Add(otherHallPacing.fullInterval)), "late")

	restarted := began.Add(restartWait + time.Millisecond)
	require.True(t, s.outdated(message{Sequence: 10}, restarted), "only a full report replaces the runs of the process before")
	require.False(t, s.outdated(message{Sequence: 10, Full: true}, restarted))
	require.Empty(t, s.apply(message{Sequence: 10, Full: true}, restarted))
	require.False(t, s.outdated(message{Sequence: 11}, restarted.Add(time.Millisecond)))
}
