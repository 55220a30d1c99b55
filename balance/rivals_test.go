package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
)

// siteEngines returns engines spread over data halls.
func siteEngines(n, halls int) []discovery.Target {
	var list []discovery.Target
	for i := range n {
		list = append(list, discovery.Target{
			ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			DataHall: fmt.Sprint("hall-", i%halls), Slots: 24,
		})
	}
	return list
}

// maxRunsAfterHallLoss has nodes that each had one run in a failed data hall select at
// the same time, and returns the number of runs at the most selected engine.
func maxRunsAfterHallLoss(nodes, engines, halls int) (most int) {
	var runs []RunReport
	for i := range nodes {
		runs = append(runs, RunReport{Number: uint64(i), Target: fmt.Sprint("i-", (i*halls)%engines), PendingTokens: 8000, MemoryTokens: 8400})
	}
	chosen := map[string]int{}
	for n := range nodes {
		t := NewTracker(WithSeed(uint64(n)), WithDataHall(fmt.Sprint("hall-", n%halls)))
		t.Update(siteEngines(engines, halls))
		t.SetPropagationDelay(100 * time.Millisecond)
		t.SetPeerRuns("others", runs)
		t.byID["i-1"].relativeEstimate, t.byID["i-1"].relativeEstimateAt = estimate{value: 1.4, samples: 9}, time.Now() // all nodes know it as the fastest
		c := Choice{Service: "s", Work: Work{PrefillTokens: 8000, MemoryTokens: 8400}, FailedHalls: map[string]int{"hall-0": 1}}
		id := t.Pick(c).ID
		chosen[id]++
		most = max(most, chosen[id])
	}
	return most
}

func TestNodesSpreadAfterLossOfDataHall(t *testing.T) {
	require.LessOrEqual(t, maxRunsAfterHallLoss(86, 512, 6), 6)
	require.LessOrEqual(t, maxRunsAfterHallLoss(20, 60, 3), 6)
}

// Without concurrent selections, the best engine must be selected.
func TestBestEngineIsSelectedWithoutConcurrency(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	tr.Update(siteEngines(24, 1))
	tr.SetPropagationDelay(20 * time.Millisecond)
	tr.byID["i-7"].relativeEstimate, tr.byID["i-7"].relativeEstimateAt = estimate{value: 2, samples: 9}, time.Now()
	for range 20 {
		require.Equal(t, "i-7", tr.Pick(Choice{Service: "s", Work: Work{PrefillTokens: 8000, MemoryTokens: 8400}}).ID)
	}
}

// An engine with a long backlog must not be sampled, however many concurrent selections
// there are.
func TestSamplingExcludesBadEngines(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	var all []candidate
	for i := range 100 {
		target := &Target{}
		target.ID = fmt.Sprint(i)
		all = append(all, candidate{target: target, score: float64(i) * 100})
	}
	for range 200 {
		score := 0
		_, err := fmt.Sscan(tr.sampleBest(all, 1000, 1500).ID, &score)
		require.NoError(t, err)
		require.LessOrEqual(t, score, 15)
	}
	require.Nil(t, tr.sampleBest(nil, 5, 1500))
}

// RoundRobin must follow the order of the list.
func TestRoundRobinFollowsListOrder(t *testing.T) {
	tr := NewTracker(WithSeed(1), WithPolicy(RoundRobin))
	tr.Update(siteEngines(40, 4))
	for i := range 80 {
		require.Equal(t, fmt.Sprint("i-", i%40), tr.Pick(Choice{Service: "s", Work: Work{PrefillTokens: 8000, MemoryTokens: 8400}}).ID)
	}
}

// An estimated run duration of 0 must not overflow the number of concurrent selections,
// which would make Pick panic.
func TestZeroRunDurationDoesNotOverflow(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	tr.Update(siteEngines(24, 1))
	tr.SetPropagationDelay(20 * time.Millisecond)
	tr.SetPeerRuns("others", []RunReport{{Number: 1, Target: "i-3", PendingTokens: 8000, MemoryTokens: 8400}})
	for _, runMS := range []float64{0, 1e-300} {
		tr.speedOf("s").runMS.value = runMS
		require.NotNil(t, tr.Pick(Choice{Service: "s", Work: Work{PrefillTokens: 8000, MemoryTokens: 8400}}))
	}
}
