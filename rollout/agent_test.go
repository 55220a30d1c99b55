package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// node is an agent with a clock of its own.
type node struct {
	*Agent
	now time.Time
}

func newNode(seed uint64) *node {
	n := &node{now: time.Unix(1000, 0)}
	n.Agent = NewAgent(seed, WithClock(func() time.Time { return n.now }))
	return n
}

func running(number uint64) View {
	return View{Revision: number, Records: []Record{{Service: "s", InForce: []string{"v1"}, Number: number, Target: "v2", State: Running}}}
}

func permit(share float64) []Permit {
	return []Permit{{Service: "s", Number: 1, Other: share, For: PermitLife}}
}

func TestVersionsThatRequestsGoTo(t *testing.T) {
	n := newNode(1)
	require.True(t, n.Versions("s", false).Any(), "nothing is known yet")
	require.True(t, n.SetView(running(1)))
	require.False(t, n.SetView(running(1)), "it is known")
	require.True(t, n.Versions("s", false).Has("v1"))
	require.False(t, n.Versions("s", false).Has("v2"))
	require.False(t, n.Versions("s", false).Has("v3"), "nobody ordered it")
	require.False(t, n.Versions("s", true).Has("v1"))
	require.True(t, n.Versions("s", true).Has("v2"))
	require.True(t, n.Versions("other", false).Any())
	require.False(t, n.MayUse("s", "v2"), "there is no permit")
	n.SetPermits(permit(0.1), n.now)
	require.True(t, n.MayUse("s", "v2"))
	require.True(t, n.MayUse("s", "v1"))
	done := running(1)
	done.Revision, done.Records[0].State, done.Records[0].InForce = 2, Completed, []string{"v2"}
	n.SetView(done)
	require.False(t, n.Versions("s", false).Has("v1"))
	require.False(t, n.SetView(running(1)), "a view never goes back")
	require.False(t, n.Draw("s", "r"), "it is over")
	require.True(t, n.Versions("s", false).Has("v2"))
}

// A node that was cut off or frozen sends nothing to the new version when its
// permit is over, by its own clock and from when it asked.
func TestPermitEnds(t *testing.T) {
	n := newNode(1)
	n.SetView(running(1))
	require.False(t, n.Draw("s", "r"))
	asked := n.now
	n.now = n.now.Add(300 * time.Millisecond) // the answer took so long
	n.SetPermits(permit(1), asked)
	require.True(t, n.Draw("s", "r"))
	require.True(t, n.Shifted("s"))
	n.now = asked.Add(PermitLife)
	require.False(t, n.Draw("s", "r"))
	require.False(t, n.Shifted("s"))
	n.SetPermits([]Permit{{Service: "s", Number: 7, Other: 1, For: time.Hour}}, n.now)
	require.False(t, n.Draw("s", "r"), "it is for another roll-out")
}

// Many nodes with few requests each send the permitted share together.
func TestNodesSendThePermittedShareTogether(t *testing.T) {
	const nodes, requests, share = 300, 7, 0.05
	drawn := 0
	for i := range nodes {
		n := newNode(uint64(i))
		n.SetView(running(1))
		n.SetPermits(permit(share), n.now)
		for range requests {
			if n.Draw("s", "r") {
				drawn++
			}
		}
	}
	require.InDelta(t, share*nodes*requests, drawn, 30)
}

func TestDrawThatFoundNoTargetIsMadeUp(t *testing.T) {
	n := newNode(1)
	n.SetView(running(1))
	n.SetPermits(permit(0.5), n.now)
	for range 20 {
		if n.Draw("s", "r") {
			n.Undo("s", "r")
		}
	}
	require.True(t, n.Draw("s", "r"))
	drawn := 0
	for range 100 {
		if n.Draw("s", "r") {
			drawn++
		}
	}
	require.InDelta(t, 50, drawn, 3, "no burst of what was saved up")
}

func TestReportsTellChangesAndEverythingToANewJudge(t *testing.T) {
	n := newNode(1)
	require.Nil(t, n.Begin(Key{Service: "s"}), "there is nothing to weigh")
	n.SetView(running(1))
	answer := func(version string, o Outcome) {
		r := n.Begin(Key{Service: "s", Route: "r", Version: version, DataHall: "h", Target: "t"})
		n.now = n.now.Add(30 * time.Millisecond)
		r.First()
		r.Pace(5 * time.Millisecond)
		r.Ended(o)
		r.Ended(o) // counts once
	}
	answer("v1", Served)
	answer("v2", Failed)
	n.Report(0)
	all := n.Report(5)
	require.Len(t, all, 2)
	require.Empty(t, n.Report(5), "nothing is new")
	answer("v2", Lost)
	news := n.Report(5)
	require.Len(t, news, 1)
	require.Equal(t, "t", news[0].Key.Target)
	require.EqualValues(t, 2, news[0].Counts.Answered())
	require.Len(t, n.Report(6), 2, "another judge")
	n.Unreported()
	require.Len(t, n.Report(6), 2, "the last one was lost")

	tally := NewTally()
	require.Len(t, tally.Take("n", 1, all), 2)
	fresh := tally.Take("n", 1, news)
	require.Len(t, fresh, 1)
	require.EqualValues(t, 1, fresh[0].Counts.Answered())
	require.Empty(t, tally.Take("n", 1, all[:0]))
	tally.Take("n", 2, all) // the node was started again
	sums := tally.Sums("s")
	require.EqualValues(t, 3, sums[news[0].Key].Lost+sums[news[0].Key].Failed)
	tally.Forget("s")
	require.Empty(t, tally.Sums("s"))
}

// A request that is slow is counted before its first event comes, so that a slow
// version does not hide behind the answers that it owes.
func TestLateRequestsCountBeforeTheyAreAnswered(t *testing.T) {
	n := newNode(1)
	n.SetView(running(1))
	p := permit(1)
	p[0].Late = map[string]time.Duration{"r": 100 * time.Millisecond}
	n.SetPermits(p, n.now)
	r := n.Begin(Key{Service: "s", Route: "r", Version: "v2", Target: "t"})
	require.Empty(t, n.Report(1)[0].Counts.First)
	n.now = n.now.Add(150 * time.Millisecond)
	n.SetPermits(p, n.now)
	require.EqualValues(t, 1, n.Report(1)[0].Counts.First.total())
	r.First()
	require.Empty(t, n.Report(1), "it is counted once")
	r.Dropped()
	r.Ended(Served)
	require.Empty(t, n.Report(1), "it was dropped")
}

func TestNothingIsNotedWithoutARollout(t *testing.T) {
	var r *Request
	r.First()
	r.Pace(time.Second)
	r.Ended(Lost)
	r.Dropped()
}

// A node whose machine was suspended sends nothing to the new version after it
// wakes: others may have taken it back meanwhile.
func TestPermitEndsWhileTheMachineIsSuspended(t *testing.T) {
	a := NewAgent(1)
	a.SetView(running(1))
	a.SetPermits(permit(1), uptime.Now())
	require.True(t, a.MayUse("s", "v2"))
	t.Cleanup(uptime.Pretend(PermitLife + time.Second))
	require.False(t, a.MayUse("s", "v2"))
}
