package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHallThatFallsSilentIsKnownBySome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(append(listed("s", "north", "1", "2", "3", "4", "5", "6", "7", "8"), listed("s", "south", "9")...)...)
		woken := 0
		tracker.OnSilence(func() { woken++ })
		began := time.Now()
		time.Sleep(time.Second)
		last, far := tracker.byID["8"], tracker.byID["9"]
		tracker.byID["1"].FellSilent(false)
		require.False(t, last.SilentSince(began), "one of eight may have put its run back")
		require.False(t, tracker.byID["1"].SilentSince(began))
		tracker.SetSilent([]string{"2", "unknown"})
		require.True(t, last.SilentSince(began))
		require.False(t, far.SilentSince(began), "the other data hall is sound")
		require.False(t, last.SilentSince(time.Now()), "a run that began later knew of it")
		require.Equal(t, 2, woken)
		require.Equal(t, []string{"1"}, tracker.SilentTargets(), "hearsay is not passed on")

		last.Told(Load{})
		require.False(t, last.SilentSince(began), "it was heard")
		time.Sleep(2 * hallDoubtTime)
		require.Empty(t, tracker.SilentTargets())
	})
}

func TestDarkTargetIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2", "3", "4")...)
		began := time.Now()
		time.Sleep(time.Second)
		tracker.byID["1"].FellSilent(true)
		require.True(t, tracker.byID["1"].SilentSince(began))
		require.False(t, tracker.byID["2"].SilentSince(began))
	})
}
