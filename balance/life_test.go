package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
)

// bornAt returns targets that were started at these times.
func bornAt(born map[string]int64) []discovery.Target {
	list := listed("s", "north", "1", "2")
	for i := range list {
		list[i].Born = born[list[i].ID]
	}
	return list
}

// What is known of a target, by this node and by others, ends with its life.
func TestNothingCrossesLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(bornAt(map[string]int64{"1": 1000, "2": 1000})...)
		before := tracker.byID["1"]
		run := before.Begin(Work{Read: 90000, Hold: 90000}, Trace{Key: "k", Copy: tracker.byID["2"].Life(), CopyName: "c"})
		run.FirstEvent()
		tracker.SetOthers("n2", []Shared{{Target: "1@1000", Read: 90000, Hold: 90000}})
		require.Equal(t, "2", tracker.Pick(draft(8000)).ID)
		before.Broke()
		require.Equal(t, []string{"1@1000"}, tracker.Suspects())

		removed := tracker.Update(bornAt(map[string]int64{"1": 2000, "2": 1000}))
		require.Equal(t, []string{"1@1000"}, removed, "its connections are closed")
		now := tracker.byID["1"]
		require.NotSame(t, before, now)
		require.True(t, before.Lost())
		require.False(t, now.Lost(), "no doubt is left over")
		require.True(t, now.Usable(), "it gets work at once")
		require.Empty(t, tracker.Suspects())
		require.Zero(t, now.taken)
		require.Nil(t, tracker.readPlace(Choice{Service: "s", Key: "k"}, time.Now()), "it has not read that prompt")

		// Word of the old life that comes late.
		tracker.SetEnded([]string{"1@1000", "1"})
		tracker.SetSuspects([]string{"1@1000"})
		tracker.SetSilent([]string{"1@1000"})
		tracker.SetOthers("n2", []Shared{{Target: "1@1000", Read: 90000, Hold: 90000}})
		require.True(t, now.Usable())
		require.False(t, now.Lost())
		require.Zero(t, now.taken)
		require.Equal(t, []string{""}, tracker.Lives([]uint32{tracker.shortOf("1@1000")}))

		// And of the new one.
		tracker.SetEnded([]string{"1@2000"})
		require.False(t, now.Usable())
	})
}

func (t *Tracker) shortOf(life string) uint32 {
	for short, target := range t.byShort {
		if target.life == life {
			return short
		}
	}
	return 0
}

func TestCopyOfAnOldLifeIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(bornAt(map[string]int64{"1": 1000, "2": 1000})...)
		run := tracker.byID["1"].Begin(Work{Read: 8000, Hold: 8000}, Trace{Key: "k", Copy: "2@1000", CopyName: "c"})
		run.FirstEvent()
		run.End(RunEnd{})
		at, name := tracker.FindCopy("k")
		require.Equal(t, "2", at.ID)
		require.Equal(t, "c", name)
		tracker.Update(bornAt(map[string]int64{"1": 1000, "2": 1500}))
		at, _ = tracker.FindCopy("k")
		require.Nil(t, at)
	})
}

// Which of two lives is newer is the site's word, however late or often it comes.
func TestNewerLifeCounts(t *testing.T) {
	tracker := newTracker(bornAt(map[string]int64{"1": 1000})...)
	tracker.Update(bornAt(map[string]int64{"1": 2000}))
	life := tracker.byID["1"]
	for _, born := range []int64{1000, 0, 2000} {
		require.Empty(t, tracker.Update(bornAt(map[string]int64{"1": born})), "born %d", born)
		require.Same(t, life, tracker.byID["1"])
		require.Equal(t, "1@2000", life.Life())
	}
	both := append(bornAt(map[string]int64{"1": 3000}), bornAt(map[string]int64{"1": 2000})...)
	require.Contains(t, tracker.Update(both), "1@2000")
	require.Equal(t, "1@3000", tracker.byID["1"].Life())
	require.Equal(t, 2, tracker.pools["s"].size)
}

func TestTargetWhoseStartIsToldLaterIsTheSame(t *testing.T) {
	tracker := newTracker(bornAt(nil)...)
	before := tracker.byID["1"]
	require.Equal(t, "1", before.Life())
	require.ElementsMatch(t, []string{"1"}, tracker.Update(bornAt(map[string]int64{"1": 1000})), "kept connections go by life")
	require.Same(t, before, tracker.byID["1"])
}

// A target that ends again and again is avoided for longer each time.
func TestTargetThatFlapsIsAvoidedLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(bornAt(map[string]int64{"1": 1000})...)
		var avoided []time.Duration
		for n := range int64(4) {
			tracker.Update(bornAt(map[string]int64{"1": 1000 + n}))
			life := tracker.byID["1"]
			require.True(t, life.Usable())
			life.Broke()
			avoided = append(avoided, time.Until(life.avoid))
			time.Sleep(4 * time.Second)
		}
		require.Equal(t, []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second}, avoided)
		time.Sleep(flapTime)
		tracker.Update(bornAt(map[string]int64{"1": 9000}))
		tracker.byID["1"].Broke()
		require.Equal(t, 400*time.Millisecond, time.Until(tracker.byID["1"].avoid))
	})
}
