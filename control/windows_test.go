package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/metering"
)

// applyClose applies commands as the log hands them over.
func applyClose(s *State, commands ...CloseWindow) {
	for i, c := range commands {
		text, err := msgpack.Marshal(Command{Close: &c})
		if err != nil {
			panic(err)
		}
		s.Apply(uint64(i+1), text)
	}
}

func counts(n uint64) metering.Counts { return metering.Counts{"a": n} }

func TestWindowIsClosedOnce(t *testing.T) {
	s := NewState()
	applyClose(s, CloseWindow{Window: 7, Counts: counts(9)})
	require.Empty(t, s.usageWindows().Untold, "metering has not begun")
	require.Zero(t, s.newestClosed())
	applyClose(s,
		CloseWindow{Window: 6, Begins: true},
		CloseWindow{Window: 90, Begins: true}, // of a leader that did not know of the first
		CloseWindow{Window: 8, Counts: counts(9)},
		CloseWindow{Window: 7, Counts: counts(1)},
		CloseWindow{Window: 7, Counts: counts(2)}, // of a leader that was late
		CloseWindow{Window: 8})
	want := windows{Next: 9, Told: 6, Untold: []ClosedWindow{{7, counts(1)}, {8, nil}}}
	require.Equal(t, want, s.usageWindows())

	restored := NewState()
	require.NoError(t, restored.Restore(s.Snapshot()))
	require.Equal(t, want, restored.usageWindows(), "snapshots hold the windows")

	applyClose(s, CloseWindow{Window: 9, Counts: counts(3), Told: 7}, CloseWindow{Told: 6}, CloseWindow{Told: 70})
	require.Equal(t, windows{Next: 10, Told: 7, Untold: []ClosedWindow{{8, nil}, {9, counts(3)}}}, s.usageWindows())
	require.EqualValues(t, 9, s.newestClosed())
}

func TestWindowsThatNobodyCanBeToldOfAreBounded(t *testing.T) {
	s := NewState()
	applyClose(s, CloseWindow{Window: 1, Begins: true})
	for w := metering.Window(2); w < mostUntold+50; w++ {
		applyClose(s, CloseWindow{Window: w, Counts: counts(uint64(w))})
	}
	w := s.usageWindows()
	require.Len(t, w.Untold, mostUntold)
	require.Equal(t, w.Told+1, w.Untold[0].Window)
}

func TestSnapshotWithoutMetering(t *testing.T) {
	s := NewState()
	restored := NewState()
	require.NoError(t, restored.Restore(s.Snapshot()))
	require.Equal(t, windows{}, restored.usageWindows())
}
