package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
)

// startedAt returns targets with the given start times.
func startedAt(born map[string]int64) []discovery.Target {
	list := targetList("s", "north", "1", "2")
	for i := range list {
		list[i].Born = born[list[i].ID]
	}
	return list
}

// Nothing known of a target, by this node or its peers, may apply to its next
// incarnation.
func TestNoStateCrossesIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(startedAt(map[string]int64{"1": 1000, "2": 1000})...)
		before := tracker.byID["1"]
		run := before.Begin(Work{PrefillTokens: 90000, MemoryTokens: 90000}, Trace{Key: "k", Copy: tracker.byID["2"].Incarnation(), CopyName: "c"})
		run.FirstEvent()
		tracker.SetPeerRuns("n2", []RunReport{{Target: "1@1000", PendingTokens: 90000, MemoryTokens: 90000}})
		require.Equal(t, "2", tracker.Pick(choice(8000)).ID)
		before.RecordFailure()
		tracker.byID["2"].RecordEvent()
		require.Equal(t, []string{"1@1000"}, tracker.Suspects())

		removed := tracker.Update(startedAt(map[string]int64{"1": 2000, "2": 1000}))
		require.Equal(t, []string{"1@1000"}, removed, "its connections are closed")
		now := tracker.byID["1"]
		require.NotSame(t, before, now)
		require.True(t, before.Lost())
		require.False(t, now.Lost(), "no suspicion carries over")
		require.True(t, now.Usable(), "it is available at once")
		require.Empty(t, tracker.Suspects())
		require.Zero(t, now.occupancy)
		require.Nil(t, tracker.prefilledAt(Choice{Service: "s", Key: "k"}, time.Now()), "it has not prefilled that prompt")

		// Late reports of the old incarnation are ignored.
		tracker.SetEnded([]string{"1@1000", "1"})
		tracker.SetSuspects([]string{"1@1000"})
		tracker.SetUnresponsive([]string{"1@1000"})
		tracker.SetPeerRuns("n2", []RunReport{{Target: "1@1000", PendingTokens: 90000, MemoryTokens: 90000}})
		require.True(t, now.Usable())
		require.False(t, now.Lost())
		require.Zero(t, now.occupancy)
		require.Equal(t, []string{""}, tracker.Incarnations([]uint32{tracker.shortOf("1@1000")}))

		// Reports of the new one are applied.
		tracker.SetEnded([]string{"1@2000"})
		require.False(t, now.Usable())
	})
}

func (t *Tracker) shortOf(incarnation string) uint32 {
	for short, target := range t.byShortName {
		if target.incarnation == incarnation {
			return short
		}
	}
	return 0
}

func TestCopyOfAnOldIncarnationIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := StreamID{Content: 1, Attempt: 1}
		tracker := newTracker(startedAt(map[string]int64{"1": 1000, "2": 1000})...)
		run := tracker.byID["1"].Begin(Work{PrefillTokens: 8000, MemoryTokens: 8000}, Trace{Key: "k", Stream: stream, Copy: "2@1000", CopyName: "c"})
		run.FirstEvent()
		run.End(RunEnd{})
		at, trace := tracker.FindCopy(stream)
		require.Equal(t, "2", at.ID)
		require.Equal(t, "c", trace.CopyName)
		tracker.Update(startedAt(map[string]int64{"1": 1000, "2": 1500}))
		at, _ = tracker.FindCopy(stream)
		require.Nil(t, at)
	})
}

// Start times, not the order of lists, tell which incarnation is newer.
func TestNewerIncarnationWins(t *testing.T) {
	tracker := newTracker(startedAt(map[string]int64{"1": 1000})...)
	tracker.Update(startedAt(map[string]int64{"1": 2000}))
	target := tracker.byID["1"]
	for _, born := range []int64{1000, 0, 2000} {
		require.Empty(t, tracker.Update(startedAt(map[string]int64{"1": born})), "born %d", born)
		require.Same(t, target, tracker.byID["1"])
		require.Equal(t, "1@2000", target.Incarnation())
	}
	both := append(startedAt(map[string]int64{"1": 3000}), startedAt(map[string]int64{"1": 2000})...)
	require.Contains(t, tracker.Update(both), "1@2000")
	require.Equal(t, "1@3000", tracker.byID["1"].Incarnation())
	require.Equal(t, 2, tracker.pools["s"].size)
}

func TestStartTimeMayBeAddedLater(t *testing.T) {
	tracker := newTracker(startedAt(nil)...)
	before := tracker.byID["1"]
	require.Equal(t, "1", before.Incarnation())
	require.ElementsMatch(t, []string{"1"}, tracker.Update(startedAt(map[string]int64{"1": 1000})), "idle connections are keyed by incarnation")
	require.Same(t, before, tracker.byID["1"])
}

// A target that crashes repeatedly must be backed off longer each time.
func TestBackoffGrowsForFlappingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(startedAt(map[string]int64{"1": 1000})...)
		var avoided []time.Duration
		for n := range int64(4) {
			tracker.Update(startedAt(map[string]int64{"1": 1000 + n}))
			target := tracker.byID["1"]
			require.True(t, target.Usable())
			target.RecordFailure()
			avoided = append(avoided, time.Until(target.backoffUntil))
			time.Sleep(4 * time.Second)
		}
		require.Equal(t, []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second}, avoided)
		time.Sleep(flapWindow)
		tracker.Update(startedAt(map[string]int64{"1": 9000}))
		tracker.byID["1"].RecordFailure()
		require.Equal(t, 400*time.Millisecond, time.Until(tracker.byID["1"].backoffUntil))
	})
}
