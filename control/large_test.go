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

// TestLargeDocumentIsInForceInTime guards against a large change that saturates the
// leader's link: heartbeats and votes are delayed, the leader is deposed, and entry
// nodes time out.
func TestLargeDocumentIsInForceInTime(t *testing.T) {
	inTestSite(t, 8, 79, func(t *testing.T, site *testSite) {
		acknowledged := site.offer(1, routesDocument(1, 40))
		time.Sleep(inForceTime)
		require.Zero(t, site.countLate(1, acknowledged))
		leader := site.leader()
		for i := uint64(2); i <= 4; i++ {
			acknowledged := site.offer(i, routesDocument(i, int(i-1)*1400+40))
			time.Sleep(2 * inForceTime)
			require.Zero(t, site.countLate(i, acknowledged), "entry nodes without version %d in time", i)
			require.Equal(t, leader.name, site.leader().name, "the leader was deposed")
		}
	})
}

// Entry nodes that start at the same time all read the full document.
func TestLargeDocumentReachesStartingEntryNodes(t *testing.T) {
	inTestSite(t, 8, 0, func(t *testing.T, site *testSite) {
		site.offer(1, routesDocument(1, 4240))
		leader := site.leader()
		term := leader.raft.Status().Term
		start := time.Now()
		for i := range 79 {
			site.startEntry(i)
		}
		time.Sleep(inForceTime)
		require.Zero(t, site.countLate(1, start), "entry nodes without the document in time")
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

// randomDocument returns an incompressible document.
func randomDocument(seed uint64, bytes int) []byte {
	doc := make([]byte, bytes)
	rand.NewChaCha8([32]byte{byte(seed)}).Read(doc)
	return doc
}

// Guards against log entries that take longer to replicate than an RPC may last:
// they must not block heartbeats or be sent over and over.
func TestLargeLogEntryKeepsLeader(t *testing.T) {
	inTestSite(t, 8, 0, func(t *testing.T, site *testSite) {
		leader := site.leader()
		term := leader.raft.Status().Term
		start := time.Now()
		acknowledged := site.offer(1, randomDocument(1, 3<<20))
		require.Less(t, acknowledged.Sub(start), offerTimeout)
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
		time.Sleep(inForceTime)
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

// Guards against snapshots that take longer to transfer than an RPC may last.
func TestLargeSnapshotReachesJoiningMember(t *testing.T) {
	inTestSite(t, 3, 0, func(t *testing.T, site *testSite) {
		site.offer(1, randomDocument(1, 3<<20))
		site.offer(2, randomDocument(2, 6<<20))
		leader := site.leader()
		term := leader.raft.Status().Term
		start := time.Now()
		joining := site.startMember(memberName(3), memfs.New())
		for joining.raft.Status().Applied < leader.raft.Status().Commit || len(leader.raft.Status().Group.Voters) < 4 {
			time.Sleep(heartbeat)
			require.Less(t, time.Since(start), catchUpTimeout, "the joining member does not catch up")
		}
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

// A long target list that all entry nodes read at once must not saturate the
// leader's link.
func TestLongTargetListReachesAllEntryNodes(t *testing.T) {
	inTestSite(t, 8, 79, func(t *testing.T, site *testSite) {
		leader := site.leader()
		term := leader.raft.Status().Term
		list := make([]discovery.Target, 0, manyTargets)
		for i := range manyTargets {
			list = append(list, discovery.Target{
				ID: fmt.Sprintf("i-%016x", uint64(i)*0x9e3779b97f4a7c15), Service: "engines", DataHall: hallOf(i),
				Address: fmt.Sprintf("10.%d.%d.%d:8000", i%4, i/250, i%250), Slots: 24,
			})
		}
		leader.targets.Set(list)
		time.Sleep(inForceTime)
		require.Equal(t, 79, site.countHolding(manyTargets), "entry nodes that hold the list")
		require.Equal(t, term, leader.raft.Status().Term, "the leader was deposed")
	})
}

const (
	manyTargets    = 12_000
	offerTimeout   = 4 * time.Second // until a document is acknowledged
	catchUpTimeout = 4 * time.Second // until an empty member has caught up
)
