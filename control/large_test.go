package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What users saw: a change with 1,400 new routes was acknowledged, and 2.6
// seconds later most of 79 entries still answered by the document before; a
// later small change took 43 seconds to be acknowledged.
//
// The order of events: all entries wait for news at the leader. The change is
// 290 kB, so 79 answers are 23 MB, two seconds of the leader's link. Votes and
// heartbeats wait behind them, so the leader hears no majority and steps down.
// Entries give an answer up 1.6 s after the question, read it to its end all
// the same, and ask the next leader, whose link then fills as well.
//
// Evidence: the bytes that each leader's host sent, 16 MB in the first second
// on a link of 12.5; "Leader hears no majority" 1.0 s after the change;
// "Control group not heard waited=1.600s" at 78 entries of 79.
//
// The cause: an answer as large as the change, to all at once, from one node,
// whose time limit knows nothing of its size.
func TestLargeDocumentIsInForceInTime(t *testing.T) {
	inFleet(t, 8, 79, func(t *testing.T, fl *fleet) {
		acknowledged := fl.offer(1, routesDocument(1, 40))
		time.Sleep(inForceTime)
		require.Zero(t, fl.late(1, acknowledged))
		leader := fl.leader()
		for i := uint64(2); i <= 4; i++ {
			acknowledged := fl.offer(i, routesDocument(i, int(i-1)*1400+40))
			time.Sleep(2 * inForceTime)
			require.Zero(t, fl.late(i, acknowledged), "entries without version %d in time", i)
			require.Equal(t, leader.name, fl.leader().name, "the leader was deposed")
		}
	})
}
