package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// testNode is an agent with a manual clock.
type testNode struct {
	*Agent
	now time.Time
}

func newTestNode(seed uint64) *testNode {
	n := &testNode{now: time.Unix(1000, 0)}
	n.Agent = NewAgent(seed, WithClock(func() time.Time { return n.now }))
	return n
}

func running(number uint64) View {
	return View{Revision: number, Records: []Record{{Service: "s", InForce: []string{"v1"}, Number: number, Target: "v2", State: Running}}}
}

func permit(share float64) []Permit {
	return []Permit{{Service: "s", Number: 1, Other: share, For: PermitLife}}
}

func TestAgentVersions(t *testing.T) {
	n := newTestNode(1)
	require.True(t, n.Versions("s", false).Any(), "no view yet")
	require.True(t, n.SetView(running(1)))
	require.False(t, n.SetView(running(1)), "same revision")
	require.True(t, n.Versions("s", false).Has("v1"))
	require.False(t, n.Versions("s", false).Has("v2"))
	require.False(t, n.Versions("s", false).Has("v3"), "version was not ordered")
	require.False(t, n.Versions("s", true).Has("v1"))
	require.True(t, n.Versions("s", true).Has("v2"))
	require.True(t, n.Versions("other", false).Any())
	require.False(t, n.MayUse("s", "v2"), "no permit")
	n.SetPermits(permit(0.1), n.now)
	require.True(t, n.MayUse("s", "v2"))
	require.True(t, n.MayUse("s", "v1"))
	done := running(1)
	done.Revision, done.Records[0].State, done.Records[0].InForce = 2, Completed, []string{"v2"}
	n.SetView(done)
	require.False(t, n.Versions("s", false).Has("v1"))
	require.False(t, n.SetView(running(1)), "older revision")
	require.False(t, n.SelectCanary("s", "r"), "rollout has ended")
	require.True(t, n.Versions("s", false).Has("v2"))
}

// Guards against a partitioned or suspended node that keeps sending to the new
// version after its permit has expired.
func TestPermitExpires(t *testing.T) {
	n := newTestNode(1)
	n.SetView(running(1))
	require.False(t, n.SelectCanary("s", "r"))
	asked := n.now
	n.now = n.now.Add(300 * time.Millisecond) // latency of the permit request
	n.SetPermits(permit(1), asked)
	require.True(t, n.SelectCanary("s", "r"))
	require.True(t, n.Shifted("s"))
	n.now = asked.Add(PermitLife)
	require.False(t, n.SelectCanary("s", "r"))
	require.False(t, n.Shifted("s"))
	n.SetPermits([]Permit{{Service: "s", Number: 7, Other: 1, For: time.Hour}}, n.now)
	require.False(t, n.SelectCanary("s", "r"), "permit of another rollout")
}

// Checks that many nodes with few requests each reach the permitted share in
// total.
func TestNodesSendPermittedShareInTotal(t *testing.T) {
	const nodes, requests, share = 300, 7, 0.05
	selected := 0
	for i := range nodes {
		n := newTestNode(uint64(i))
		n.SetView(running(1))
		n.SetPermits(permit(share), n.now)
		for range requests {
			if n.SelectCanary("s", "r") {
				selected++
			}
		}
	}
	require.InDelta(t, share*nodes*requests, selected, 30)
}

func TestUndoReturnsCreditWithoutBurst(t *testing.T) {
	n := newTestNode(1)
	n.SetView(running(1))
	n.SetPermits(permit(0.5), n.now)
	for range 20 {
		if n.SelectCanary("s", "r") {
			n.ReturnCredit("s", "r")
		}
	}
	require.True(t, n.SelectCanary("s", "r"))
	selected := 0
	for range 100 {
		if n.SelectCanary("s", "r") {
			selected++
		}
	}
	require.InDelta(t, 50, selected, 3, "accumulated credit must not cause a burst")
}

func TestReportIsIncrementalAndFullForNewEvaluator(t *testing.T) {
	n := newTestNode(1)
	require.Nil(t, n.Begin(Key{Service: "s"}), "no rollout")
	n.SetView(running(1))
	answer := func(version string, o Outcome) {
		r := n.Begin(Key{Service: "s", Route: "r", Version: version, DataHall: "h", Target: "t"})
		n.now = n.now.Add(30 * time.Millisecond)
		r.RecordFirstEvent()
		r.RecordEventInterval(5 * time.Millisecond)
		r.Finish(o)
		r.Finish(o) // ignored
	}
	answer("v1", Served)
	answer("v2", Failed)
	n.Report(0)
	all := n.Report(5)
	require.Len(t, all, 2)
	require.Empty(t, n.Report(5), "no changes")
	answer("v2", Lost)
	changed := n.Report(5)
	require.Len(t, changed, 1)
	require.Equal(t, "t", changed[0].Key.Target)
	require.EqualValues(t, 2, changed[0].Counts.Answered())
	require.Len(t, n.Report(6), 2, "full report for another evaluator")
	n.ResetReport()
	require.Len(t, n.Report(6), 2, "full report after a lost one")

	aggregator := NewAggregator()
	require.Len(t, aggregator.Merge("n", 1, all), 2)
	fresh := aggregator.Merge("n", 1, changed)
	require.Len(t, fresh, 1)
	require.EqualValues(t, 1, fresh[0].Counts.Answered())
	require.Empty(t, aggregator.Merge("n", 1, all[:0]))
	aggregator.Merge("n", 2, all) // restarted node
	sums := aggregator.Sums("s")
	require.EqualValues(t, 3, sums[changed[0].Key].Lost+sums[changed[0].Key].Failed)
	aggregator.Forget("s")
	require.Empty(t, aggregator.Sums("s"))
}

// Guards against a slow version going undetected because its requests are not
// answered yet.
func TestPendingLateRequestsCountAsSlow(t *testing.T) {
	n := newTestNode(1)
	n.SetView(running(1))
	p := permit(1)
	p[0].Late = map[string]time.Duration{"r": 100 * time.Millisecond}
	n.SetPermits(p, n.now)
	r := n.Begin(Key{Service: "s", Route: "r", Version: "v2", Target: "t"})
	require.Empty(t, n.Report(1)[0].Counts.First)
	n.now = n.now.Add(150 * time.Millisecond)
	n.SetPermits(p, n.now)
	require.EqualValues(t, 1, n.Report(1)[0].Counts.First.total())
	r.RecordFirstEvent()
	require.Empty(t, n.Report(1), "first event must be counted once")
	r.Discard()
	r.Finish(Served)
	require.Empty(t, n.Report(1), "no outcome after Dropped")
}

func TestNilRequestIsNoOp(t *testing.T) {
	var r *Request
	r.RecordFirstEvent()
	r.RecordEventInterval(time.Second)
	r.Finish(Lost)
	r.Discard()
}

// Checks that permits expire during machine suspend: the version may have been
// rolled back in the meantime.
func TestPermitExpiresDuringSuspend(t *testing.T) {
	a := NewAgent(1)
	a.SetView(running(1))
	a.SetPermits(permit(1), uptime.Now())
	require.True(t, a.MayUse("s", "v2"))
	t.Cleanup(uptime.Pretend(PermitLife + time.Second))
	require.False(t, a.MayUse("s", "v2"))
}
