package metering

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var testConfig = Config{Span: 5 * time.Second, Due: 10 * time.Second}

// testClock tells the correct time once known is set.
type testClock struct{ known bool }

func (c *testClock) Now() (time.Time, time.Duration, bool) { return time.Now(), 0, c.known }

func TestWindowsStartAtUnixEpoch(t *testing.T) {
	at := time.Unix(1767225600, 0).Add(4999 * time.Millisecond)
	require.EqualValues(t, 353445120, testConfig.Window(at))
	require.EqualValues(t, 353445121, testConfig.Window(at.Add(time.Millisecond)))
	require.Equal(t, at.Add(time.Millisecond).UTC(), testConfig.End(353445120))
}

func TestCounterReportsChangesOrAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCounter(testConfig, &testClock{known: true})
		w := testConfig.Window(time.Now())
		c.Count("a", time.Now())
		c.Count("a", time.Now())
		c.Count("b", time.Now())
		c.Count("", time.Now())
		require.ElementsMatch(t, []Row{{w, "a", 2}, {w, "b", 1}}, c.Report(false))
		require.Empty(t, c.Report(false))
		c.Count("a", time.Now())
		require.Equal(t, []Row{{w, "a", 3}}, c.Report(false))
		require.ElementsMatch(t, []Row{{w, "a", 3}, {w, "b", 1}}, c.Report(true))

		time.Sleep(testConfig.Span)
		c.Count("a", time.Now())
		c.Count("a", time.Now().Add(-testConfig.Span)) // started in the previous window
		require.ElementsMatch(t, []Row{{w, "a", 4}, {w + 1, "a", 1}}, c.Report(false))
		c.RemoveThrough(w)
		require.Equal(t, []Row{{w + 1, "a", 1}}, c.Report(true))
		c.Count("a", time.Now().Add(-testConfig.Span))
		require.Equal(t, Stats{Rows: 1, Dropped: 1, Reported: 8}, c.Stats(), "a closed window does not change")
	})
}

func TestCounterWaitsForGroupTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &testClock{}
		c := NewCounter(testConfig, clock)
		w := testConfig.Window(time.Now())
		c.Count("a", time.Now())
		time.Sleep(2 * testConfig.Span)
		require.Empty(t, c.Report(false))
		clock.known = true
		require.Equal(t, []Row{{w, "a", 1}}, c.Report(false))
	})
}

func TestCounterBoundsItsMemory(t *testing.T) {
	clock := &testClock{}
	c := NewCounter(testConfig, clock)
	for range maxUnplaced + 1 {
		c.Count("a", time.Now())
	}
	require.Equal(t, 1, c.Stats().Dropped)
	clock.known = true
	c.Report(false)
	for i := range maxRows + 10 {
		c.Count("a", time.Now().Add(time.Duration(i)*testConfig.Span))
	}
	require.LessOrEqual(t, c.Stats().Rows, maxRows)
	(*Counter)(nil).Count("a", time.Now())
}

// Reports in any order, with losses and duplicates, add up to the same totals.
func TestAggregatorToleratesLostDuplicateAndLateReports(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		aggregator, receiver := NewAggregator(), NewAggregator()
		var reports []struct {
			from Source
			rows []Row
		}
		truth := map[Source]uint64{}
		for range 60 {
			from := Source{Node: string(rune('a' + rng.IntN(3))), Incarnation: rng.Uint64N(2)}
			truth[from] += rng.Uint64N(5)
			reports = append(reports, struct {
				from Source
				rows []Row
			}{from, []Row{{7, "x", truth[from]}}})
		}
		var want uint64
		for _, count := range truth {
			want += count
		}
		lateReport := reports[rng.IntN(len(reports))]
		for _, report := range reports {
			for range rng.IntN(3) { // lost, delivered, or delivered twice
				aggregator.Merge(report.from, report.rows, time.Now())
			}
			if rng.IntN(4) == 0 {
				forward(aggregator, receiver, false)
			}
		}
		for from, count := range truth {
			aggregator.Merge(from, []Row{{7, "x", count}}, time.Now())
		}
		aggregator.Merge(lateReport.from, lateReport.rows, time.Now())
		forward(aggregator, receiver, false)
		require.Equal(t, want, aggregator.Sum(7).Total, "seed %d", seed)
		require.Equal(t, want, receiver.Sum(7).Total, "seed %d", seed)
		empty := NewAggregator()
		forward(aggregator, empty, true)
		require.Equal(t, aggregator.Sum(7).Counts, empty.Sum(7).Counts, "a full update contains everything")
		require.Zero(t, aggregator.Sum(8).Rows)
	}
}

func forward(from, to *Aggregator, all bool) {
	for source, rows := range from.Changes(all) {
		to.Merge(source, rows, time.Now())
	}
}

func TestAggregatorRemovesClosedWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		aggregator := NewAggregator()
		from := Source{Node: "a", Incarnation: 1}
		aggregator.Merge(from, []Row{{7, "x", 2}, {8, "x", 1}}, time.Now())
		aggregator.RemoveThrough(7)
		aggregator.Merge(from, []Row{{7, "x", 9}}, time.Now())
		require.Zero(t, aggregator.Sum(7).Total, "window already closed")
		require.EqualValues(t, 1, aggregator.Sum(8).Total)
		time.Sleep(time.Minute)
		aggregator.Forget(time.Now())
		require.Equal(t, 1, aggregator.Sum(8).Nodes, "a source with rows of an open window is kept")
		aggregator.RemoveThrough(8)
		aggregator.Forget(time.Now())
		require.Empty(t, aggregator.sources)
	})
}

func TestAggregatorCountsUnresponsiveNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		aggregator, began := NewAggregator(), time.Now()
		aggregator.Merge(Source{Node: "gone", Incarnation: 1}, nil, began)
		aggregator.Merge(Source{Node: "anew", Incarnation: 1}, nil, began)
		time.Sleep(time.Second)
		aggregator.Merge(Source{Node: "anew", Incarnation: 2}, nil, time.Now())
		aggregator.Merge(Source{Node: "there", Incarnation: 1}, nil, time.Now())
		require.Equal(t, 1, aggregator.Unresponsive(began.Add(-time.Second), time.Now()))
		require.Zero(t, aggregator.Unresponsive(began, time.Now()), "nodes silent for longer are not waited for")
	})
}
