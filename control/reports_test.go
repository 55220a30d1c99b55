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

// taker answers reports as a member whose process has a name.
type taker struct {
	id     uint64
	closed metering.Window
	down   bool
	asked  []walnutramp.NodeName
	told   TellArgs // newest
	passed PassArgs // newest
}

// Call implements Peers.
func (p *taker) Call(_ context.Context, node walnutramp.NodeName, _ string, args, reply any) error {
	p.asked = append(p.asked, node)
	if p.down {
		return errors.New("no answer")
	}
	switch args := args.(type) {
	case TellArgs:
		p.told = args
	case PassArgs:
		p.passed = args
	}
	*reply.(*TellReply) = TellReply{Code: walnutramp.CodeOK, To: p.id, Closed: p.closed}
	return nil
}

// rightClock tells the time of day.
type rightClock struct{}

func (rightClock) Now() (time.Time, time.Duration, bool) { return time.Now(), 0, true }

func newTestTeller(p *taker, demand DemandSource) (*teller, *metering.Counter) {
	counter := metering.NewCounter(metering.Config{Span: time.Hour}, rightClock{})
	c := &Client{peers: p, usage: counter, demand: demand, seeds: []walnutramp.NodeName{"m1"}, near: "m2"}
	return &teller{client: c, demand: map[string]fleet.Demand{}}, counter
}

func TestNodeTellsEverythingToWhoeverIsNew(t *testing.T) {
	p := &taker{id: 1}
	rows := []fleet.Demand{{Service: "s", Requests: 1}, {Service: "t", Requests: 1}}
	teller, counter := newTestTeller(p, func() []fleet.Demand { return rows })
	tell := func() TellArgs {
		p.told = TellArgs{}
		teller.tell(t.Context(), time.Second)
		return p.told
	}
	counter.Count("a", time.Now())
	counter.Count("b", time.Now())
	told := tell()
	require.Len(t, told.Usage, 2)
	require.Len(t, told.Demand, 2)
	require.Empty(t, tell().Usage, "nothing is new")

	counter.Count("a", time.Now())
	rows = []fleet.Demand{{Service: "s", Requests: 2}, {Service: "t", Requests: 1}}
	told = tell()
	require.Len(t, told.Usage, 1)
	require.Equal(t, rows[:1], told.Demand)

	p.id = 2 // it has started anew
	counter.Count("a", time.Now())
	tell()
	told = tell()
	require.Len(t, told.Usage, 2)
	require.Equal(t, rows, told.Demand)
}

// A node that merely has no requests goes on telling for as long as a silent one
// is waited for, so that it holds no window up.
func TestIdleNodeIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &taker{id: 1}
		teller, counter := newTestTeller(p, nil)
		counter.Count("a", time.Now())
		teller.tell(t.Context(), time.Second)
		counter.Closed(math.MaxUint32)
		calls := len(p.asked)
		for range 10 {
			time.Sleep(tellAnyway)
			teller.tell(t.Context(), time.Second)
		}
		require.Equal(t, calls+10, len(p.asked))
		time.Sleep(silentFor)
		teller.tell(t.Context(), time.Second)
		require.Equal(t, calls+10, len(p.asked), "nobody waits for it any more")
	})
}

func TestNodeTellsAnotherMemberWhereOneIsSilent(t *testing.T) {
	p := &taker{id: 1, down: true}
	teller, counter := newTestTeller(p, nil)
	counter.Count("a", time.Now())
	teller.tell(t.Context(), time.Second)
	p.down = false
	teller.tell(t.Context(), time.Second)
	require.Equal(t, []walnutramp.NodeName{"m2", "m1"}, p.asked)
	require.Len(t, p.told.Usage, 1, "what was lost is told again")

	p.closed = metering.Config{Span: time.Hour}.Window(time.Now())
	counter.Count("a", time.Now())
	teller.tell(t.Context(), time.Second)
	require.Zero(t, counter.Stats().Rows, "the window is closed")
}

func TestMemberPassesEverythingOnToANewLeader(t *testing.T) {
	p := &taker{id: 1}
	r := &Reports{peers: p, tally: metering.NewTally(), demands: map[metering.Source]*demand{}}
	take := func(count uint64) {
		from := metering.Source{Node: "e1"}
		r.tally.Take(from, []metering.Row{{Window: 7, Account: "a", Count: count}}, time.Now())
		r.takeDemand(from, []fleet.Demand{{Service: "s", Requests: count}}, time.Now())
	}
	pass := func(leader walnutramp.NodeName) []NodeReport {
		p.passed = PassArgs{}
		r.pass(t.Context(), leader)
		return p.passed.Reports
	}
	whole := []NodeReport{{Node: "e1", Usage: []metering.Row{{Window: 7, Account: "a", Count: 1}}, Demand: []fleet.Demand{{Service: "s", Requests: 1}}}}
	take(1)
	require.Equal(t, whole, pass("m1"))
	require.Empty(t, pass("m1"))
	require.Equal(t, whole, pass("m2"), "another leader")
	p.id = 2 // it has started anew
	r.passedAt = time.Time{}
	require.Empty(t, pass("m2"))
	require.Equal(t, whole, pass("m2"))
	p.down = true
	r.passedAt = time.Time{}
	pass("m2")
	p.down = false
	require.Equal(t, whole, pass("m2"), "the last call may be lost")
}
