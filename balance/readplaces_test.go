package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// again is a choice for a draft that comes again.
func again(key string) Choice {
	c := draft(8000)
	c.Key, c.Again = key, true
	return c
}

// elsewhere returns a target that a key does not name.
func elsewhere(t *Tracker, key string) *Target {
	home := t.home(again(key), time.Now())
	for _, target := range t.byID {
		if target != home {
			return target
		}
	}
	return nil
}

func TestRequestThatComesAgainGoesWhereItsPromptWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listed("s", "north", "1", "2", "3", "4", "5", "6")
		here, there := newTracker(list...), newTracker(list...)
		for i := range 20 {
			key := fmt.Sprint("part-", i)
			at := elsewhere(here, key)
			run := at.Begin(Work{Read: 8000, Hold: 8000}, Trace{Key: key})
			require.NotEqual(t, at, here.Pick(again(key)), "the prompt is not read yet")
			run.FirstEvent()
			there.SetOthers("here", here.Runs())
			run.End(RunEnd{})
			there.SetOthers("here", nil)
			for _, tracker := range []*Tracker{here, there} {
				picked := tracker.Pick(again(key))
				require.Equal(t, at.ID, picked.ID)
				require.Less(t, tracker.Kept(again(key), picked).Read, 8000/2)
			}
		}
		for range 2 {
			time.Sleep(readPlaceLife + time.Second)
			here.read.note("other", "1", time.Now())
		}
		require.Equal(t, "", here.read.of("part-1"), "what is too old is dropped")
	})
}

func TestPlacesOfPromptsOutliveTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listed("s", "north", "1", "2", "3", "4", "5", "6")
		before, after := newTracker(list...), newTracker(list...)
		at := elsewhere(before, "part-1")
		at.Begin(Work{Read: 8000, Hold: 8000}, Trace{Key: "part-1", CopyName: "run-1", Copy: "2"}).FirstEvent()
		traces := before.Traces()

		after.Remember(traces, copyLife+time.Second)
		holder, _ := after.FindCopy("part-1")
		require.Nil(t, holder, "the copy is gone by now")
		time.Sleep(readPlaceLife / 2)
		require.Equal(t, at.ID, after.Pick(again("part-1")).ID)
	})
}

func TestReadPlacesAreBounded(t *testing.T) {
	var p readPlaces
	now := time.Now()
	for i := range 3 * maxReadPlaces {
		p.note(fmt.Sprint(i), "1", now)
	}
	require.LessOrEqual(t, len(p.newer)+len(p.older), maxReadPlaces)
	require.Equal(t, "1", p.of(fmt.Sprint(3*maxReadPlaces-1)))
}

func TestLostTargetIsNotAskedForWhatItRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2", "3")...)
		at := elsewhere(tracker, "part-1")
		at.Begin(Work{Read: 8000, Hold: 8000}, Trace{Key: "part-1"}).FirstEvent()
		at.Gone()
		require.NotEqual(t, at, tracker.Pick(again("part-1")))
	})
}
