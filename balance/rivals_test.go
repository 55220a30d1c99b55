package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
)

// siteEngines lists engines, spread over halls.
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

// crash has many nodes lose the engines of a hall at the same moment, at which
// they had one run each, and returns how many runs go to the engine that most go
// to.
func crash(nodes, engines, halls int) (most int) {
	var runs []Shared
	for i := range nodes {
		runs = append(runs, Shared{Number: uint64(i), Target: fmt.Sprint("i-", (i*halls)%engines), Read: 8000, Hold: 8400})
	}
	chosen := map[string]int{}
	for n := range nodes {
		t := NewTracker(WithSeed(uint64(n)), WithDataHall(fmt.Sprint("hall-", n%halls)))
		t.Update(siteEngines(engines, halls))
		t.SetNewsLag(100 * time.Millisecond)
		t.SetOthers("others", runs)
		t.byID["i-1"].speed, t.byID["i-1"].speedAt = estimate{value: 1.4, seen: 9}, time.Now() // all know that it is the fastest
		c := Choice{Service: "s", Work: Work{Read: 8000, Hold: 8400}, FailedHalls: map[string]int{"hall-0": 1}}
		id := t.Pick(c).ID
		chosen[id]++
		most = max(most, chosen[id])
	}
	return most
}

func TestNodesThatLoseAHallTogetherPart(t *testing.T) {
	require.LessOrEqual(t, crash(86, 512, 6), 6)
	require.LessOrEqual(t, crash(20, 60, 3), 6)
}

// Where choices rarely meet, the best engine is taken.
func TestChoiceWithoutRivalsIsTheBest(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	tr.Update(siteEngines(24, 1))
	tr.SetNewsLag(20 * time.Millisecond)
	tr.byID["i-7"].speed, tr.byID["i-7"].speedAt = estimate{value: 2, seen: 9}, time.Now()
	for range 20 {
		require.Equal(t, "i-7", tr.Pick(Choice{Service: "s", Work: Work{Read: 8000, Hold: 8400}}).ID)
	}
}

// An engine that reads for long is not drawn, however many rivals there are.
func TestDrawKeepsToTheGoodEngines(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	var all []candidate
	for i := range 100 {
		target := &Target{}
		target.ID = fmt.Sprint(i)
		all = append(all, candidate{target: target, score: float64(i) * 100})
	}
	for range 200 {
		score := 0
		_, err := fmt.Sscan(tr.draw(all, 1000, 1500).ID, &score)
		require.NoError(t, err)
		require.LessOrEqual(t, score, 15)
	}
	require.Nil(t, tr.draw(nil, 5, 1500))
}

// Under round-robin targets are chosen in the order in which they are listed.
func TestRoundRobinKeepsTheOrderOfTheList(t *testing.T) {
	tr := NewTracker(WithSeed(1), WithPolicy(RoundRobin))
	tr.Update(siteEngines(40, 4))
	for i := range 80 {
		require.Equal(t, fmt.Sprint("i-", i%40), tr.Pick(Choice{Service: "s", Work: Work{Read: 8000, Hold: 8400}}).ID)
	}
}

// A stand-in of an engine that answered in no time had the estimate of a whole
// run sink to 0: the number of rivals overflowed, and each request panicked.
func TestRunsThatTakeNoTimeDoNotBreakTheChoice(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	tr.Update(siteEngines(24, 1))
	tr.SetNewsLag(20 * time.Millisecond)
	tr.SetOthers("others", []Shared{{Number: 1, Target: "i-3", Read: 8000, Hold: 8400}})
	for _, wholeMS := range []float64{0, 1e-300} {
		tr.paceOf("s").wholeMS.value = wholeMS
		require.NotNil(t, tr.Pick(Choice{Service: "s", Work: Work{Read: 8000, Hold: 8400}}))
	}
}
