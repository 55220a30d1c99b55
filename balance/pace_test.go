package balance

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// runPrefill runs a request whose prefill has the given speed.
func runPrefill(target *Target, tokens int, perMS float64) {
	run := target.Begin(Work{PrefillTokens: tokens, MemoryTokens: tokens}, Trace{})
	time.Sleep(time.Duration(float64(tokens) / perMS * float64(time.Millisecond)))
	run.FirstEvent()
	run.End(RunEnd{Complete: true})
}

func TestPrefillSpeedIsEstimated(t *testing.T) {
	for _, perMS := range []float64{1.5, 3.2, 8, 20} {
		synctest.Test(t, func(t *testing.T) {
			tracker := newTracker(targetList("s", "north", "1")...)
			for range 12 {
				runPrefill(tracker.byID["1"], 6000, perMS)
			}
			require.InEpsilon(t, 6000/perMS, float64(tracker.Expected(choice(6000), tracker.byID["1"]).Milliseconds()), 0.15)
		})
	}
}

// If several prompts are queued at an engine, the time to the first event does not
// measure its speed.
func TestQueuedPrefillsAreNotMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(targetList("s", "north", "1")...)
		for range 12 {
			runPrefill(tracker.byID["1"], 6000, 4)
		}
		learned := tracker.Expected(choice(6000), tracker.byID["1"])
		first := tracker.byID["1"].Begin(Work{PrefillTokens: 6000, MemoryTokens: 6000}, Trace{})
		queued := tracker.byID["1"].Begin(Work{PrefillTokens: 6000, MemoryTokens: 6000}, Trace{})
		time.Sleep(1500 * time.Millisecond)
		first.FirstEvent()
		time.Sleep(1500 * time.Millisecond)
		queued.FirstEvent()
		first.End(RunEnd{Complete: true})
		queued.End(RunEnd{Complete: true})
		require.Equal(t, learned, tracker.Expected(choice(6000), tracker.byID["1"]))
	})
}

func TestOutlierBarelyAffectsEstimate(t *testing.T) {
	e := estimate{value: 5}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		e.observe(4 + rng.Float64())
	}
	before := e.value
	e.observe(0.001)
	require.InDelta(t, before, e.value, before*ewmaWeight)
}

func TestEstimatesAreResetWhenEnginesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(targetList("s", "north", "1")...)
		tracker.SetEngines(map[string]Engine{"s": {Memory: 50000, Slots: 8}})
		assumed := tracker.Expected(choice(6000), tracker.byID["1"])
		for range 12 {
			runPrefill(tracker.byID["1"], 6000, 2)
		}
		learned := tracker.Expected(choice(6000), tracker.byID["1"])
		require.Greater(t, learned, assumed)
		tracker.SetEngines(map[string]Engine{"s": {Memory: 50000, Slots: 8}})
		require.Equal(t, learned, tracker.Expected(choice(6000), tracker.byID["1"]), "the engines are unchanged")
		tracker.SetEngines(map[string]Engine{"s": {Memory: 90000, Slots: 8}})
		require.Equal(t, assumed, tracker.Expected(choice(6000), tracker.byID["1"]))
	})
}

// reportPeerPrefill reports a peer's run before and after its prefill at the given speed.
func reportPeerPrefill(tracker *Tracker, number uint64, id string, tokens int, perMS float64) {
	run := RunReport{Number: number, Target: id, PendingTokens: tokens, MemoryTokens: tokens}
	tracker.SetPeerRuns("n2", []RunReport{run})
	took := time.Duration(float64(tokens) / perMS * float64(time.Millisecond))
	time.Sleep(took)
	run.PendingTokens, run.Age = 0, took
	tracker.SetPeerRuns("n2", []RunReport{run})
	tracker.SetPeerRuns("n2", nil)
}

func TestSlowTargetIsDetectedFromPeerRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(targetList("s", "north", "1", "2", "3", "4")...)
		slow, healthy := tracker.byID["1"], tracker.byID["2"]
		number := uint64(0)
		for range 4 {
			for _, id := range []string{"2", "3", "4"} {
				number++
				reportPeerPrefill(tracker, number, id, 6000, 4)
			}
		}
		number++
		reportPeerPrefill(tracker, number, "1", 6000, 1)
		require.Greater(t, tracker.Expected(choice(6000), slow), 2*tracker.Expected(choice(6000), healthy))
		for range 20 {
			require.NotEqual(t, slow, tracker.Pick(choice(6000)))
		}
		time.Sleep(5 * relativeSpeedHalfLife)
		require.InEpsilon(t, tracker.Expected(choice(6000), healthy), tracker.Expected(choice(6000), slow), 0.1, "it is tried again")
	})
}

func TestCachedPeerPrefillsAreNotMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(targetList("s", "north", "1")...)
		before := tracker.Expected(choice(6000), tracker.byID["1"])
		run := RunReport{Number: 1, Target: "1", PendingTokens: 1200, MemoryTokens: 6500}
		tracker.SetPeerRuns("n2", []RunReport{run})
		time.Sleep(50 * time.Millisecond)
		run.PendingTokens, run.Age = 0, 50*time.Millisecond
		tracker.SetPeerRuns("n2", []RunReport{run})
		tracker.SetPeerRuns("n2", nil)
		require.Equal(t, before, tracker.Expected(choice(6000), tracker.byID["1"]))
	})
}
