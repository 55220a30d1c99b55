package slo

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/memfs"
)

func objectives() []bundle.Objective {
	return []bundle.Objective{
		{Name: "drafts", FirstToken: time.Second, GoodPercentage: 90},
		{Name: "top", Account: "clerks", FirstToken: 100 * time.Millisecond, GoodPercentage: 99},
	}
}

func find(t *testing.T, report []Series, objective, account string) Series {
	for _, s := range report {
		if s.Objective == objective && string(s.Account) == account {
			return s
		}
	}
	t.Fatalf("no series %s of %s in %v", objective, account, report)
	return Series{}
}

func TestBurnPerWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker(objectives)
		for range 8 {
			tracker.Observe(FirstToken, "clerks", "m", 500*time.Millisecond, 1)
		}
		time.Sleep(30 * time.Minute)
		tracker.Observe(FirstToken, "clerks", "m", 2*time.Second, 2)
		tracker.Observe(FirstToken, "brokers", "m", 2*time.Second, 1)
		tracker.Observe(BetweenTokens, "clerks", "m", time.Hour, 1)
		report := tracker.Report()
		require.Len(t, report, 3, "events without a matching objective are not counted")
		drafts := find(t, report, "drafts", "clerks")
		require.Equal(t, Count{Good: 0, Total: 2}, drafts.Counts[0])
		require.Equal(t, Count{Good: 8, Total: 10}, drafts.Counts[1])
		require.InDelta(t, 10, drafts.Burn(0), 1e-9)
		require.InDelta(t, 2, drafts.Burn(1), 1e-9)
		require.InDelta(t, 100, find(t, report, "top", "clerks").Burn(1), 1e-6)
		time.Sleep(7 * time.Hour)
		require.Zero(t, find(t, tracker.Report(), "drafts", "clerks").Counts[2].Total, "old events are dropped from all windows")
	})
}

func TestMergeAddsNodes(t *testing.T) {
	a, b := NewTracker(objectives), NewTracker(objectives)
	a.Observe(FirstToken, "clerks", "m", time.Millisecond, 3)
	b.Observe(FirstToken, "clerks", "m", time.Minute, 1)
	sum := find(t, Merge(a.Report(), b.Report()), "drafts", "clerks")
	require.Equal(t, Count{Good: 3, Total: 4}, sum.Counts[0])
}

func TestCountsSurviveRestart(t *testing.T) {
	fs := memfs.New()
	before := NewTracker(objectives)
	store, err := OpenStore(fs, before)
	require.NoError(t, err)
	before.Observe(FirstToken, "clerks", "m", time.Millisecond, 3)
	require.NoError(t, store.Save(before))
	before.Observe(FirstToken, "clerks", "m", time.Millisecond, 4) // not saved
	fs.Crash(0)
	after := NewTracker(objectives)
	_, err = OpenStore(fs, after)
	require.NoError(t, err)
	require.Equal(t, Count{Good: 3, Total: 3}, find(t, after.Report(), "drafts", "clerks").Counts[0])
}

func TestPagesShowEverySeries(t *testing.T) {
	tracker := NewTracker(objectives)
	tracker.Observe(FirstToken, "clerks", "m", time.Minute, 1)
	var text, html strings.Builder
	require.NoError(t, WriteText(&text, tracker.Report()))
	require.NoError(t, WriteHTML(&html, tracker.Report(), time.Now()))
	for _, want := range []string{"drafts", "top", "clerks", "(0/1)"} {
		require.Contains(t, text.String(), want)
	}
	require.Contains(t, html.String(), `class="over"`)
}
