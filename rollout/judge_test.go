package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testDuration = 12 * time.Second

// stream is a source of answers for a judge.
type stream struct {
	rng   *rand.Rand
	judge *Judge
}

func newStream(policy Policy) *stream {
	return &stream{rng: rand.New(rand.NewPCG(3, 1)), judge: NewJudge(policy, testDuration)}
}

// answers hands the judge n answers of a version, spread over targets of four
// halls, of which a share fails, each taking so long.
func (s *stream) answers(at time.Duration, version string, n int, fails float64, took time.Duration) {
	for i := range n {
		key := Key{Service: "s", Route: "r", Version: version, DataHall: fmt.Sprint("hall-", i%4), Target: fmt.Sprint("t-", i%12)}
		c := Counts{Sent: 1}
		if s.rng.Float64() < fails {
			c.Failed = 1
		} else {
			c.Served = 1
		}
		c.First = c.First.Note(time.Duration(float64(took) * (0.7 + 0.6*s.rng.Float64())))
		s.judge.Take(at, "v2", []Cell{{Key: key, Counts: c}})
	}
}

// both hands it as many answers of both versions, over a time.
func (s *stream) both(from, to time.Duration, oldFails, newFails float64, newTook time.Duration) {
	for at := from; at < to; at += time.Second {
		s.answers(at, "v1", 200, oldFails, 30*time.Millisecond)
		s.answers(at, "v2", 12, newFails, newTook)
	}
}

const usual = 30 * time.Millisecond

func TestGoodVersionIsNotDoubted(t *testing.T) {
	for _, fails := range []float64{0, 0.02, 0.14, 0.5} {
		s := newStream(ChangePoint)
		s.both(0, 10*time.Second, fails, fails, usual)
		v := s.judge.Verdict()
		require.False(t, v.Doubtful, "%v: %+v", fails, v)
		require.EqualValues(t, 120, v.Answers)
	}
}

func TestVersionThatFailsIsBad(t *testing.T) {
	for _, policy := range Policies() {
		s := newStream(policy)
		s.both(0, 10*time.Second, 0.02, 0.3, usual)
		v := s.judge.Verdict()
		require.True(t, v.Bad, "%s: %+v", policy, v)
		require.Contains(t, v.Evidence, "failed")
		require.Positive(t, v.Excess)
	}
}

func TestVersionThatIsSlowIsBad(t *testing.T) {
	s := newStream(ChangePoint)
	s.both(0, 4*time.Second, 0.02, 0.02, 3*usual)
	v := s.judge.Verdict()
	require.True(t, v.Bad)
	require.Contains(t, v.Evidence, "slow to begin")
}

// A version that was good for most of its time and then turned bad was held to
// be good by the mean of its answers.
func TestVersionThatTurnsBadIsNotSavedByItsPast(t *testing.T) {
	verdict := func(p Policy) Verdict {
		s := newStream(p)
		s.both(0, 8*time.Second, 0.02, 0.01, usual)
		s.both(8*time.Second, 10*time.Second, 0.02, 0.4, usual)
		return s.judge.Verdict()
	}
	require.True(t, verdict(ChangePoint).Bad)
	require.False(t, verdict(Threshold).Bad)
	require.Greater(t, verdict(ChangePoint).Score, verdict(Likelihood).Score)
}

// One target that fails everything is not the version's fault.
func TestFaultOfOneTargetIsNotTheVersions(t *testing.T) {
	s := newStream(ChangePoint)
	s.both(0, 10*time.Second, 0.02, 0.02, usual)
	broken := Key{Service: "s", Route: "r", Version: "v2", DataHall: "hall-1", Target: "t-broken"}
	s.judge.Take(9*time.Second, "v2", []Cell{{Key: broken, Counts: Counts{Sent: 9, Failed: 9}}})
	require.False(t, s.judge.Verdict().Doubtful)
}

// A data hall that crashes takes the answers of both versions along.
func TestCrashOfADataHallIsNotTheVersions(t *testing.T) {
	s := newStream(ChangePoint)
	s.both(0, 10*time.Second, 0.02, 0.02, usual)
	lost := func(version, target string, n uint32) {
		key := Key{Service: "s", Route: "r", Version: version, DataHall: "hall-2", Target: target}
		s.judge.Take(9*time.Second, "v2", []Cell{{Key: key, Counts: Counts{Sent: n, Lost: n}}})
	}
	lost("v1", "", 30)
	for i := range 6 {
		lost("v2", fmt.Sprint("t-", i), 2)
	}
	require.False(t, s.judge.Verdict().Doubtful)
}

// A fault on one route does not drown in the others.
func TestFaultOnOneRouteIsSeen(t *testing.T) {
	s := newStream(ChangePoint)
	s.both(0, 10*time.Second, 0.02, 0.02, usual)
	for i := range 30 {
		old := Key{Service: "s", Route: "seldom", Version: "v1", DataHall: "hall-1"}
		s.judge.Take(8*time.Second, "v2", []Cell{{Key: old, Counts: Counts{Sent: 3, Served: 3}}})
		new := Key{Service: "s", Route: "seldom", Version: "v2", DataHall: "hall-1", Target: fmt.Sprint("t-", i%12)}
		c := Counts{Sent: 1, Served: 1}
		if i%3 == 0 {
			c = Counts{Sent: 1, Failed: 1}
		}
		s.judge.Take(8*time.Second, "v2", []Cell{{Key: new, Counts: c}})
	}
	v := s.judge.Verdict()
	require.True(t, v.Bad)
	require.Equal(t, "answers failed on route seldom", v.Evidence)
}

func TestHistogramTellsTwiceAsSlow(t *testing.T) {
	var h Histogram
	for range 100 {
		h = h.Note(30 * time.Millisecond)
	}
	require.Greater(t, bucketOf(70*time.Millisecond), h.slowFrom()-1)
	require.Less(t, bucketOf(40*time.Millisecond), h.slowFrom())
	require.Equal(t, mostBuckets-1, bucketOf(time.Hour))
	for b := 1; b < mostBuckets; b++ {
		require.Equal(t, b, bucketOf(bucketStart(b)+time.Microsecond), b)
	}
}
