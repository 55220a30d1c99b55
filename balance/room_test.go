package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// trackerWithMemory returns a tracker of engines with the given memory in tokens, one
// per element of halls.
func trackerWithMemory(memory int, halls ...string) *Tracker {
	var list = targetList("s", halls[0], "1")
	for i, hall := range halls[1:] {
		list = append(list, targetList("s", hall, string(rune('2'+i)))...)
	}
	t := newTracker(list...)
	t.SetEngines(map[string]Engine{"s": {Memory: memory, Slots: 8}})
	return t
}

func TestCopyIsPlacedOnlyWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(20000, "north", "south", "west")
		tracker.byID["1"].Begin(Work{MemoryTokens: 6000}, Trace{Copy: "2"})
		copyOf := Choice{Service: "s", Copy: true, AvoidHall: "north", Work: Work{MemoryTokens: 7000}}
		require.Equal(t, "3", tracker.Pick(copyOf).ID, "the other one already holds a copy")
		tracker.byID["3"].Begin(Work{MemoryTokens: 13000}, Trace{})
		require.Equal(t, "2", tracker.Pick(copyOf).ID)
		run := tracker.byID["2"].Begin(Work{MemoryTokens: 7000}, Trace{})
		copyOf.Exclude = func(at *Target) bool { return at.ID == "1" }
		require.Nil(t, tracker.Pick(copyOf), "two runs and a copy leave no capacity for another")
		run.End(RunEnd{Complete: true})
		require.Equal(t, "2", tracker.Pick(copyOf).ID)
	})
}

func TestPeersCopiesUseCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(20000, "north", "south")
		copyOf := Choice{Service: "s", Copy: true, Work: Work{MemoryTokens: 6000}, Exclude: func(at *Target) bool { return at.ID == "1" }}
		require.NotNil(t, tracker.Pick(copyOf))
		tracker.SetPeerRuns("n2", []RunReport{{Number: 1, Target: "1", MemoryTokens: 13500, Trace: Trace{Key: "k", Copy: "2"}}})
		require.Nil(t, tracker.Pick(copyOf))
	})
}

// While engines are busy all over the site, copies must not displace new runs.
func TestCopiesLeaveMemoryForRunsToGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(20000, "north", "south", "west")
		tracker.byID["1"].Begin(Work{MemoryTokens: 17000}, Trace{})
		tracker.byID["3"].Begin(Work{MemoryTokens: 7000}, Trace{})
		copyOf := Choice{Service: "s", Copy: true, Work: Work{MemoryTokens: 7000}}
		require.NotNil(t, tracker.Pick(copyOf))
		tracker.byID["2"].Begin(Work{MemoryTokens: 17000}, Trace{})
		require.Nil(t, tracker.Pick(copyOf), "the third engine has capacity, but the site does not")
	})
}

// admissionChoice returns the Choice of a new request.
func admissionChoice(tokens int, within time.Duration) Choice {
	c := choice(tokens)
	c.Admission, c.MaxWait = true, within
	return c
}

func TestNewRunIsAdmittedOnlyWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(40000, "north")
		require.NotNil(t, tracker.Pick(admissionChoice(50000, 0)), "an idle engine accepts even a run larger than its memory")
		for range 3 {
			tracker.byID["1"].Begin(Work{MemoryTokens: 8000}, Trace{})
		}
		require.NotNil(t, tracker.Pick(admissionChoice(8000, 0)))
		lessUrgent := admissionChoice(8000, 0)
		lessUrgent.Rank = 4
		require.Nil(t, tracker.Pick(lessUrgent), "some memory is reserved for more urgent requests")
		require.Nil(t, tracker.Pick(admissionChoice(17000, 0)), "it exceeds the remaining memory")
		run := tracker.byID["1"].Begin(Work{MemoryTokens: 8000}, Trace{})
		require.Nil(t, tracker.Pick(admissionChoice(8000, 0)))
		require.NotNil(t, tracker.Pick(choice(8000)), "a run that has begun is resumed")
		run.End(RunEnd{Complete: true})
		require.NotNil(t, tracker.Pick(admissionChoice(8000, 0)))
	})
}

// Small requests must not be admitted at a full engine in preference to large ones.
func TestAdmissionIsIndependentOfRunSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(40000, "north")
		for runs := range 5 {
			small, large := tracker.Pick(admissionChoice(1000, 0)), tracker.Pick(admissionChoice(14000, 0))
			require.Equal(t, small, large, "%d runs", runs)
			tracker.byID["1"].Begin(Work{MemoryTokens: 8000}, Trace{})
		}
	})
}

func TestNewRunIsAdmittedOnlyIfItBeginsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(90000, "north", "south")
		for range 2 {
			for _, target := range tracker.byID {
				target.Begin(Work{PrefillTokens: 5000, MemoryTokens: 5000}, Trace{})
			}
		}
		require.NotNil(t, tracker.Pick(admissionChoice(5000, 4*time.Second)))
		require.Nil(t, tracker.Pick(admissionChoice(5000, 2500*time.Millisecond)), "two prefills are pending before it")
		time.Sleep(1500 * time.Millisecond)
		require.NotNil(t, tracker.Pick(admissionChoice(5000, 2500*time.Millisecond)))
	})
}

func TestNewRunIsRejectedWithoutFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := trackerWithMemory(90000, "north")
		for range 8 {
			tracker.byID["1"].Begin(Work{MemoryTokens: 100}, Trace{})
		}
		require.Nil(t, tracker.Pick(admissionChoice(100, 0)))
	})
}
