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

// tellReading lets another node's run read its prompt at a target, and tells
// this node of it as that node would.
func tellReading(tracker *Tracker, number uint64, id string, tokens int, perMS float64) {
	run := Shared{Number: number, Target: id, Read: tokens, Hold: tokens}
	tracker.SetOthers("n2", []Shared{run})
	took := time.Duration(float64(tokens) / perMS * float64(time.Millisecond))
	time.Sleep(took)
	run.Read, run.Age = 0, took
	tracker.SetOthers("n2", []Shared{run})
	tracker.SetOthers("n2", nil)
}

func TestSlowTargetIsKnownFromOtherNodesRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2", "3", "4")...)
		slow, sound := tracker.byID["1"], tracker.byID["2"]
		number := uint64(0)
		for range 4 {
			for _, id := range []string{"2", "3", "4"} {
				number++
				tellReading(tracker, number, id, 6000, 4)
			}
		}
		number++
		tellReading(tracker, number, "1", 6000, 1)
		require.Greater(t, tracker.Expected(draft(6000), slow), 2*tracker.Expected(draft(6000), sound))
		for range 20 {
			require.NotEqual(t, slow, tracker.Pick(draft(6000)))
		}
		time.Sleep(5 * speedHalfLife)
		require.InEpsilon(t, tracker.Expected(draft(6000), sound), tracker.Expected(draft(6000), slow), 0.1, "it is tried again")
	})
}

func TestCachedPromptsOfOtherNodesTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1")...)
		before := tracker.Expected(draft(6000), tracker.byID["1"])
		run := Shared{Number: 1, Target: "1", Read: 1200, Hold: 6500}
		tracker.SetOthers("n2", []Shared{run})
		time.Sleep(50 * time.Millisecond)
		run.Read, run.Age = 0, 50*time.Millisecond
		tracker.SetOthers("n2", []Shared{run})
		tracker.SetOthers("n2", nil)
		require.Equal(t, before, tracker.Expected(draft(6000), tracker.byID["1"]))
	})
}
