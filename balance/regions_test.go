package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/topology"
)

// regionHalls is three regions of two data halls each.
var regionHalls = map[string]string{
	"east-a": "east", "east-b": "east", "mid-a": "mid", "mid-b": "mid", "west-a": "west", "west-b": "west",
}

// regionTracker returns the tracker of a node in east-a. Each data hall has the given
// number of engines, whose IDs begin with the data hall's name.
func regionTracker(engines int, opts ...Option) *Tracker {
	t := NewTracker(WithSeed(1), WithDataHall("east-a"), WithTopology(topology.New("east-a", regionHalls)))
	for _, opt := range opts {
		opt(&t.cfg)
	}
	t.rng = rand.New(rand.NewPCG(t.cfg.Seed, 11))
	var list []discovery.Target
	for _, hall := range slices.Sorted(maps.Keys(regionHalls)) {
		for i := range engines {
			list = append(list, discovery.Target{
				ID: fmt.Sprint(hall, "-", i), Service: "s", Address: fmt.Sprint(hall, "-", i, ":80"), DataHall: hall, Slots: 6,
			})
		}
	}
	t.Update(list)
	t.speedOf("s").prefillPerMS.value = 8 // a prompt of 8,000 tokens takes 1 s
	t.SetEngines(map[string]Engine{"s": {Memory: 90000, Slots: 64}})
	t.SetCrossHallLag(10 * time.Millisecond)
	t.SetCrossRegionLag(70 * time.Millisecond)
	return t
}

// region returns the region of a target.
func (t *Tracker) region(target *Target) string { return t.cfg.Topology.Region(target.DataHall) }

// regionChoice is a new stream of 8,000 tokens that should begin within 4.5 s.
func regionChoice() Choice {
	return Choice{Service: "s", Work: Work{PrefillTokens: 8000, MemoryTokens: 8400}, Admission: true, FirstEventGoal: 4500 * time.Millisecond}
}

// fillHall begins the given number of prompts at each engine of a data hall.
func (t *Tracker) fillHall(hall string, engines, prompts int) {
	for i := range engines {
		for range prompts {
			t.byID[fmt.Sprint(hall, "-", i)].Begin(Work{PrefillTokens: 8000, MemoryTokens: 8400}, Trace{})
		}
	}
}

func TestStreamLeavesRegionOnlyToBeginConsiderablySooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := regionTracker(4)
		require.Equal(t, "east-a", tracker.Pick(regionChoice()).DataHall)
		tracker.fillHall("east-a", 4, 1)
		require.Equal(t, "east", tracker.region(tracker.Pick(regionChoice())), "one prefill of 1 s is pending")
		tracker.fillHall("east-b", 4, 1)
		require.Equal(t, "east", tracker.region(tracker.Pick(regionChoice())))
		tracker.fillHall("east-a", 4, 1)
		tracker.fillHall("east-b", 4, 1)
		require.NotEqual(t, "east", tracker.region(tracker.Pick(regionChoice())), "two prefills are pending at each engine of the region")
	})
}

func TestPlainRequestLeavesRegionOnlyIfWorthTheRoundTrip(t *testing.T) {
	tracker := regionTracker(1)
	lookup := Choice{Service: "s"}
	leaves := func(localRuns, remoteRuns int) bool {
		tracker := regionTracker(1)
		for range localRuns {
			tracker.byID["east-a-0"].Begin(Work{}, Trace{})
			tracker.byID["east-b-0"].Begin(Work{}, Trace{})
		}
		for _, hall := range []string{"mid-a", "mid-b", "west-a", "west-b"} {
			for range remoteRuns {
				tracker.byID[hall+"-0"].Begin(Work{}, Trace{})
			}
		}
		return tracker.region(tracker.Pick(lookup)) != "east"
	}
	require.Equal(t, "east-a", tracker.Pick(lookup).DataHall)
	require.False(t, leaves(4, 0), "four requests ahead cost less than the round trip")
	require.True(t, leaves(18, 0), "three times the slots")
	require.False(t, leaves(18, 15))
}

func TestLongRoundTripKeepsPlainRequestsInRegion(t *testing.T) {
	tracker := regionTracker(1)
	for range 18 {
		tracker.byID["east-a-0"].Begin(Work{}, Trace{})
		tracker.byID["east-b-0"].Begin(Work{}, Trace{})
	}
	for _, id := range []string{"mid-a-0", "mid-b-0", "west-a-0"} {
		for range 20 {
			tracker.RecordRoundTrip(id, 240*time.Millisecond)
		}
	}
	require.Equal(t, "west-b", tracker.Pick(Choice{Service: "s"}).DataHall, "its round trip was not measured")
	tracker.RecordRoundTrip("west-b-0", 240*time.Millisecond)
	require.Equal(t, "east", tracker.region(tracker.Pick(Choice{Service: "s"})))
}

// A region whose own clients need its engines must accept no new streams from others,
// but still resume those that have begun.
func TestBusyRegionAcceptsNoSpillover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := regionTracker(4)
		tracker.fillHall("east-a", 4, 4)
		tracker.fillHall("east-b", 4, 4)
		tracker.fillHall("mid-a", 4, 1)
		tracker.fillHall("mid-b", 3, 1)
		for range 20 {
			require.Equal(t, "west", tracker.region(tracker.Pick(regionChoice())), "one engine of eight is idle in mid")
		}
		tracker.fillHall("west-a", 4, 1)
		tracker.fillHall("west-b", 4, 1)
		require.Equal(t, "east", tracker.region(tracker.Pick(regionChoice())), "no region accepts spillover: it waits in its own")
		resumed := regionChoice()
		resumed.Admission = false
		resumed.FailedHalls = map[string]int{"east-a": 1}
		require.NotEqual(t, "east", tracker.region(tracker.Pick(resumed)))
	})
}

// Nodes of an overloaded region must spread over the engines of other regions, although
// they learn late of each other's runs there.
func TestSpilloverIsSpreadOverEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, engines = 24, 20
		chosen := map[string]int{}
		regions := map[string]int{}
		for n := range nodes {
			tracker := regionTracker(engines, WithSeed(uint64(n)))
			tracker.SetPropagationDelay(60 * time.Millisecond)
			tracker.fillHall("east-a", engines, 5)
			tracker.fillHall("east-b", engines, 5)
			target := tracker.Pick(regionChoice())
			chosen[target.ID]++
			regions[tracker.region(target)]++
		}
		require.Zero(t, regions["east"])
		require.Positive(t, regions["mid"])
		require.Positive(t, regions["west"])
		for id, n := range chosen {
			require.LessOrEqual(t, n, 4, id)
		}
	})
}

// A site with one region must select as one without regions.
func TestSingleRegionSelectsAsWithoutRegions(t *testing.T) {
	choices := func(regions map[string]string) (ids []string) {
		synctest.Test(t, func(t *testing.T) {
			tracker := regionTracker(4, WithTopology(topology.New("east-a", regions)))
			for range 40 {
				target := tracker.Pick(regionChoice())
				ids = append(ids, target.ID)
				target.Begin(Work{PrefillTokens: 8000, MemoryTokens: 8400}, Trace{})
			}
		})
		return ids
	}
	one := map[string]string{}
	for hall := range regionHalls {
		one[hall] = "island"
	}
	require.Equal(t, choices(nil), choices(one))
}

// A copy must be kept in another region than its run, since a region's engines may be
// lost together. Only if all others are full, the run's region takes it in its other
// data hall.
func TestCopyIsPlacedInAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := regionTracker(2)
		copyOf := Choice{Service: "s", Copy: true, AvoidHall: "mid-a", Work: Work{MemoryTokens: 8400}}
		for range 20 {
			require.NotEqual(t, "mid", tracker.region(tracker.Pick(copyOf)))
		}
		for _, hall := range []string{"east-a", "east-b", "west-a", "west-b"} {
			for i := range 2 {
				for range 5 {
					tracker.byID[fmt.Sprint(hall, "-", i)].Begin(Work{MemoryTokens: 16000}, Trace{})
				}
			}
		}
		require.Equal(t, "mid-b", tracker.Pick(copyOf).DataHall, "the other regions are full")
	})
}

// After the loss of all engines of a region, its nodes must spread over the engines of
// the other regions, for resumed and for new runs.
func TestNodesSpreadAfterLossOfRegion(t *testing.T) {
	lost := regionChoice()
	lost.Admission, lost.FirstEventGoal, lost.FailedHalls = false, 0, map[string]int{"east-a": 1}
	for name, choice := range map[string]Choice{"lost": lost, "new": regionChoice()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chosen := map[string]int{}
				for n := range 40 {
					target := afterLossOfRegion(uint64(n)).Pick(choice)
					require.NotContains(t, target.DataHall, "east", "both data halls are suspect")
					chosen[target.ID]++
				}
				for id, n := range chosen {
					require.LessOrEqual(t, n, 4, id)
				}
			})
		})
	}
}

// afterLossOfRegion returns the tracker of one of 40 nodes with one run each in east-a,
// just after half of the engines of region east failed.
func afterLossOfRegion(seed uint64) *Tracker {
	const nodes, engines = 40, 20
	tracker := regionTracker(engines, WithSeed(seed))
	tracker.SetPropagationDelay(60 * time.Millisecond)
	var runs []RunReport
	for i := range nodes {
		runs = append(runs, RunReport{Number: uint64(i), Target: fmt.Sprint("east-a-", i%engines), PendingTokens: 8000, MemoryTokens: 8400})
	}
	tracker.SetPeerRuns("others", runs)
	for _, hall := range []string{"east-a", "east-b"} {
		for i := range engines / 2 {
			tracker.byID[fmt.Sprint(hall, "-", i)].RecordFailure()
		}
	}
	return tracker
}
