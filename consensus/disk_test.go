package consensus

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/wal"
)

// stallingDisk is a file system whose syncs can be blocked.
type stallingDisk struct {
	*memfs.FS
	mu      sync.Mutex
	resumed chan struct{} // closed when syncs may proceed; nil if not stalled
}

// stall blocks syncs until end is called.
func (d *stallingDisk) stall() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := make(chan struct{})
	d.resumed = until
	return func() { close(until) }
}

// wait blocks while the disk is stalled.
func (d *stallingDisk) wait() {
	d.mu.Lock()
	until := d.resumed
	d.mu.Unlock()
	if until != nil {
		<-until
	}
}

type stallingFile struct {
	wal.File
	disk *stallingDisk
}

func (f stallingFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

// Create implements wal.FS.
func (d *stallingDisk) Create(name string) (wal.File, error) {
	f, err := d.FS.Create(name)
	return stallingFile{f, d}, err
}

// Append implements wal.FS.
func (d *stallingDisk) Append(name string, size int64) (wal.File, error) {
	f, err := d.FS.Append(name, size)
	return stallingFile{f, d}, err
}

// A stalled leader disk must neither end the term nor delay commits, since the
// other members form a majority.
func TestStalledLeaderDiskDoesNotDelayCommits(t *testing.T) {
	const (
		stallTime  = time.Second
		maxLatency = 200 * time.Millisecond // maximum latency of a proposal
	)
	c, disks := newRealCluster(t, 5)
	old := c.awaitLeader()
	term := old.Status().Term
	time.AfterFunc(stallTime, disks[old.node].stall()) // stalls now; the end is called after stallTime
	for began := time.Now(); time.Since(began) < stallTime; time.Sleep(10 * time.Millisecond) {
		asked := time.Now()
		require.Equal(t, walnutramp.CodeOK, old.Propose(t.Context(), []byte("command")).Code)
		require.Less(t, time.Since(asked), maxLatency)
	}
	require.True(t, old.Leads())
	require.Equal(t, term, old.Status().Term)
}

// The leader must not count its own unsynced entries towards a majority.
func TestLeaderDoesNotCountUnsyncedEntries(t *testing.T) {
	c, disks := newRealCluster(t, 3)
	old := c.awaitLeader()
	for _, name := range c.names {
		if name != old.node {
			c.kill(name)
			break
		}
	}
	before := old.Status().Commit
	end := disks[old.node].stall()
	acknowledged := make(chan walnutramp.Code, 1)
	go func() { acknowledged <- old.Propose(t.Context(), []byte("command")).Code }()
	time.Sleep(3 * testHeartbeat)
	require.Equal(t, before, old.Status().Commit, "one follower without the leader's disk is no majority of three")
	end()
	require.Equal(t, walnutramp.CodeOK, <-acknowledged)
}
