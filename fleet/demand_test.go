package fleet_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/fleet"
)

func rows(requests uint64) []fleet.Demand {
	return []fleet.Demand{{Service: "engines", Requests: requests, ReadMS: 10 * requests}}
}

func TestTallyNeverFalls(t *testing.T) {
	tally := fleet.NewTally()
	total := func() uint64 {
		d, _ := tally.Of("engines")
		return d.Requests
	}
	tally.Take("n1", 1, rows(100))
	require.Zero(t, total(), "what came before the tally began counts for nothing")
	tally.Take("n1", 1, rows(130))
	require.EqualValues(t, 30, total())
	tally.Take("n1", 1, rows(130))
	require.EqualValues(t, 30, total(), "a report that comes twice")
	tally.Take("n1", 1, rows(120))
	require.EqualValues(t, 30, total(), "a report that was overtaken")
	tally.Take("n1", 2, rows(5))
	tally.Take("n1", 2, rows(9))
	require.EqualValues(t, 34, total(), "a node that started again")
	tally.Take("n2", 7, nil)
	tally.Take("n2", 7, rows(6))
	require.EqualValues(t, 40, total(), "a node that was heard before its first request")
	require.Equal(t, []fleet.Demand{{Service: "engines", Requests: 40, ReadMS: 400}}, tally.Total())
}

func TestForecastKnowsNothingBeforeTheLoadIsSteady(t *testing.T) {
	f, now := &fleet.Forecast{}, time.Unix(0, 0)
	requests := uint64(0)
	observe := func(for_ time.Duration, perStep uint64) {
		for end := now.Add(for_); now.Before(end); now = now.Add(simStep) {
			requests += perStep
			f.Observe(now, fleet.Demand{Requests: requests, ReadMS: requests * 1000})
		}
	}
	observe(10*time.Second, 0)
	require.False(t, f.Known())
	observe(4*time.Second, 8)
	require.False(t, f.Known(), "the mean still holds the time before the first request")
	observe(3*time.Second, 8)
	require.True(t, f.Known())
	require.InDelta(t, 40, f.Expected().Requests, 1)
	require.InDelta(t, 40, f.Expected().Reading, 1)
}

// TestForecastIsNoWorseThanTrend compares the forecast with a trend over the
// time that a target boots, on waves with clumps: how far what came was above
// what was expected, on average, and how much was expected in vain.
func TestForecastIsNoWorseThanTrend(t *testing.T) {
	const boot = 4 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	var came []float64 // requests by step
	for at := 9 * time.Second; at < 200*time.Second; at += simStep {
		came = append(came, clumped(rng, wave(at)*simStep.Seconds()))
	}
	f, now, total := &fleet.Forecast{}, time.Unix(0, 0), 0.0
	var crest, trend missed
	for i, n := range came {
		total += n
		now = now.Add(simStep)
		f.Observe(now, fleet.Demand{Requests: uint64(total)})
		ahead := i + int(boot/simStep)
		if !f.Known() || ahead+25 >= len(came) {
			continue
		}
		truth := rate(came[ahead : ahead+25])
		crest.add(f.Expected().Requests, truth)
		half := rate(came[i-12 : i])
		before := rate(came[i-24 : i-12])
		trend.add(f.Recent().Requests+(half-before)/2.4*boot.Seconds(), truth)
	}
	if crest.times < 500 {
		t.Fatalf("compared %d times only", crest.times)
	}
	crestShort, crestOver := crest.mean()
	trendShort, trendOver := trend.mean()
	t.Logf("crest: short by %.2f, over by %.2f a second; trend: short by %.2f, over by %.2f", crestShort, crestOver, trendShort, trendOver)
	if crestShort > trendShort {
		t.Errorf("the crest is short by %.2f requests a second, the trend by %.2f", crestShort, trendShort)
	}
}

// Few requests with long prompts need more targets than many with short ones
// did a while ago.
func TestLongerPromptsRaiseTheForecast(t *testing.T) {
	f, now, total := &fleet.Forecast{}, time.Unix(0, 0), fleet.Demand{}
	come := func(requests, readMS uint64) {
		for range 30 {
			now = now.Add(simStep)
			total.Add(fleet.Demand{Requests: requests, ReadMS: requests * readMS})
			f.Observe(now, total)
		}
	}
	come(20, 10)
	come(10, 1000)
	expected := f.Expected()
	if want := 10 * 1.0 / simStep.Seconds(); expected.Reading < 0.8*want {
		t.Errorf("%.1f targets read, want some %.1f", expected.Reading, want)
	}
	if want := 20 / simStep.Seconds(); expected.Requests < 0.8*want {
		t.Errorf("%.1f requests a second, want some %.1f", expected.Requests, want)
	}
}

// missed sums how far a forecast was off.
type missed struct {
	short, over float64
	times       int
}

func (m *missed) add(expected, came float64) {
	m.short += max(0, came-expected)
	m.over += max(0, expected-came)
	m.times++
}

// mean returns how far the forecast was short and over each time.
func (m *missed) mean() (short, over float64) {
	return m.short / float64(m.times), m.over / float64(m.times)
}

func rate(steps []float64) float64 {
	sum := 0.0
	for _, n := range steps {
		sum += n
	}
	return sum / (float64(len(steps)) * simStep.Seconds())
}

// clumped draws a number of requests that come in clumps of three.
func clumped(rng *rand.Rand, mean float64) float64 {
	clumps, limit := 0, math.Exp(-mean/3)
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		clumps++
	}
	return float64(3 * clumps)
}
