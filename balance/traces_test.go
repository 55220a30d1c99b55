package balance

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Requests of one session share the last part of their prompts, by which traces are found.
func TestCopyBelongsToOneStreamWhereverItsTraceComesFrom(t *testing.T) {
	first, second, third := StreamID{Content: 1, Attempt: 1}, StreamID{Content: 1, Attempt: 2}, StreamID{Content: 2, Attempt: 3}
	traces := []Trace{
		{Key: "part-1", Stream: first, Copy: "2", CopyName: "run-1", ReadAt: "1"},
		{Key: "part-1", Stream: second, Copy: "2", CopyName: "run-2", ReadAt: "1"},
		{Key: "part-1", Stream: third, Copy: "2", CopyName: "run-3", ReadAt: "1"},
		{Key: "part-1", Copy: "2", CopyName: "of an older build", ReadAt: "1"},
	}
	sources := map[string]func(*Tracker){
		"runs of this node": func(tracker *Tracker) {
			for _, trace := range traces {
				run := tracker.byID["1"].Begin(Work{MemoryTokens: 100}, trace)
				run.FirstEvent()
				run.End(RunEnd{})
			}
		},
		"reports": func(tracker *Tracker) {
			var runs []RunReport
			for i, trace := range traces {
				runs = append(runs, RunReport{Number: uint64(i), Target: "1", Trace: trace, Failed: true})
			}
			tracker.SetPeerRuns("n2", runs)
		},
		"traces": func(tracker *Tracker) {
			for _, trace := range traces {
				tracker.AddPeerTrace(trace)
			}
		},
		"a restart": func(tracker *Tracker) { tracker.RestoreTraces(traces, 0) },
	}
	for name, add := range sources {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker(targetList("s", "north", "1", "2")...)
				add(tracker)
				for _, trace := range traces[:3] {
					_, found := tracker.FindCopy(trace.Stream)
					require.Equal(t, trace.CopyName, found.CopyName)
				}
				at, _ := tracker.FindCopy(StreamID{Content: 1})
				require.Nil(t, at, "it may be of either stream")
				_, found := tracker.FindCopy(StreamID{Content: 2})
				require.Equal(t, "run-3", found.CopyName, "there is one stream of this content")
				require.Equal(t, third, found.Stream)
				for _, unknown := range []StreamID{{}, {Attempt: 1}, {Content: 2, Attempt: 1}, {Content: 3}} {
					at, _ = tracker.FindCopy(unknown)
					require.Nil(t, at, unknown)
				}
				require.Equal(t, "1", tracker.prompts.lookup("part-1"))
			})
		})
	}
}

func TestFinishedStreamTakesOnlyItsOwnTrace(t *testing.T) {
	tracker := newTracker(targetList("s", "north", "1", "2")...)
	kept := Trace{Key: "part-1", Stream: StreamID{Content: 1, Attempt: 1}, Copy: "2", CopyName: "run-1"}
	finished := Trace{Key: "part-1", Stream: StreamID{Content: 2, Attempt: 2}, Copy: "2", CopyName: "run-2"}
	tracker.AddPeerTrace(kept)
	tracker.AddPeerTrace(finished)
	tracker.DropTrace(finished)
	_, found := tracker.TraceOf("part-1", finished.Stream)
	require.False(t, found)
	trace, _ := tracker.TraceOf("part-1", kept.Stream)
	require.Equal(t, "run-1", trace.CopyName)
}

// A stream relayed by an older build is of an unknown attempt.
func TestCopyOfAnUnknownAttemptIsNotFound(t *testing.T) {
	tracker := newTracker(targetList("s", "north", "1", "2")...)
	tracker.AddPeerTrace(Trace{Key: "part-1", Stream: StreamID{Content: 1}, Copy: "2", CopyName: "run-1"})
	for _, attempt := range []uint64{0, 1} {
		at, _ := tracker.FindCopy(StreamID{Content: 1, Attempt: attempt})
		require.Nil(t, at)
	}
}
