package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// engineChoice is a choice for a run at an engine.
func engineChoice() Choice {
	c := choice(100)
	c.Admission = true
	return c
}

// As many runs may be given up as other targets have places, and no more.
func TestAPlaceIsHeldOnce(t *testing.T) {
	for slots, places := range map[int]int{0: 1, 3: 3} {
		tracker := newTracker(targetList("s", "north", "1")...)
		tracker.SetEngines(map[string]Engine{"s": {Slots: slots}})
		var held []*Place
		for range places {
			held = append(held, tracker.Hold(engineChoice()))
			require.NotNil(t, held[len(held)-1])
		}
		require.Nil(t, tracker.Hold(engineChoice()))
		held[0].Release()
		held[0].Release()
		again := tracker.Hold(engineChoice())
		require.NotNil(t, again)
		require.Nil(t, tracker.Hold(engineChoice()))
		again.Release()
		if slots == 0 {
			tracker.byID["1"].RecordMove()
			require.Nil(t, tracker.Hold(engineChoice()), "the run that moved there has just begun")
		}
		for _, p := range held[1:] {
			p.Release()
		}
		require.Equal(t, occupancy{}, tracker.byID["1"].occupancy)
	}
}

// A target that is silent as well is no place for a silent run.
func TestASilentTargetHasNoPlace(t *testing.T) {
	tracker := newTracker(targetList("s", "north", "1")...)
	target := tracker.byID["1"]
	hasPlace := func(since time.Time) bool {
		c := engineChoice()
		c.HeardSince = since
		p := tracker.Hold(c)
		if p != nil {
			p.Release()
		}
		return p != nil
	}
	begun := uptime.Now()
	require.True(t, hasPlace(begun), "no run can be silent")
	run := target.Begin(Work{}, Trace{})
	require.False(t, hasPlace(begun))
	target.RecordEvent()
	require.True(t, hasPlace(begun))
	require.False(t, hasPlace(uptime.Now()))
	target.RecordUnresponsive(false)
	run.End(RunEnd{})
	require.True(t, target.Silent(begun))
	target.RecordEvent()
	require.False(t, target.Silent(begun))
}

// BenchmarkHold measures a search for a place while half of the targets are silent.
func BenchmarkHold(b *testing.B) {
	for _, engines := range []int{500, 10000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var ids []string
			for i := range engines {
				ids = append(ids, fmt.Sprint(i))
			}
			tracker := newTracker(targetList("s", "north", ids...)...)
			for i := range engines / 2 {
				tracker.byID[ids[2*i]].Begin(Work{}, Trace{})
			}
			c := engineChoice()
			c.HeardSince = uptime.Now()
			for b.Loop() {
				if p := tracker.Hold(c); p != nil {
					p.Release()
				}
			}
		})
	}
}
