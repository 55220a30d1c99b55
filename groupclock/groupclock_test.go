package groupclock

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// world is true time, and a way between hosts whose delays differ by
// direction.
type world struct {
	now time.Duration
	rng *rand.Rand
}

func newWorld(seed uint64) *world {
	return &world{now: 1000 * time.Hour, rng: rand.New(rand.NewPCG(seed, 3))}
}

// steady returns a steady clock that runs off by parts in a million.
func (w *world) steady(off float64) Steady {
	began := w.now - time.Duration(w.rng.IntN(1e9))
	return func() time.Duration { return time.Duration(float64(w.now-began) * (1 + off/1e6)) }
}

// pass lets a message take its time one way.
func (w *world) pass(least time.Duration) {
	w.now += least + time.Duration(w.rng.ExpFloat64()*float64(500*time.Microsecond))
}

// ask has an agreement hear a member whose time of day is off.
func (w *world) ask(a *Agreement, member string, way, off time.Duration) {
	asked := a.Steady()
	w.pass(way)
	unix := w.now + off
	w.pass(way)
	a.Heard(member, unix, asked)
}

// follow has a follower hear another clock, whose answer is held for a while.
func (w *world) follow(f, from *Follower, way, held time.Duration) {
	asked := f.Steady()
	w.pass(way)
	w.now += held
	stamp := from.Stamp(held)
	w.pass(way)
	if stamp != nil {
		f.Heard(*stamp, asked)
	}
}

// off is how wrong a clock is.
func (w *world) off(t *testing.T, c Clock) time.Duration {
	now, within, known := c.Now()
	require.True(t, known)
	off := (time.Duration(now.UnixNano()) - w.now).Abs()
	require.LessOrEqual(t, off, within, "the bound holds")
	return off
}

// round has all members asked.
func (w *world) round(a *Agreement, way time.Duration, offs ...time.Duration) {
	for i, off := range offs {
		memberWay := way
		if i == 0 {
			memberWay = 0
		}
		w.ask(a, fmt.Sprint("m", i), memberWay, off)
	}
}

func TestTwoOfSixClocksThatWereSetMoveNothing(t *testing.T) {
	const set, regions = 3 * time.Second, 12 * time.Millisecond
	for name, offs := range map[string][]time.Duration{
		"both ahead":   {0, set, set, 0, 0, 0},
		"both behind":  {0, -set, -set, 0, 0, 0},
		"apart":        {0, set, -set, 0, 0, 0},
		"asker's, too": {set, 0, set, 0, 0, 0},
	} {
		for _, way := range []time.Duration{700 * time.Microsecond, regions} {
			t.Run(fmt.Sprint(name, way), func(t *testing.T) {
				w := newWorld(1)
				steady := w.steady(40)
				a, f, node := NewAgreement(steady), NewFollower(steady), NewFollower(w.steady(-40))
				var worst time.Duration
				for range 60 {
					w.round(a, way, offs...)
					r := a.Result(6)
					require.True(t, r.Agreed)
					require.Greater(t, r.Spread, set-50*time.Millisecond)
					f.Agreed(r)
					w.follow(node, f, way, time.Second)
					worst = max(worst, w.off(t, f), w.off(t, node))
				}
				t.Logf("off by %v at most, bound %v", worst, a.Result(6).Within)
				require.Less(t, worst, 30*time.Millisecond)
			})
		}
	}
}

func TestClockThatIsSetWhileItIsWatched(t *testing.T) {
	w := newWorld(2)
	steady := w.steady(0)
	a, f := NewAgreement(steady), NewFollower(steady)
	offs := []time.Duration{0, 0, 0, 0, 0, 0}
	for i := range 40 {
		switch i {
		case 10:
			offs[0], offs[3] = 3*time.Second, 3*time.Second
		case 20:
			offs[0], offs[3] = -3*time.Second, 0
		}
		w.round(a, time.Millisecond, offs...)
		f.Agreed(a.Result(6))
		require.Less(t, w.off(t, f), 5*time.Millisecond)
		w.now += time.Second
	}
}

func TestTooFewOrDividedMembersAgreeOnNothing(t *testing.T) {
	const set = 3 * time.Second
	w := newWorld(3)
	steady := w.steady(0)
	a, f := NewAgreement(steady), NewFollower(steady)
	f.Agreed(a.Result(6))
	_, _, known := f.Now()
	require.False(t, known, "nobody was heard")

	w.round(a, time.Millisecond, 0, 0, 0)
	require.False(t, a.Result(6).Agreed, "three of six are no majority")
	w.round(a, time.Millisecond, 0, 0, set, set)
	require.False(t, a.Result(6).Agreed, "two against two")

	w.round(a, time.Millisecond, 0, 0, 0, 0)
	f.Agreed(a.Result(6))
	w.now += time.Minute
	require.False(t, a.Result(6).Agreed, "heard too long ago")
	require.Less(t, w.off(t, f), 30*time.Millisecond, "bridged from the last known time")
}

func TestSlowAnswersDoNotBlurAClock(t *testing.T) {
	w := newWorld(4)
	source, node := NewFollower(w.steady(0)), NewFollower(w.steady(50))
	source.take(sample{at: source.Steady(), offset: w.now - source.Steady()})
	require.Nil(t, node.Stamp(0), "unknown until first heard")
	w.follow(node, source, time.Millisecond, 0)
	for range 5 {
		asked := node.Steady()
		w.now += 800 * time.Millisecond // one way alone is slow
		node.Heard(*source.Stamp(0), asked)
		require.Less(t, w.off(t, node), 10*time.Millisecond)
	}
}

func TestFollowerFollowsATimeThatWasCorrected(t *testing.T) {
	w := newWorld(5)
	from, node := NewFollower(w.steady(0)), NewFollower(w.steady(0))
	from.take(sample{at: from.Steady(), offset: w.now - from.Steady() + time.Second})
	w.follow(node, from, time.Millisecond, 0)
	from.take(sample{at: from.Steady(), offset: w.now - from.Steady()})
	w.follow(node, from, time.Millisecond, 0)
	require.Less(t, w.off(t, node), 10*time.Millisecond)
}
