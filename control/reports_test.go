package control

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/metering"
)

// fakeReceiver implements Peers and acknowledges reports.
type fakeReceiver struct {
	instanceID   uint64
	closed       metering.Window
	down         bool
	destinations []walnutramp.NodeName
	report       TellArgs // newest
	forwarded    PassArgs // newest
}

// Call implements Peers.
func (p *fakeReceiver) Call(_ context.Context, node walnutramp.NodeName, _ string, args, reply any) error {
	p.destinations = append(p.destinations, node)
	if p.down {
		return errors.New("no answer")
	}
	switch args := args.(type) {
	case TellArgs:
		p.report = args
	case PassArgs:
		p.forwarded = args
	}
	*reply.(*TellReply) = TellReply{Code: walnutramp.CodeOK, To: p.instanceID, Closed: p.closed}
	return nil
}

// accurateClock is a group clock without error.
type accurateClock struct{}

func (accurateClock) Now() (time.Time, time.Duration, bool) { return time.Now(), 0, true }

func newTestReporter(p *fakeReceiver, demand DemandSource) (*usageReporter, *metering.Counter) {
	counter := metering.NewCounter(metering.Config{Span: time.Hour}, accurateClock{})
	c := &Client{peers: p, usage: counter, demand: demand, seeds: []walnutramp.NodeName{"m1"}, reportMember: "m2"}
	return &usageReporter{client: c, acked: map[string]fleet.Demand{}}, counter
}

func TestNodeResendsEverythingToNewReceiver(t *testing.T) {
	p := &fakeReceiver{instanceID: 1}
	rows := []fleet.Demand{{Service: "s", Requests: 1}, {Service: "t", Requests: 1}}
	reporter, counter := newTestReporter(p, func() []fleet.Demand { return rows })
	send := func() TellArgs {
		p.report = TellArgs{}
		reporter.send(t.Context(), time.Second)
		return p.report
	}
	counter.Count("a", time.Now())
	counter.Count("b", time.Now())
	report := send()
	require.Len(t, report.Usage, 2)
	require.Len(t, report.Demand, 2)
	require.Empty(t, send().Usage, "no changes")

	counter.Count("a", time.Now())
	rows = []fleet.Demand{{Service: "s", Requests: 2}, {Service: "t", Requests: 1}}
	report = send()
	require.Len(t, report.Usage, 1)
	require.Equal(t, rows[:1], report.Demand)

	p.instanceID = 2 // restarted
	counter.Count("a", time.Now())
	send()
	report = send()
	require.Len(t, report.Usage, 2)
	require.Equal(t, rows, report.Demand)
}

// An idle node keeps reporting for unresponsiveNodeTimeout, so that it does not delay the
// close of a window.
func TestIdleNodeKeepsReporting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeReceiver{instanceID: 1}
		reporter, counter := newTestReporter(p, nil)
		counter.Count("a", time.Now())
		reporter.send(t.Context(), time.Second)
		counter.RemoveThrough(math.MaxUint32)
		calls := len(p.destinations)
		for range 10 {
			time.Sleep(usageKeepalive)
			reporter.send(t.Context(), time.Second)
		}
		require.Equal(t, calls+10, len(p.destinations))
		time.Sleep(unresponsiveNodeTimeout)
		reporter.send(t.Context(), time.Second)
		require.Equal(t, calls+10, len(p.destinations), "members no longer wait for it")
	})
}

func TestNodeReportsToAnotherMemberAfterFailure(t *testing.T) {
	p := &fakeReceiver{instanceID: 1, down: true}
	reporter, counter := newTestReporter(p, nil)
	counter.Count("a", time.Now())
	reporter.send(t.Context(), time.Second)
	p.down = false
	reporter.send(t.Context(), time.Second)
	require.Equal(t, []walnutramp.NodeName{"m2", "m1"}, p.destinations)
	require.Len(t, p.report.Usage, 1, "lost reports are resent")

	p.closed = metering.Config{Span: time.Hour}.Window(time.Now())
	counter.Count("a", time.Now())
	reporter.send(t.Context(), time.Second)
	require.Zero(t, counter.Stats().Rows, "the window is closed")
}

func TestMemberForwardsEverythingToNewLeader(t *testing.T) {
	p := &fakeReceiver{instanceID: 1}
	r := &ReportCollector{peers: p, aggregator: metering.NewAggregator(), demands: map[metering.Source]*nodeDemand{}}
	receive := func(count uint64) {
		from := metering.Source{Node: "e1"}
		r.aggregator.Merge(from, []metering.Row{{Window: 7, Account: "a", Count: count}}, time.Now())
		r.storeDemand(from, []fleet.Demand{{Service: "s", Requests: count}}, time.Now())
	}
	forward := func(leader walnutramp.NodeName) []NodeReport {
		p.forwarded = PassArgs{}
		r.forward(t.Context(), leader)
		return p.forwarded.Reports
	}
	complete := []NodeReport{{Node: "e1", Usage: []metering.Row{{Window: 7, Account: "a", Count: 1}}, Demand: []fleet.Demand{{Service: "s", Requests: 1}}}}
	receive(1)
	require.Equal(t, complete, forward("m1"))
	require.Empty(t, forward("m1"))
	require.Equal(t, complete, forward("m2"), "another leader")
	p.instanceID = 2 // restarted
	r.forwardedAt = time.Time{}
	require.Empty(t, forward("m2"))
	require.Equal(t, complete, forward("m2"))
	p.down = true
	r.forwardedAt = time.Time{}
	forward("m2")
	p.down = false
	require.Equal(t, complete, forward("m2"), "the previous call may have been lost")
}
