package consensus

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/memfs"
)

// recorder is a state machine that records applied commands.
type recorder struct {
	applied chan string
}

func (r *recorder) Apply(_ uint64, command []byte) []byte {
	r.applied <- string(command)
	return nil
}
func (r *recorder) Snapshot() []byte     { return nil }
func (r *recorder) Restore([]byte) error { return nil }

// unreachablePeers fails every call.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, walnutramp.NodeName, string, any, any) error {
	return context.DeadlineExceeded
}

func TestRestartedMemberAppliesCommittedEntries(t *testing.T) {
	group := Group{Voters: []Voter{{Node: "a", Identity: Founder}}}
	fs := memfs.New()
	machine := &recorder{applied: make(chan string, 8)}
	m, err := New("a", Founder, fs, group, unreachablePeers{}, machine, WithTiming(5*time.Millisecond, 20*time.Millisecond), WithPersistedCommits())
	require.NoError(t, err)
	m.Start()
	require.Eventually(t, m.Leads, 5*time.Second, time.Millisecond)
	require.Equal(t, walnutramp.CodeOK, m.Propose(context.Background(), []byte("one")).Code)
	require.Equal(t, "one", <-machine.applied)
	require.Eventually(t, func() bool { return m.store.loadCommitIndex() == m.Status().Applied }, 5*time.Second, time.Millisecond)
	m.Close()

	// With an election timeout of an hour no leader is elected.
	restarted := &recorder{applied: make(chan string, 8)}
	m, err = New("a", Founder, fs, group, unreachablePeers{}, restarted, WithTiming(time.Hour, time.Hour), WithPersistedCommits())
	require.NoError(t, err)
	m.Start()
	defer m.Close()
	select {
	case command := <-restarted.applied:
		require.Equal(t, "one", command)
	case <-time.After(5 * time.Second):
		t.Fatal("entry committed before the restart was not applied")
	}
}

// A closed member must not report its closed log as a disk failure.
func TestClosedMemberDoesNotReportDiskFailure(t *testing.T) {
	group := Group{Voters: []Voter{{Node: "a", Identity: Founder}, {Node: "b", Identity: Founder}}}
	fatal := make(chan error, 1)
	m, err := New("a", Founder, memfs.New(), group, unreachablePeers{}, &recorder{}, WithOnFatal(func(err error) { fatal <- err }))
	require.NoError(t, err)
	m.Start()
	m.Close()
	var reply VoteReply
	require.NoError(t, m.Handler().Vote(VoteArgs{Term: 9, Candidate: "b", Identity: Founder, To: Founder}, &reply))
	require.False(t, reply.Granted)
	select {
	case err := <-fatal:
		t.Fatal(err)
	case <-time.After(50 * time.Millisecond):
	}
}

func TestDamagedCommitRecordIsIgnored(t *testing.T) {
	fs := memfs.New()
	store, err := openStorage(fs, Group{})
	require.NoError(t, err)
	require.NoError(t, store.saveEntries([]Entry{{Index: 1, Term: 1}}))
	require.NoError(t, store.saveCommitIndex(1))
	require.EqualValues(t, 1, store.loadCommitIndex())
	require.NoError(t, store.saveCommitIndex(7))
	require.EqualValues(t, 1, store.loadCommitIndex(), "clamped to the last log index")
	f, err := fs.Create(commitFileName)
	require.NoError(t, err)
	_, err = f.Write([]byte("torn"))
	require.NoError(t, err)
	require.Zero(t, store.loadCommitIndex())
}

// The persisted founding group takes precedence over changed seeds.
func TestFoundingGroupSurvivesChangedSeeds(t *testing.T) {
	fs := memfs.New()
	founded := Group{Voters: []Voter{{Node: "a", Identity: Founder}, {Node: "b", Identity: Founder}}}
	_, err := openStorage(fs, founded)
	require.NoError(t, err)
	fs.Crash(0)
	store, err := openStorage(fs, Group{Voters: []Voter{{Node: "x", Identity: Founder}}})
	require.NoError(t, err)
	require.Equal(t, founded, store.group(0))
}
