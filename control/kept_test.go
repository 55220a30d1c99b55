package control

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/internal/schema"
	"github.com/walnutramp/walnutramp/rollout"
)

// What is stored and sent: all that leads to a member's state, and all calls.
func TestFormats(t *testing.T) {
	schema.Check(t, Command{}, Result{}, stateImage{}, update{}, []discovery.Target{},
		NewestArgs{}, NewestReply{}, TimeArgs{}, TimeReply{}, TellArgs{}, PassArgs{}, TellReply{}, DoArgs{}, DoReply{}, OfferArgs{},
		JoinArgs{}, JoinReply{}, RolloutArgs{}, RolloutReply{}, OrderArgs{}, ReportArgs{}, ReportReply{}, HistoryArgs{}, HistoryReply{},
		SubmitArgs{}, PieceArgs{}, PieceReply{}, IntroduceArgs{}, IntroduceReply{}, RosterReply{})
}

// noPeers reaches nobody.
type noPeers struct{}

// Call implements consensus.Peers.
func (noPeers) Call(ctx context.Context, _ walnutramp.NodeName, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// keptState is what a kept disk must say.
type keptState struct {
	Versions int    // accepted
	Newest   uint64 // version of the newest document
	Document int    // its bytes
	Rollouts []rollout.Record
	Duty     duty.Record
}

// The folders in testdata/kept are those of a member of the control group after seven
// seconds of the soak's seed 4 (changes of the configuration, a roll-out, planned stops)
// under the build that names them; "this" is the build that began to keep them. A member
// of this build takes each for its own.
func TestKeptDisksAreRead(t *testing.T) {
	folders, err := filepath.Glob("testdata/kept/*")
	require.NoError(t, err)
	require.Len(t, folders, 3)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			disk := memfs.New()
			for _, name := range []string{"consensus.log", "consensus.commit", "identity"} {
				text, err := os.ReadFile(filepath.Join(folder, name))
				require.NoError(t, err)
				f, err := disk.Create(name)
				require.NoError(t, err)
				_, err = f.Write(text)
				require.NoError(t, err)
				require.NoError(t, f.Sync())
			}
			identity, err := ReadIdentity(disk)
			require.NoError(t, err)
			state := NewState(WithRule(AcceptHighest))
			m, err := consensus.New("kept", identity, disk, consensus.Group{}, noPeers{}, state,
				consensus.WithTiming(time.Hour, time.Hour), consensus.WithCommitNotes())
			require.NoError(t, err)
			m.Start()
			defer m.Close()
			require.Eventually(t, func() bool { return m.Status().Applied > 0 && m.Status().Applied == m.Status().Commit }, 5*time.Second, time.Millisecond)
			got := keptStateOf(t, state)
			golden := filepath.Join(folder, "state.json")
			text, err := json.MarshalIndent(got, "", " ")
			require.NoError(t, err)
			if os.Getenv("UPDATE_GOLDEN") != "" {
				require.NoError(t, os.WriteFile(golden, append(text, '\n'), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), string(text)+"\n")
		})
	}
}

// keptStateOf reads what a state holds, by way of its snapshot.
func keptStateOf(t *testing.T, s *State) keptState {
	var img stateImage
	require.NoError(t, msgpack.Unmarshal(s.Snapshot(), &img))
	require.NoError(t, NewState().Restore(s.Snapshot()))
	for i := range img.Versions.Records {
		img.Versions.Records[i].Elapsed = 0 // goes on
	}
	return keptState{Versions: len(img.History), Newest: img.History[len(img.History)-1].Version, Document: len(img.Doc),
		Rollouts: img.Versions.Records, Duty: img.Duty}
}
