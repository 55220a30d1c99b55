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

func TestAggregatorNeverDecreases(t *testing.T) {
	aggregator := fleet.NewAggregator()
	total := func() uint64 {
		d, _ := aggregator.Of("engines")
		return d.Requests
	}
	aggregator.Merge("n1", 1, rows(100))
	require.Zero(t, total(), "the first report only sets the baseline")
	aggregator.Merge("n1", 1, rows(130))
	require.EqualValues(t, 30, total())
	aggregator.Merge("n1", 1, rows(130))
	require.EqualValues(t, 30, total(), "duplicate report")
	aggregator.Merge("n1", 1, rows(120))
	require.EqualValues(t, 30, total(), "reordered report")
	aggregator.Merge("n1", 2, rows(5))
	aggregator.Merge("n1", 2, rows(9))
	require.EqualValues(t, 34, total(), "restarted node")
	aggregator.Merge("n2", 7, nil)
	aggregator.Merge("n2", 7, rows(6))
	require.EqualValues(t, 40, total(), "node that reported before its first request")
	require.Equal(t, []fleet.Demand{{Service: "engines", Requests: 40, ReadMS: 400}}, aggregator.Total())
}

func TestForecastIsUnknownBeforeFullWindow(t *testing.T) {
	f, now := &fleet.Forecast{}, time.Unix(0, 0)
	requests := uint64(0)
	observe := func(duration time.Duration, perStep uint64) {
		for end := now.Add(duration); now.Before(end); now = now.Add(simStep) {
			requests += perStep
			f.Observe(now, fleet.Demand{Requests: requests, ReadMS: requests * 1000})
		}
	}
	observe(10*time.Second, 0)
	require.False(t, f.Known())
	observe(4*time.Second, 8)
	require.False(t, f.Known(), "the mean includes time before the first request")
	observe(3*time.Second, 8)
	require.True(t, f.Known())
	require.InDelta(t, 40, f.Expected().Requests, 1)
	require.InDelta(t, 40, f.Expected().Reading, 1)
}

// TestPeakForecastIsNoWorseThanTrend compares the peak forecast with linear
// extrapolation over the boot time, on a periodic load with bursty arrivals.
func TestPeakForecastIsNoWorseThanTrend(t *testing.T) {
	const boot = 4 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	var arrivals []float64 // requests per step
	for at := 9 * time.Second; at < 200*time.Second; at += simStep {
		arrivals = append(arrivals, batched(rng, periodicLoad(at)*simStep.Seconds()))
	}
	f, now, total := &fleet.Forecast{}, time.Unix(0, 0), 0.0
	var peak, trend forecastError
	for i, n := range arrivals {
		total += n
		now = now.Add(simStep)
		f.Observe(now, fleet.Demand{Requests: uint64(total)})
		ahead := i + int(boot/simStep)
		if !f.Known() || ahead+25 >= len(arrivals) {
			continue
		}
		actual := rate(arrivals[ahead : ahead+25])
		peak.add(f.Expected().Requests, actual)
		half := rate(arrivals[i-12 : i])
		before := rate(arrivals[i-24 : i-12])
		trend.add(f.Recent().Requests+(half-before)/2.4*boot.Seconds(), actual)
	}
	if peak.times < 500 {
		t.Fatalf("only %d comparisons", peak.times)
	}
	peakShort, peakOver := peak.mean()
	trendShort, trendOver := trend.mean()
	t.Logf("peak forecast: short by %.2f, over by %.2f requests/s; trend: short by %.2f, over by %.2f", peakShort, peakOver, trendShort, trendOver)
	if peakShort > trendShort {
		t.Errorf("peak forecast is short by %.2f requests/s, the trend by %.2f", peakShort, trendShort)
	}
}

// Guards against a forecast that covers only the peak of the request rate: few
// requests with long prompts may need more targets than many with short ones.
func TestLongerPromptsRaiseTheForecast(t *testing.T) {
	f, now, total := &fleet.Forecast{}, time.Unix(0, 0), fleet.Demand{}
	arrive := func(requests, readMS uint64) {
		for range 30 {
			now = now.Add(simStep)
			total.Add(fleet.Demand{Requests: requests, ReadMS: requests * readMS})
			f.Observe(now, total)
		}
	}
	arrive(20, 10)
	arrive(10, 1000)
	expected := f.Expected()
	if want := 10 * 1.0 / simStep.Seconds(); expected.Reading < 0.8*want {
		t.Errorf("forecast of %.1f targets busy with prefill, want about %.1f", expected.Reading, want)
	}
	if want := 20 / simStep.Seconds(); expected.Requests < 0.8*want {
		t.Errorf("forecast of %.1f requests/s, want about %.1f", expected.Requests, want)
	}
}

// forecastError accumulates the errors of a forecast.
type forecastError struct {
	short, over float64
	times       int
}

func (e *forecastError) add(expected, actual float64) {
	e.short += max(0, actual-expected)
	e.over += max(0, expected-actual)
	e.times++
}

// mean returns the mean shortfall and excess of the forecast.
func (e *forecastError) mean() (short, over float64) {
	return e.short / float64(e.times), e.over / float64(e.times)
}

func rate(steps []float64) float64 {
	sum := 0.0
	for _, n := range steps {
		sum += n
	}
	return sum / (float64(len(steps)) * simStep.Seconds())
}

// batched returns a random number of requests that arrive in batches of three.
func batched(rng *rand.Rand, mean float64) float64 {
	batches, limit := 0, math.Exp(-mean/3)
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		batches++
	}
	return float64(3 * batches)
}
