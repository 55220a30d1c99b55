package balance

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// sized returns a tracker whose engines hold that many tokens.
func sized(memory int, halls ...string) *Tracker {
	var list = listed("s", halls[0], "1")
	for i, hall := range halls[1:] {
		list = append(list, listed("s", hall, string(rune('2'+i)))...)
	}
	t := newTracker(list...)
	t.SetEngines(map[string]Engine{"s": {Memory: memory, Slots: 8}})
	return t
}

func TestCopyIsKeptOnlyWhereThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := sized(20000, "north", "south", "west")
		run := tracker.byID["1"].Begin(Work{Hold: 6000}, Trace{Copy: "2"})
		copyOf := Choice{Service: "s", Copy: true, OtherHall: "north", Work: Work{Hold: 7000}}
		require.Equal(t, "3", tracker.Pick(copyOf).ID, "the other one already keeps a copy")
		tracker.byID["3"].Begin(Work{Hold: 6000}, Trace{})
		copyOf.Exclude = func(at *Target) bool { return at.ID == "1" }
		require.Nil(t, tracker.Pick(copyOf), "copies leave room for runs")
		run.End(RunEnd{Whole: true})
		require.Equal(t, "2", tracker.Pick(copyOf).ID)
	})
}

func TestCopiesOfOtherNodesTakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := sized(20000, "north", "south")
		copyOf := Choice{Service: "s", Copy: true, Work: Work{Hold: 6000}, Exclude: func(at *Target) bool { return at.ID == "1" }}
		require.NotNil(t, tracker.Pick(copyOf))
		tracker.SetOthers("n2", []Shared{{Number: 1, Target: "1", Hold: 7000, Trace: Trace{Key: "k", Copy: "2"}}})
		require.Nil(t, tracker.Pick(copyOf))
	})
}
