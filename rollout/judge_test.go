package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testDuration = 12 * time.Second

// generator feeds random answers to an Evaluator.
type generator struct {
	rng       *rand.Rand
	evaluator *Evaluator
}

func newGenerator(policy Policy) *generator {
	return &generator{rng: rand.New(rand.NewPCG(3, 1)), evaluator: NewEvaluator(policy, testDuration)}
}

// answers adds n answers of a version, spread over twelve targets in four data
// halls, with the given error rate and mean latency.
func (g *generator) answers(at time.Duration, version string, n int, errorRate float64, latency time.Duration) {
	for i := range n {
		key := Key{Service: "s", Route: "r", Version: version, DataHall: fmt.Sprint("hall-", i%4), Target: fmt.Sprint("t-", i%12)}
		c := Counts{Sent: 1}
		if g.rng.Float64() < errorRate {
			c.Failed = 1
		} else {
			c.Served = 1
		}
		c.First = c.First.Add(time.Duration(float64(latency) * (0.7 + 0.6*g.rng.Float64())))
		g.evaluator.Add(at, "v2", []Cell{{Key: key, Counts: c}})
	}
}

// both adds 200 answers of the old version and 12 of the new one for each second of
// the given period.
func (g *generator) both(from, to time.Duration, oldErrorRate, newErrorRate float64, newLatency time.Duration) {
	for at := from; at < to; at += time.Second {
		g.answers(at, "v1", 200, oldErrorRate, 30*time.Millisecond)
		g.answers(at, "v2", 12, newErrorRate, newLatency)
	}
}

const baselineLatency = 30 * time.Millisecond

func TestGoodVersionIsNotDoubtful(t *testing.T) {
	for _, errorRate := range []float64{0, 0.02, 0.14, 0.5} {
		g := newGenerator(ChangePoint)
		g.both(0, 10*time.Second, errorRate, errorRate, baselineLatency)
		v := g.evaluator.Verdict()
		require.False(t, v.Doubtful, "%v: %+v", errorRate, v)
		require.EqualValues(t, 120, v.Answers)
	}
}

func TestErrorRateRegressionIsBad(t *testing.T) {
	for _, policy := range Policies() {
		g := newGenerator(policy)
		g.both(0, 10*time.Second, 0.02, 0.3, baselineLatency)
		v := g.evaluator.Verdict()
		require.True(t, v.Bad, "%s: %+v", policy, v)
		require.Contains(t, v.Evidence, "failed")
		require.Positive(t, v.Excess)
	}
}

func TestLatencyRegressionIsBad(t *testing.T) {
	g := newGenerator(ChangePoint)
	g.both(0, 4*time.Second, 0.02, 0.02, 3*baselineLatency)
	v := g.evaluator.Verdict()
	require.True(t, v.Bad)
	require.Contains(t, v.Evidence, "slow to begin")
}

// Guards against a late regression being masked by good answers before it.
func TestLateRegressionIsDetected(t *testing.T) {
	verdict := func(p Policy) Verdict {
		g := newGenerator(p)
		g.both(0, 8*time.Second, 0.02, 0.01, baselineLatency)
		g.both(8*time.Second, 10*time.Second, 0.02, 0.4, baselineLatency)
		return g.evaluator.Verdict()
	}
	require.True(t, verdict(ChangePoint).Bad)
	require.False(t, verdict(Threshold).Bad)
	require.Greater(t, verdict(ChangePoint).Score, verdict(Likelihood).Score)
}

// Guards against rolling back a version because of one broken target.
func TestSingleBrokenTargetIsTolerated(t *testing.T) {
	g := newGenerator(ChangePoint)
	g.both(0, 10*time.Second, 0.02, 0.02, baselineLatency)
	broken := Key{Service: "s", Route: "r", Version: "v2", DataHall: "hall-1", Target: "t-broken"}
	g.evaluator.Add(9*time.Second, "v2", []Cell{{Key: broken, Counts: Counts{Sent: 9, Failed: 9}}})
	require.False(t, g.evaluator.Verdict().Doubtful)
}

// Guards against rolling back a version because of a data hall outage, which
// affects both versions.
func TestDataHallOutageIsTolerated(t *testing.T) {
	g := newGenerator(ChangePoint)
	g.both(0, 10*time.Second, 0.02, 0.02, baselineLatency)
	loseAnswers := func(version, target string, n uint32) {
		key := Key{Service: "s", Route: "r", Version: version, DataHall: "hall-2", Target: target}
		g.evaluator.Add(9*time.Second, "v2", []Cell{{Key: key, Counts: Counts{Sent: n, Lost: n}}})
	}
	loseAnswers("v1", "", 30)
	for i := range 6 {
		loseAnswers("v2", fmt.Sprint("t-", i), 2)
	}
	require.False(t, g.evaluator.Verdict().Doubtful)
}

// Guards against a regression on a low-traffic route going undetected.
func TestRegressionOnOneRouteIsDetected(t *testing.T) {
	g := newGenerator(ChangePoint)
	g.both(0, 10*time.Second, 0.02, 0.02, baselineLatency)
	for i := range 30 {
		oldKey := Key{Service: "s", Route: "seldom", Version: "v1", DataHall: "hall-1"}
		g.evaluator.Add(8*time.Second, "v2", []Cell{{Key: oldKey, Counts: Counts{Sent: 3, Served: 3}}})
		newKey := Key{Service: "s", Route: "seldom", Version: "v2", DataHall: "hall-1", Target: fmt.Sprint("t-", i%12)}
		c := Counts{Sent: 1, Served: 1}
		if i%3 == 0 {
			c = Counts{Sent: 1, Failed: 1}
		}
		g.evaluator.Add(8*time.Second, "v2", []Cell{{Key: newKey, Counts: c}})
	}
	v := g.evaluator.Verdict()
	require.True(t, v.Bad)
	require.Equal(t, "answers failed on route seldom", v.Evidence)
}

func TestHistogramDetectsDoubledLatency(t *testing.T) {
	var h Histogram
	for range 100 {
		h = h.Add(30 * time.Millisecond)
	}
	require.Greater(t, bucketOf(70*time.Millisecond), h.slowFrom()-1)
	require.Less(t, bucketOf(40*time.Millisecond), h.slowFrom())
	require.Equal(t, maxBuckets-1, bucketOf(time.Hour))
	for b := 1; b < maxBuckets; b++ {
		require.Equal(t, b, bucketOf(bucketStart(b)+time.Microsecond), b)
	}
}
