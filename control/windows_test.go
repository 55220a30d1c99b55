package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/metering"
)

// applyCloseWindows applies encoded commands.
func applyCloseWindows(s *State, commands ...CloseWindow) {
	for i, c := range commands {
		text, err := msgpack.Marshal(Command{Close: &c})
		if err != nil {
			panic(err)
		}
		s.Apply(uint64(i+1), text)
	}
}

func counts(n uint64) metering.Counts { return metering.Counts{"a": n} }

func TestWindowClosesOnce(t *testing.T) {
	s := NewState()
	applyCloseWindows(s, CloseWindow{Window: 7, Counts: counts(9)})
	require.Empty(t, s.usageWindows().Untold, "metering has not started")
	require.Zero(t, s.newestClosed())
	applyCloseWindows(s,
		CloseWindow{Window: 6, Begins: true},
		CloseWindow{Window: 90, Begins: true}, // from a leader that missed the first
		CloseWindow{Window: 8, Counts: counts(9)},
		CloseWindow{Window: 7, Counts: counts(1)},
		CloseWindow{Window: 7, Counts: counts(2)}, // from a late leader
		CloseWindow{Window: 8})
	want := windows{Next: 9, Told: 6, Untold: []ClosedWindow{{7, counts(1)}, {8, nil}}}
	require.Equal(t, want, s.usageWindows())

	restored := NewState()
	require.NoError(t, restored.Restore(s.Snapshot()))
	require.Equal(t, want, restored.usageWindows(), "restored from a snapshot")

	applyCloseWindows(s, CloseWindow{Window: 9, Counts: counts(3), Told: 7}, CloseWindow{Told: 6}, CloseWindow{Told: 70})
	require.Equal(t, windows{Next: 10, Told: 7, Untold: []ClosedWindow{{8, nil}, {9, counts(3)}}}, s.usageWindows())
	require.EqualValues(t, 9, s.newestClosed())
}

func TestUnreportedWindowsAreBounded(t *testing.T) {
	s := NewState()
	applyCloseWindows(s, CloseWindow{Window: 1, Begins: true})
	for w := metering.Window(2); w < maxUnreported+50; w++ {
		applyCloseWindows(s, CloseWindow{Window: w, Counts: counts(uint64(w))})
	}
	w := s.usageWindows()
	require.Len(t, w.Untold, maxUnreported)
	require.Equal(t, w.Told+1, w.Untold[0].Window)
}

func TestSnapshotWithoutMetering(t *testing.T) {
	s := NewState()
	restored := NewState()
	require.NoError(t, restored.Restore(s.Snapshot()))
	require.Equal(t, windows{}, restored.usageWindows())
}
