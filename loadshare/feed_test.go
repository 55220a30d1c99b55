package loadshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A stale feed must go on applying changes until its new snapshot arrives;
// otherwise runs that begin meanwhile are unknown for up to a second.
func TestStaleFeedAppliesChangesUntilSnapshot(t *testing.T) {
	now := time.Now()
	f := newFeed(scopeSite, "hall")
	f.chooseSource([]string{"relay"}, map[string]time.Time{}, now)
	require.True(t, f.nextRequest(now).Snapshot)
	f.handle(&feedDatagram{Scope: scopeSite, Parts: 1, Sequence: 7, Deltas: []nodeDelta{{Node: 1}}}, now)
	s := &Sharer{feeds: map[feedKey]*feed{{scopeSite, "hall"}: f}}
	s.markFeedsStale(1)

	deltas, requestNow := f.handle(&feedDatagram{Scope: scopeSite, Sequence: 8, Deltas: []nodeDelta{{Node: 2}}}, now)
	require.Len(t, deltas, 1, "changes are applied while stale")
	require.False(t, requestNow)
	require.True(t, f.current(now))

	now = now.Add(snapshotInterval)
	require.True(t, f.requestDue(now))
	require.True(t, f.nextRequest(now).Snapshot)
	f.handle(&feedDatagram{Scope: scopeSite, Parts: 1, Sequence: 8, Deltas: []nodeDelta{{Node: 1}, {Node: 2}}}, now)
	require.False(t, f.requestDue(now.Add(snapshotInterval/2)))
	require.False(t, f.nextRequest(now).Snapshot, "the snapshot was received")
}
