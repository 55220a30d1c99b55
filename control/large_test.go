package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/memfs"
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

// Entries that start together, as after a loss of power, all want the whole
// document.
func TestEntriesThatStartTogetherGetALargeDocument(t *testing.T) {
	inFleet(t, 8, 0, func(t *testing.T, fl *fleet) {
		fl.offer(1, routesDocument(1, 4240))
		leader := fl.leader()
		term := leader.raft.Status().Term
		began := time.Now()
		for i := range 79 {
			fl.startEntry(i)
		}
		time.Sleep(inForceTime)
		require.Zero(t, fl.late(1, began), "entries without the document in time")
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

// randomDocument returns a document that does not compress.
func randomDocument(seed uint64, bytes int) []byte {
	doc := make([]byte, bytes)
	rand.NewChaCha8([32]byte{byte(seed)}).Read(doc)
	return doc
}

// The same cause between members: an entry that takes longer to reach the
// followers than a call may last was sent whole, given up, and sent again, and
// no heartbeat passed meanwhile.
func TestLargeEntryIsAcknowledgedUnderOneLeader(t *testing.T) {
	inFleet(t, 8, 0, func(t *testing.T, fl *fleet) {
		leader := fl.leader()
		term := leader.raft.Status().Term
		asked := time.Now()
		acknowledged := fl.offer(1, randomDocument(1, 3<<20))
		require.Less(t, acknowledged.Sub(asked), operatorsPatience)
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
		time.Sleep(inForceTime)
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

// A newcomer takes a snapshot that passes the link in more time than a call may
// last.
func TestNewcomerTakesALargeSnapshot(t *testing.T) {
	inFleet(t, 3, 0, func(t *testing.T, fl *fleet) {
		fl.offer(1, randomDocument(1, 3<<20))
		fl.offer(2, randomDocument(2, 6<<20))
		leader := fl.leader()
		term := leader.raft.Status().Term
		began := time.Now()
		newcomer := fl.startMember(memberName(3), memfs.New())
		for newcomer.raft.Status().Applied < leader.raft.Status().Commit || len(leader.raft.Status().Group.Voters) < 4 {
			time.Sleep(heartbeat)
			require.Less(t, time.Since(began), newcomersTime, "the newcomer does not catch up")
		}
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

// The same cause in the list of targets: entries that start all want the whole,
// a megabyte at 12,000 targets.
func TestLongListOfTargetsReachesAllEntries(t *testing.T) {
	inFleet(t, 8, 79, func(t *testing.T, fl *fleet) {
		leader := fl.leader()
		term := leader.raft.Status().Term
		list := make([]discovery.Target, 0, manyTargets)
		for i := range manyTargets {
			list = append(list, discovery.Target{
				ID: fmt.Sprintf("i-%016x", uint64(i)*0x9e3779b97f4a7c15), Service: "engines", DataHall: hallOf(i),
				Address: fmt.Sprintf("10.%d.%d.%d:8000", i%4, i/250, i%250), Slots: 24,
			})
		}
		leader.roster.Set(list)
		time.Sleep(inForceTime)
		require.Equal(t, 79, fl.holding(manyTargets), "entries that hold the list")
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

const (
	manyTargets       = 12_000
	operatorsPatience = 4 * time.Second // for a document to be acknowledged
	newcomersTime     = 4 * time.Second // for an empty disk to hold everything
)
