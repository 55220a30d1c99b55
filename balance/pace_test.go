package balance

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// readAt lets a run read its prompt at a target at a speed.
func readAt(target *Target, tokens int, perMS float64) {
	run := target.Begin(Work{Read: tokens, Hold: tokens}, Trace{})
	time.Sleep(time.Duration(float64(tokens) / perMS * float64(time.Millisecond)))
	run.FirstEvent()
	run.End(RunEnd{Whole: true})
}

func TestReadingSpeedIsLearned(t *testing.T) {
	for _, perMS := range []float64{1.5, 3.2, 8, 20} {
		synctest.Test(t, func(t *testing.T) {
			tracker := newTracker(listed("s", "north", "1")...)
			for range 12 {
				readAt(tracker.byID["1"], 6000, perMS)
			}
			require.InEpsilon(t, 6000/perMS, float64(tracker.Expected(draft(6000), tracker.byID["1"]).Milliseconds()), 0.15)
		})
	}
}

// Where several prompts wait at an engine, the time to the first event says
// nothing of its speed.
func TestQueuedPromptsTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1")...)
		for range 12 {
			readAt(tracker.byID["1"], 6000, 4)
		}
		learned := tracker.Expected(draft(6000), tracker.byID["1"])
		first := tracker.byID["1"].Begin(Work{Read: 6000, Hold: 6000}, Trace{})
		queued := tracker.byID["1"].Begin(Work{Read: 6000, Hold: 6000}, Trace{})
		time.Sleep(1500 * time.Millisecond)
		first.FirstEvent()
		time.Sleep(1500 * time.Millisecond)
		queued.FirstEvent()
		first.End(RunEnd{Whole: true})
		queued.End(RunEnd{Whole: true})
		require.Equal(t, learned, tracker.Expected(draft(6000), tracker.byID["1"]))
	})
}

func TestOneStalledEngineHardlyCounts(t *testing.T) {
	e := estimate{value: 5}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		e.observe(4 + rng.Float64())
	}
	before := e.value
	e.observe(0.001)
	require.InDelta(t, before, e.value, before*paceMemory)
}

func TestPaceIsForgottenWhenTheEnginesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1")...)
		tracker.SetEngines(map[string]Engine{"s": {Memory: 50000, Slots: 8}})
		assumed := tracker.Expected(draft(6000), tracker.byID["1"])
		for range 12 {
			readAt(tracker.byID["1"], 6000, 2)
		}
		learned := tracker.Expected(draft(6000), tracker.byID["1"])
		require.Greater(t, learned, assumed)
		tracker.SetEngines(map[string]Engine{"s": {Memory: 50000, Slots: 8}})
		require.Equal(t, learned, tracker.Expected(draft(6000), tracker.byID["1"]), "the same engines as before")
		tracker.SetEngines(map[string]Engine{"s": {Memory: 90000, Slots: 8}})
		require.Equal(t, assumed, tracker.Expected(draft(6000), tracker.byID["1"]))
	})
}
