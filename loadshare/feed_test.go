package loadshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A node that others took for a relay for a moment, as when all start at once, has
// its feed tell everything again once their reports have run out. What changes in the
// meantime is not lost: it was, for up to a second after three, and with it each run
// that began then (69 to 71 of 72 nodes knew of it, in 8 of 96 plays of
// TestRunsAreKnownInAllRegions with 16 at a time).
func TestFeedThatIsToTellEverythingAgainTellsChangesMeanwhile(t *testing.T) {
	now := time.Now()
	f := newFeed(scopeSite, "hall")
	f.choose([]string{"relay"}, map[string]time.Time{}, now)
	require.True(t, f.question(now).Whole)
	f.take(&feedPart{Scope: scopeSite, Parts: 1, Number: 7, Sections: []section{{Node: 1}}}, now)
	s := &Sharer{feeds: map[feedKey]*feed{{scopeSite, "hall"}: f}}
	s.resyncFor(1)

	sections, ask := f.take(&feedPart{Scope: scopeSite, Number: 8, Sections: []section{{Node: 2}}}, now)
	require.Len(t, sections, 1, "a change counts at once")
	require.False(t, ask)
	require.True(t, f.current(now))

	now = now.Add(askWhole)
	require.True(t, f.due(now))
	require.True(t, f.question(now).Whole)
	f.take(&feedPart{Scope: scopeSite, Parts: 1, Number: 8, Sections: []section{{Node: 1}, {Node: 2}}}, now)
	require.False(t, f.due(now.Add(askWhole/2)))
	require.False(t, f.question(now).Whole, "it was told")
}
