package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/memfs"
)

const (
	catchUpTime  = 10 * time.Second // for a member whose disk has space again
	pollInterval = 5 * time.Millisecond
)

// failure returns the error that stopped a member; nil while it runs.
func failure(m *Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fatalErr
}

// proposeSeveral submits commands to the current leader, until each is committed.
func proposeSeveral(c *cluster) {
	for range 5 {
		require.Eventually(c.t, func() bool {
			return c.awaitLeader().Propose(c.t.Context(), []byte("command")).Code == walnutramp.CodeOK
		}, catchUpTime, pollInterval)
	}
}

// requireCaughtUp waits until a member has applied all entries, and checks that its disk
// holds them after a crash.
func requireCaughtUp(c *cluster, m *Member, disk *stallingDisk) {
	last := c.awaitLeader().Status().Last
	require.Eventually(c.t, func() bool { return m.Status().Applied >= last }, catchUpTime, pollInterval)
	require.NoError(c.t, failure(m))
	c.kill(m.node)
	disk.Crash(0)
	store, err := openStorage(disk.FS, Group{})
	require.NoError(c.t, err)
	require.GreaterOrEqual(c.t, store.lastIndex(), last)
}

func TestFullDiskDoesNotStopFollower(t *testing.T) {
	c, disks := newRealCluster(t, 3)
	leads := c.awaitLeader()
	var full *Member
	for _, name := range c.names {
		if name != leads.node {
			full = c.members[name]
		}
	}
	disks[full.node].SetSpace(20) // part of a record fits
	proposeSeveral(c)
	require.NoError(t, failure(full))
	disks[full.node].SetSpace(-1)
	requireCaughtUp(c, full, disks[full.node])
}

func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	c, disks := newRealCluster(t, 3)
	full := c.awaitLeader()
	disks[full.node].SetSpace(0)
	const atOnce = 8 // proposals, each of which the disk refuses
	codes := make(chan walnutramp.Code, atOnce)
	for range atOnce {
		go func() { codes <- full.Propose(t.Context(), []byte("command")).Code }()
	}
	for range atOnce {
		require.Contains(t, []walnutramp.Code{walnutramp.CodeOK, walnutramp.CodeNoLeader}, <-codes, "the other members are a majority")
	}
	require.Eventually(t, func() bool { return !full.Leads() }, catchUpTime, pollInterval)
	require.Zero(t, full.Stats().Deposed)
	proposeSeveral(c)
	require.False(t, full.Leads())
	require.NoError(t, failure(full))
	disks[full.node].SetSpace(-1)
	requireCaughtUp(c, full, disks[full.node])
}

func TestMemberWithFullDiskDoesNotVote(t *testing.T) {
	fs := memfs.New()
	group := Group{Voters: []Voter{{Node: "a", Identity: Founder}, {Node: "b", Identity: Founder}}}
	m, err := New("a", Founder, fs, group, unreachablePeers{}, &recorder{}, WithTiming(time.Hour, time.Hour))
	require.NoError(t, err)
	m.Start()
	defer m.Close()
	args := VoteArgs{Term: 9, Candidate: "b", Identity: Founder, To: Founder}
	fs.SetSpace(0)
	require.False(t, m.handleVote(args).Granted)
	require.Zero(t, m.Status().Term)
	fs.SetSpace(-1)
	require.True(t, m.handleVote(args).Granted)
}

func TestMemberWithFullDiskAcknowledgesNothing(t *testing.T) {
	fs := memfs.New()
	group := Group{Voters: []Voter{{Node: "a", Identity: Founder}, {Node: "b", Identity: Founder}}}
	m, err := New("a", Founder, fs, group, unreachablePeers{}, &recorder{}, WithTiming(time.Hour, time.Hour))
	require.NoError(t, err)
	m.Start()
	defer m.Close()
	args := AppendArgs{Term: 1, Leader: "b", To: Founder, Entries: []Entry{{Index: 1, Term: 1}}, Commit: 1}
	fs.SetSpace(0)
	require.False(t, m.append(args).OK, "neither the term nor the entry can be stored")
	fs.SetSpace(-1)
	require.True(t, m.append(AppendArgs{Term: 1, Leader: "b", To: Founder}).OK)
	fs.SetSpace(0)
	reply := m.append(args)
	require.False(t, reply.OK)
	require.True(t, reply.Alien, "the leader must not send the whole log again")
	require.Zero(t, m.Status().Commit)
	fs.SetSpace(-1)
	require.True(t, m.append(args).OK)
}

// An entry on disk without those before it makes the log unreadable.
func TestEntriesRefusedByFullDiskPrecedeLaterOnes(t *testing.T) {
	fs := memfs.New()
	store, err := openStorage(fs, Group{})
	require.NoError(t, err)
	require.NoError(t, store.stage(Entry{Index: 1, Term: 1, Data: []byte("one")}))
	fs.SetSpace(0)
	require.Error(t, store.write())
	fs.SetSpace(-1)
	require.NoError(t, store.saveEntries([]Entry{{Index: 2, Term: 1, Data: []byte("two")}}))
	fs.Crash(0)
	store, err = openStorage(fs, Group{})
	require.NoError(t, err)
	require.EqualValues(t, 2, store.lastIndex())
}

// A state machine ahead of the applied index would apply entries twice.
func TestSnapshotRefusedByFullDiskIsNotRestored(t *testing.T) {
	fs := memfs.New()
	group := Group{Voters: []Voter{{Node: "a", Identity: Founder}, {Node: "b", Identity: Founder}}}
	machine := &restoringMachine{}
	m, err := New("a", Founder, fs, group, unreachablePeers{}, machine, WithTiming(time.Hour, time.Hour))
	require.NoError(t, err)
	m.Start()
	defer m.Close()
	require.True(t, m.append(AppendArgs{Term: 1, Leader: "b", To: Founder}).OK)
	snap := &Snapshot{Index: 9, Term: 1, Group: group, State: []byte("state")}
	args := AppendArgs{Term: 1, Leader: "b", To: Founder, Snapshot: snap, PrevIndex: snap.Index, PrevTerm: snap.Term}
	fs.SetSpace(0)
	require.False(t, m.append(args).OK)
	require.Zero(t, machine.restored)
	require.NoError(t, failure(m))
	fs.SetSpace(-1)
	require.True(t, m.append(args).OK)
	require.Equal(t, 1, machine.restored)
	require.EqualValues(t, snap.Index, m.Status().Applied)
}

// restoringMachine is a state machine that counts the snapshots it is restored from.
type restoringMachine struct {
	countingMachine
	restored int
}

func (r *restoringMachine) Restore([]byte) error {
	r.restored++
	return nil
}

func TestFullDiskDelaysCompaction(t *testing.T) {
	fs := memfs.New()
	m, err := New("a", Founder, fs, Group{Voters: []Voter{{Node: "a", Identity: Founder}}}, unreachablePeers{}, &countingMachine{},
		WithTiming(testHeartbeat, testElection))
	require.NoError(t, err)
	m.Start()
	defer m.Close()
	propose := func() bool { return m.Propose(t.Context(), []byte("command")).Code == walnutramp.CodeOK }
	require.Eventually(t, propose, catchUpTime, pollInterval)
	fs.SetSpace(0)
	m.mu.Lock()
	m.cfg.CompactBytes = 1
	m.compact()
	require.NoError(t, m.fatalErr)
	require.Zero(t, m.store.snapshot.Index)
	require.True(t, m.compactAfter.After(time.Now()))
	m.mu.Unlock()
	fs.SetSpace(-1)
	require.Eventually(t, func() bool {
		propose()
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.store.snapshot.Index > 0
	}, catchUpTime, pollInterval)
}
