package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// retriedChoice returns the Choice of a retry.
func retriedChoice(key string) Choice {
	c := choice(8000)
	c.Key, c.Retried = key, true
	return c
}

// otherTarget returns a target other than the key's affinity target.
func otherTarget(t *Tracker, key string) *Target {
	affine := t.affinityTarget(retriedChoice(key), time.Now())
	for _, target := range t.byID {
		if target != affine {
			return target
		}
	}
	return nil
}

func TestRetryGoesToTargetWithCachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := targetList("s", "north", "1", "2", "3", "4", "5", "6")
		here, there := newTracker(list...), newTracker(list...)
		for i := range 20 {
			key := fmt.Sprint("part-", i)
			at := otherTarget(here, key)
			run := at.Begin(Work{PrefillTokens: 8000, MemoryTokens: 8000}, Trace{Key: key})
			require.NotEqual(t, at, here.Pick(retriedChoice(key)), "the prompt is not prefilled yet")
			run.FirstEvent()
			there.SetPeerRuns("here", here.Runs())
			run.End(RunEnd{})
			there.SetPeerRuns("here", nil)
			for _, tracker := range []*Tracker{here, there} {
				picked := tracker.Pick(retriedChoice(key))
				require.Equal(t, at.ID, picked.ID)
				require.Less(t, tracker.WorkAt(retriedChoice(key), picked).PrefillTokens, 8000/2)
			}
		}
		for range 2 {
			time.Sleep(promptEntryTTL + time.Second)
			here.prompts.record("other", "1", time.Now())
		}
		require.Equal(t, "", here.prompts.lookup("part-1"), "old entries are dropped")
	})
}

func TestPromptIndexSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := targetList("s", "north", "1", "2", "3", "4", "5", "6")
		before, after := newTracker(list...), newTracker(list...)
		at, stream := otherTarget(before, "part-1"), StreamID{Content: 1, Attempt: 1}
		at.Begin(Work{PrefillTokens: 8000, MemoryTokens: 8000}, Trace{Key: "part-1", Stream: stream, CopyName: "run-1", Copy: "2"}).FirstEvent()
		traces := before.Traces()

		after.RestoreTraces(traces, copyTTL+time.Second)
		holder, _ := after.FindCopy(stream)
		require.Nil(t, holder, "the copy has expired")
		time.Sleep(promptEntryTTL / 2)
		require.Equal(t, at.ID, after.Pick(retriedChoice("part-1")).ID)
	})
}

func TestPromptIndexIsBounded(t *testing.T) {
	var p promptIndex
	now := time.Now()
	for i := range 3 * maxPromptEntries {
		p.record(fmt.Sprint(i), "1", now)
	}
	require.LessOrEqual(t, len(p.newer)+len(p.older), maxPromptEntries)
	require.Equal(t, "1", p.lookup(fmt.Sprint(3*maxPromptEntries-1)))
}

func TestEndedTargetIsNotSelectedForCachedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(targetList("s", "north", "1", "2", "3")...)
		at := otherTarget(tracker, "part-1")
		at.Begin(Work{PrefillTokens: 8000, MemoryTokens: 8000}, Trace{Key: "part-1"}).FirstEvent()
		at.RecordEnded()
		require.NotEqual(t, at, tracker.Pick(retriedChoice("part-1")))
	})
}
