package groupclock

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation holds the true time and a network with asymmetric random delays.
type simulation struct {
	now time.Duration
	rng *rand.Rand
}

func newSimulation(seed uint64) *simulation {
	return &simulation{now: 1000 * time.Hour, rng: rand.New(rand.NewPCG(seed, 3))}
}

// steady returns a monotonic clock with a drift in parts per million.
func (w *simulation) steady(driftPPM float64) Steady {
	began := w.now - time.Duration(w.rng.IntN(1e9))
	return func() time.Duration { return time.Duration(float64(w.now-began) * (1 + driftPPM/1e6)) }
}

// transmit advances the time by a one-way message delay.
func (w *simulation) transmit(minDelay time.Duration) {
	w.now += minDelay + time.Duration(w.rng.ExpFloat64()*float64(500*time.Microsecond))
}

// sampleMember adds a sample of a member whose wall clock is wrong by the given
// offset.
func (w *simulation) sampleMember(a *Agreement, member string, way, off time.Duration) {
	asked := a.Steady()
	w.transmit(way)
	unix := w.now + off
	w.transmit(way)
	a.AddSample(member, unix, asked)
}

// follow sends a follower the stamp of another clock, whose reply is held for a
// while.
func (w *simulation) follow(f, from *Follower, way, held time.Duration) {
	asked := f.Steady()
	w.transmit(way)
	w.now += held
	stamp := from.Stamp(held)
	w.transmit(way)
	if stamp != nil {
		f.AddSample(*stamp, asked)
	}
}

// clockError returns how far a clock is from the true time, and checks its
// error bound.
func (w *simulation) clockError(t *testing.T, c Clock) time.Duration {
	now, within, known := c.Now()
	require.True(t, known)
	off := (time.Duration(now.UnixNano()) - w.now).Abs()
	require.LessOrEqual(t, off, within, "error bound")
	return off
}

// sampleAll samples all members.
func (w *simulation) sampleAll(a *Agreement, way time.Duration, offs ...time.Duration) {
	for i, off := range offs {
		memberWay := way
		if i == 0 {
			memberWay = 0
		}
		w.sampleMember(a, fmt.Sprint("m", i), memberWay, off)
	}
}

func TestMinorityOfWrongClocksIsIgnored(t *testing.T) {
	const set, regions = 3 * time.Second, 12 * time.Millisecond
	for name, offs := range map[string][]time.Duration{
		"both ahead":   {0, set, set, 0, 0, 0},
		"both behind":  {0, -set, -set, 0, 0, 0},
		"apart":        {0, set, -set, 0, 0, 0},
		"asker's, too": {set, 0, set, 0, 0, 0},
	} {
		for _, way := range []time.Duration{700 * time.Microsecond, regions} {
			t.Run(fmt.Sprint(name, way), func(t *testing.T) {
				w := newSimulation(1)
				steady := w.steady(40)
				a, f, node := NewAgreement(steady), NewFollower(steady), NewFollower(w.steady(-40))
				var worst time.Duration
				for range 60 {
					w.sampleAll(a, way, offs...)
					r := a.Result(6)
					require.True(t, r.Agreed)
					require.Greater(t, r.Spread, set-50*time.Millisecond)
					f.SetResult(r)
					w.follow(node, f, way, time.Second)
					worst = max(worst, w.clockError(t, f), w.clockError(t, node))
				}
				t.Logf("maximum error %v, error bound %v", worst, a.Result(6).Within)
				require.Less(t, worst, 30*time.Millisecond)
			})
		}
	}
}

func TestClockSetDuringOperation(t *testing.T) {
	w := newSimulation(2)
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
		w.sampleAll(a, time.Millisecond, offs...)
		f.SetResult(a.Result(6))
		require.Less(t, w.clockError(t, f), 5*time.Millisecond)
		w.now += time.Second
	}
}

func TestNoAgreementWithoutMajority(t *testing.T) {
	const set = 3 * time.Second
	w := newSimulation(3)
	steady := w.steady(0)
	a, f := NewAgreement(steady), NewFollower(steady)
	f.SetResult(a.Result(6))
	_, _, known := f.Now()
	require.False(t, known, "no samples")

	w.sampleAll(a, time.Millisecond, 0, 0, 0)
	require.False(t, a.Result(6).Agreed, "three of six are no majority")
	w.sampleAll(a, time.Millisecond, 0, 0, set, set)
	require.False(t, a.Result(6).Agreed, "two against two")

	w.sampleAll(a, time.Millisecond, 0, 0, 0, 0)
	f.SetResult(a.Result(6))
	w.now += time.Minute
	require.False(t, a.Result(6).Agreed, "samples too old")
	require.Less(t, w.clockError(t, f), 30*time.Millisecond, "extrapolated from the last known time")
}

func TestSlowRepliesDoNotDegradeClock(t *testing.T) {
	w := newSimulation(4)
	source, node := NewFollower(w.steady(0)), NewFollower(w.steady(50))
	source.addSample(sample{at: source.Steady(), offset: w.now - source.Steady()})
	require.Nil(t, node.Stamp(0), "unknown before the first stamp")
	w.follow(node, source, time.Millisecond, 0)
	for range 5 {
		asked := node.Steady()
		w.now += 800 * time.Millisecond // only one direction is slow
		node.AddSample(*source.Stamp(0), asked)
		require.Less(t, w.clockError(t, node), 10*time.Millisecond)
	}
}

func TestFollowerAdoptsCorrectedTime(t *testing.T) {
	w := newSimulation(5)
	from, node := NewFollower(w.steady(0)), NewFollower(w.steady(0))
	from.addSample(sample{at: from.Steady(), offset: w.now - from.Steady() + time.Second})
	w.follow(node, from, time.Millisecond, 0)
	from.addSample(sample{at: from.Steady(), offset: w.now - from.Steady()})
	w.follow(node, from, time.Millisecond, 0)
	require.Less(t, w.clockError(t, node), 10*time.Millisecond)
}
