package experiment

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/rollout"
)

// testRuns is the number of simulated rollouts per measurement.
const testRuns = 60

func siteByName(t *testing.T, name string) Site {
	t.Helper()
	for _, s := range Sites() {
		if s.Name == name {
			return s
		}
	}
	t.Fatal(name)
	return Site{}
}

var allFaults = Faults{Crashes: true, Grey: true}

func TestGoodVersionsComplete(t *testing.T) {
	for name, least := range map[string]int{"lookups-65": 58, "drafts-65": 54} {
		row := Measure(siteByName(t, name), Version{}, allFaults, rollout.ChangePoint, testRuns, 1)
		require.GreaterOrEqual(t, row.Completed, least, "%s: %v", name, row.Reasons)
		require.Zero(t, row.TooLate, name)
	}
}

func TestBadVersionsAreRolledBackWithinBounds(t *testing.T) {
	for _, c := range []struct {
		site    string
		version Version
		least   int
	}{
		{"lookups-65", Version{Fails: 0.3, When: AtOnce}, 60},
		{"lookups-65", Version{Fails: 0.3, When: Later}, 59},
		{"lookups-65", Version{Slow: 3, When: OneRoute}, 60},
		{"drafts-65", Version{Fails: 0.3, When: AtOnce}, 56},
		{"drafts-65", Version{Slow: 3, When: AtOnce}, 59},
		{"drafts-300", Version{Slow: 3, When: OneRoute}, 57},
	} {
		row := Measure(siteByName(t, c.site), c.version, allFaults, rollout.ChangePoint, testRuns, 1)
		require.GreaterOrEqual(t, row.RolledBack, c.least, "%s %+v: %v", c.site, c.version, row.Reasons)
		require.Zero(t, row.TooLate, "%s %+v", c.site, c.version)
		require.Zero(t, row.Over, "%s %+v", c.site, c.version)
	}
}

func TestMeasureIsDeterministic(t *testing.T) {
	measure := func() string {
		var text bytes.Buffer
		row := Measure(siteByName(t, "lookups-12"), Version{Fails: 0.3, When: AtOnce}, allFaults, rollout.Threshold, 10, 7)
		require.NoError(t, WriteTable(&text, []Row{row}))
		return text.String()
	}
	require.Equal(t, measure(), measure())
}
