package metering

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var testConfig = Config{Span: 5 * time.Second, Due: 10 * time.Second}

// testClock is right, once it is known.
type testClock struct{ known bool }

func (c *testClock) Now() (time.Time, time.Duration, bool) { return time.Now(), 0, c.known }

func TestWindowsCutTheTimeSince1970(t *testing.T) {
	at := time.Unix(1767225600, 0).Add(4999 * time.Millisecond)
	require.EqualValues(t, 353445120, testConfig.Window(at))
	require.EqualValues(t, 353445121, testConfig.Window(at.Add(time.Millisecond)))
	require.Equal(t, at.Add(time.Millisecond).UTC(), testConfig.End(353445120))
}

func TestCounterTellsChangesOrEverything(t *testing.T) {
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
		c.Count("a", time.Now().Add(-testConfig.Span)) // it began before
		require.ElementsMatch(t, []Row{{w, "a", 4}, {w + 1, "a", 1}}, c.Report(false))
		c.Closed(w)
		require.Equal(t, []Row{{w + 1, "a", 1}}, c.Report(true))
		c.Count("a", time.Now().Add(-testConfig.Span))
		require.Equal(t, Stats{Rows: 1, Dropped: 1, Told: 8}, c.Stats(), "a closed window stays as it is")
	})
}

func TestCounterWaitsForTheTime(t *testing.T) {
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
	for range mostUnplaced + 1 {
		c.Count("a", time.Now())
	}
	require.Equal(t, 1, c.Stats().Dropped)
	clock.known = true
	c.Report(false)
	for i := range mostRows + 10 {
		c.Count("a", time.Now().Add(time.Duration(i)*testConfig.Span))
	}
	require.LessOrEqual(t, c.Stats().Rows, mostRows)
	(*Counter)(nil).Count("a", time.Now())
}

// What the nodes told, in any order, with losses and repeats, sums up to the
// same.
func TestTallyBearsLostDoubledAndLateWords(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tally, passed := NewTally(), NewTally()
		var words []struct {
			from Source
			rows []Row
		}
		truth := map[Source]uint64{}
		for range 60 {
			from := Source{Node: string(rune('a' + rng.IntN(3))), Life: rng.Uint64N(2)}
			truth[from] += rng.Uint64N(5)
			words = append(words, struct {
				from Source
				rows []Row
			}{from, []Row{{7, "x", truth[from]}}})
		}
		var want uint64
		for _, count := range truth {
			want += count
		}
		late := words[rng.IntN(len(words))]
		for _, word := range words {
			for range rng.IntN(3) { // lost, told, told twice
				tally.Take(word.from, word.rows, time.Now())
			}
			if rng.IntN(4) == 0 {
				passOn(tally, passed, false)
			}
		}
		for from, count := range truth {
			tally.Take(from, []Row{{7, "x", count}}, time.Now())
		}
		tally.Take(late.from, late.rows, time.Now())
		passOn(tally, passed, false)
		require.Equal(t, want, tally.Sum(7).Total, "seed %d", seed)
		require.Equal(t, want, passed.Sum(7).Total, "seed %d", seed)
		fresh := NewTally()
		passOn(tally, fresh, true)
		require.Equal(t, tally.Sum(7).Counts, fresh.Sum(7).Counts, "all is told again")
		require.Zero(t, tally.Sum(8).Rows)
	}
}

func passOn(from, to *Tally, all bool) {
	for source, rows := range from.Changes(all) {
		to.Take(source, rows, time.Now())
	}
}

func TestTallyForgetsWhatIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tally := NewTally()
		from := Source{Node: "a", Life: 1}
		tally.Take(from, []Row{{7, "x", 2}, {8, "x", 1}}, time.Now())
		tally.Closed(7)
		tally.Take(from, []Row{{7, "x", 9}}, time.Now())
		require.Zero(t, tally.Sum(7).Total, "too late")
		require.EqualValues(t, 1, tally.Sum(8).Total)
		time.Sleep(time.Minute)
		tally.Forget(time.Now())
		require.Equal(t, 1, tally.Sum(8).Nodes, "it has rows of an open window")
		tally.Closed(8)
		tally.Forget(time.Now())
		require.Empty(t, tally.told)
	})
}

func TestTallyKnowsWhoFellSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tally, began := NewTally(), time.Now()
		tally.Take(Source{Node: "gone", Life: 1}, nil, began)
		tally.Take(Source{Node: "anew", Life: 1}, nil, began)
		time.Sleep(time.Second)
		tally.Take(Source{Node: "anew", Life: 2}, nil, time.Now())
		tally.Take(Source{Node: "there", Life: 1}, nil, time.Now())
		require.Equal(t, 1, tally.Silent(began.Add(-time.Second), time.Now()))
		require.Zero(t, tally.Silent(began, time.Now()), "silent for so long that nobody waits")
	})
}
