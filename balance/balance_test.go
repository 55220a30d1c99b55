package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

func listed(service, hall string, ids ...string) []discovery.Target {
	var list []discovery.Target
	for _, id := range ids {
		list = append(list, discovery.Target{ID: id, Service: service, Address: "10.0.0." + id, DataHall: hall, Slots: 8})
	}
	return list
}

func draft(tokens int) Choice { return Choice{Service: "s", Work: Work{Read: tokens, Hold: tokens}} }

func newTracker(list ...discovery.Target) *Tracker {
	t := NewTracker(WithSeed(1), WithDataHall("north"))
	t.Update(list)
	return t
}

func TestPromptsUnderWaySpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2", "3")...)
		taken := map[string]int{}
		for range 6 {
			target := tracker.Pick(draft(8000))
			taken[target.ID]++
			target.Begin(Work{Read: 8000, Hold: 8000}, Trace{})
		}
		require.Equal(t, map[string]int{"1": 2, "2": 2, "3": 2}, taken)
	})
}

func TestOthersRunsCountUntilTheyAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2")...)
		tracker.SetOthers("n2", []Shared{{Target: "1", Read: 30000, Hold: 30000}})
		require.Equal(t, "2", tracker.Pick(draft(8000)).ID)
		tracker.Pick(draft(8000)).Begin(Work{Read: 8000, Hold: 8000}, Trace{})
		require.Equal(t, "2", tracker.Pick(draft(8000)).ID, "30,000 tokens weigh more than 8,000")
		time.Sleep(sharedLife + time.Millisecond)
		require.Equal(t, "1", tracker.Pick(draft(8000)).ID, "the other node is silent: its word is dropped")
	})
}

func TestOthersWordIsOldAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2")...)
		tracker.SetOthers("n2", []Shared{{Target: "1", Read: 30000, Hold: 30000}})
		tracker.Pick(draft(8000)).Begin(Work{Read: 8000, Hold: 8000}, Trace{})
		require.Equal(t, "2", tracker.Pick(draft(8000)).ID)
		t.Cleanup(uptime.Pretend(sharedLife + time.Second))
		require.Equal(t, "1", tracker.Pick(draft(8000)).ID)
	})
}

func TestBudgetsWindowGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.8, Slack: 160, Window: 10 * time.Second, Part: aSixteenth})
	for spends(b) {
	}
	t.Cleanup(uptime.Pretend(12 * time.Second))
	require.True(t, spends(b))
}

func TestReadPromptsWeighLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2")...)
		run := tracker.byID["1"].Begin(Work{Read: 8000, Hold: 8000}, Trace{})
		require.Equal(t, "2", tracker.Pick(draft(8000)).ID)
		run.FirstEvent()
		tracker.byID["2"].Begin(Work{Read: 8000, Hold: 8000}, Trace{})
		require.Equal(t, "1", tracker.Pick(draft(8000)).ID)
	})
}

// Reading a prompt holds up every run at its engine: an idle engine in another
// data hall is better than a busy one nearby.
func TestNewRunGoesWhereItDelaysTheFewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(append(listed("s", "north", "1"), listed("s", "south", "2")...)...)
		require.Equal(t, "1", tracker.Pick(draft(5000)).ID, "all else equal, the own data hall is taken")
		for range 2 {
			tracker.byID["1"].Begin(Work{Read: 5000, Hold: 5000}, Trace{}).FirstEvent()
		}
		require.Equal(t, "2", tracker.Pick(draft(5000)).ID)
		tracker.byID["2"].Begin(Work{Read: 5000, Hold: 5000}, Trace{}).FirstEvent()
		tracker.byID["2"].Begin(Work{Read: 5000, Hold: 5000}, Trace{}).FirstEvent()
		require.Equal(t, "1", tracker.Pick(draft(5000)).ID)
	})
}

// Where other nodes' word of a far data hall comes late, several of them choose
// the same idle engine there.
func TestFarTargetCostsMoreTheLaterItsHallIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(append(listed("s", "north", "1"), listed("s", "south", "2")...)...)
		tracker.byID["1"].Begin(Work{Read: 5000, Hold: 5000}, Trace{}).FirstEvent()
		require.Equal(t, "2", tracker.Pick(draft(5000)).ID)
		tracker.SetFarLag(250 * time.Millisecond)
		require.Equal(t, "1", tracker.Pick(draft(5000)).ID)
		for range 3 {
			tracker.byID["1"].Begin(Work{Read: 5000, Hold: 5000}, Trace{}).FirstEvent()
		}
		require.Equal(t, "2", tracker.Pick(draft(5000)).ID, "a hall that is far busier is left all the same")
	})
}

func TestFullMemoryIsShunned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2")...)
		for range 9 {
			tracker.byID["1"].Begin(Work{Hold: 9000}, Trace{})
		}
		tracker.byID["2"].Begin(Work{Read: 9000, Hold: 9000}, Trace{})
		require.Equal(t, "2", tracker.Pick(draft(8000)).ID)
	})
}

func TestRequestThatComesAgainFindsItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listed("s", "north", "1", "2", "3", "4", "5", "6")
		here, there := newTracker(list...), newTracker(list...)
		same := 0
		for i := range 50 {
			c := draft(8000)
			c.Key = fmt.Sprint("part-", i)
			first := here.Pick(c)
			c.Again = true
			if there.Pick(c).ID == first.ID {
				same++
			}
		}
		require.Equal(t, 50, same, "on idle targets the key alone decides")
	})
}

func TestBrokenTargetIsAvoidedThenTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2")...)
		one := tracker.byID["1"]
		one.Broke()
		for range 20 {
			require.Equal(t, "2", tracker.Pick(draft(8000)).ID)
		}
		time.Sleep(tracker.cfg.AvoidFirst + time.Millisecond)
		tracker.byID["2"].Begin(Work{Read: 8000, Hold: 8000}, Trace{})
		require.Equal(t, "1", tracker.Pick(draft(8000)).ID)
		require.False(t, one.takesCopy(tracker), "no copy at a suspect")
		one.Succeeded()
		require.True(t, one.takesCopy(tracker))
	})
}

// takesCopy reports whether a copy may go to the target while another one
// has more to do.
func (t *Target) takesCopy(tracker *Tracker) bool {
	return tracker.Pick(Choice{Service: "s", Copy: true, Work: Work{Hold: 8000}}) == t
}

func TestSuspectsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2")...)
		tracker.byID["2"].Begin(Work{Hold: 20000}, Trace{})
		require.True(t, tracker.byID["1"].takesCopy(tracker))
		tracker.SetSuspects([]string{"1", "unknown"})
		require.False(t, tracker.byID["1"].takesCopy(tracker))
		require.Empty(t, tracker.Suspects(), "hearsay is not passed on")
		time.Sleep(suspectLife + time.Millisecond)
		require.True(t, tracker.byID["1"].takesCopy(tracker))
	})
}

func TestEndedTargetsAreSharedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := newTracker(listed("s", "north", "1", "2")...), newTracker(listed("s", "north", "1", "2")...)
		here.byID["1"].Refused()
		there.SetEnded(here.Ended())
		there.byID["2"].Begin(Work{Read: 50000, Hold: 50000}, Trace{})
		require.Equal(t, "2", there.Pick(draft(8000)).ID)
		time.Sleep(refusedLife + time.Millisecond)
		require.Equal(t, "1", there.Pick(draft(8000)).ID, "it may only have had too many connections")
	})
}

func TestHallInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := append(listed("s", "north", "1", "2", "3", "4"), listed("s", "south", "5", "6")...)
		tracker := newTracker(list...)
		tracker.byID["1"].Broke()
		tracker.SetSuspects([]string{"2"})
		for range 3 {
			target := tracker.Pick(Choice{Service: "s", Work: Work{Read: 1000, Hold: 1000}})
			require.Equal(t, "south", target.DataHall)
			target.Begin(Work{Read: 1000, Hold: 1000}, Trace{})
		}
		time.Sleep(hallDoubtTime)
		require.Equal(t, "north", tracker.Pick(Choice{Service: "s", Work: Work{Read: 1000, Hold: 1000}}).DataHall)
	})
}

func TestNewerTargetHasTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := discovery.Target{ID: "old", Service: "s", Address: "10.0.0.1:80", DataHall: "north"}
		young := old
		young.ID = "young"
		tracker := newTracker(old)
		time.Sleep(time.Second)
		tracker.Update([]discovery.Target{young, old})
		for range 20 {
			require.Equal(t, "young", tracker.Pick(draft(1)).ID)
		}
		require.Equal(t, []string{"old"}, tracker.Update([]discovery.Target{young}))
	})
}

func TestDrainingTargetGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listed("s", "north", "1", "2")
		list[0].State = discovery.TargetDraining
		tracker := newTracker(list...)
		for range 20 {
			require.Equal(t, "2", tracker.Pick(Choice{Service: "s"}).ID)
		}
		list[1].State = discovery.TargetDraining
		tracker.Update(list)
		require.Nil(t, tracker.Pick(Choice{Service: "s"}))
	})
}

func TestTargetThatFailsMoreThanItsPeersIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(listed("s", "north", "1", "2", "3")...)
		for i := range 60 {
			for id, target := range tracker.byID {
				if id == "1" && i%2 == 0 || i%8 == 0 {
					target.Erred()
				} else {
					target.Succeeded()
				}
			}
			if time.Now().Before(tracker.byID["1"].avoid) {
				break
			}
		}
		require.True(t, time.Now().Before(tracker.byID["1"].avoid))
		require.False(t, time.Now().Before(tracker.byID["2"].avoid))
	})
}

func TestCopyIsNotKeptInAHallThatWasInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := append(listed("s", "north", "1", "2", "3"), listed("s", "south", "4")...)
		tracker := newTracker(list...)
		tracker.byID["4"].Begin(Work{Hold: 30000}, Trace{})
		copyAt := func() string { return tracker.Pick(Choice{Service: "s", Copy: true, Work: Work{Hold: 1000}}).DataHall }
		require.Equal(t, "north", copyAt())
		tracker.byID["1"].Broke()
		tracker.byID["2"].Broke()
		require.Equal(t, "south", copyAt())
		time.Sleep(hallDoubtTime + time.Millisecond)
		require.Equal(t, "south", copyAt(), "3 may have ended unseen")
		tracker.byID["3"].Succeeded()
		require.Equal(t, "north", copyAt(), "3 answers")
	})
}

// Nodes that all look for targets at one moment, before they have told each
// other, rarely choose the same ones.
func TestNodesPartIdleTargets(t *testing.T) {
	var list []discovery.Target
	for i := range 200 {
		list = append(list, listed("s", "north", fmt.Sprint("i-", i))...)
	}
	nodes := make([]string, 40)
	for i := range nodes {
		nodes[i] = fmt.Sprint("10.0.0.", i, ":7341")
	}
	choose := func(owned bool) (distinct int) {
		taken := map[string]bool{}
		for i, node := range nodes {
			tracker := NewTracker(WithSeed(uint64(i)), WithDataHall("north"))
			tracker.Update(list)
			if owned {
				tracker.SetNodes(node, nodes)
			}
			for range 2 {
				target := tracker.Pick(draft(8000))
				target.Begin(Work{Read: 8000, Hold: 8000}, Trace{})
				taken[target.ID] = true
			}
		}
		return len(taken)
	}
	require.Less(t, choose(false), 72, "of 80")
	require.Greater(t, choose(true), 76)
}

func TestFailedHallIsLeft(t *testing.T) {
	tracker := newTracker(append(listed("s", "north", "1", "2"), listed("s", "south", "3", "4")...)...)
	require.Equal(t, "north", tracker.Pick(draft(8000)).DataHall)
	failed := draft(8000)
	failed.FailedHalls = map[string]int{"north": 1}
	require.Equal(t, "south", tracker.Pick(failed).DataHall)
	failed.FailedHalls = map[string]int{"north": 1, "south": 1}
	require.Equal(t, "north", tracker.Pick(failed).DataHall, "both failed: the near one")
}

// New drafts stay in their hall while they begin there about in time, since
// links between halls may lose packets, and leave it where it is full or about
// to be, as after a crash that left one engine in it.
func TestNewDraftStaysInItsHallWhileItBeginsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const aim = 4500 * time.Millisecond
		place := func(waiting int, aim time.Duration) string {
			tracker := newTracker(append(listed("s", "north", "1"), listed("s", "south", "2")...)...)
			for range waiting {
				tracker.byID["1"].Begin(Work{Read: 2000, Hold: 2000}, Trace{})
			}
			c := draft(2000)
			c.Aim = aim
			return tracker.Pick(c).ID
		}
		require.Equal(t, "1", place(0, aim))
		require.Equal(t, "1", place(1, aim), "it begins there in time")
		require.Equal(t, "2", place(4, aim), "the hall is about to be full")
		require.Equal(t, "2", place(1, 0), "what goes on elsewhere goes where it is soonest")
	})
}
