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

// stallingDisk is a disk whose syncs can be made to hang.
type stallingDisk struct {
	*memfs.FS
	mu    sync.Mutex
	until chan struct{} // closed when the disk answers again; nil where it does
}

func (d *stallingDisk) stall() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := make(chan struct{})
	d.until = until
	return func() { close(until) }
}

func (d *stallingDisk) wait() {
	d.mu.Lock()
	until := d.until
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

// A leader whose disk stalls goes on: the others make a majority without it.
// It took a second, an election and the caller's next try, and every caller of
// the stalled member was held up until the disk answered.
func TestStalledDiskOfTheLeaderHoldsNobodyUp(t *testing.T) {
	const (
		stalled = time.Second
		most    = 200 * time.Millisecond // from a proposal to its acknowledgement
	)
	c, disks := newRealCluster(t, 5)
	old := c.awaitLeader()
	term := old.Status().Term
	time.AfterFunc(stalled, disks[old.node].stall())
	for began := time.Now(); time.Since(began) < stalled; time.Sleep(10 * time.Millisecond) {
		asked := time.Now()
		require.Equal(t, walnutramp.CodeOK, old.Propose(t.Context(), []byte("command")).Code)
		require.Less(t, time.Since(asked), most)
	}
	require.True(t, old.Leads())
	require.Equal(t, term, old.Status().Term)
}

// What a leader's disk has not synced does not count as held by it.
func TestLeaderDoesNotCountWhatItsDiskLacks(t *testing.T) {
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
	require.Equal(t, before, old.Status().Commit, "one follower and no disk are no majority of three")
	end()
	require.Equal(t, walnutramp.CodeOK, <-acknowledged)
}
