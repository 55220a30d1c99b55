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

// TestFormats checks the encodings of all stored and transmitted types.
func TestFormats(t *testing.T) {
	schema.Check(t, Command{}, Result{}, stateImage{}, update{}, []discovery.Target{},
		NewestArgs{}, NewestReply{}, TimeArgs{}, TimeReply{}, TellArgs{}, PassArgs{}, TellReply{}, DoArgs{}, DoReply{}, OfferArgs{},
		JoinArgs{}, JoinReply{}, RolloutArgs{}, RolloutReply{}, OrderArgs{}, ReportArgs{}, ReportReply{}, HistoryArgs{}, HistoryReply{},
		SubmitArgs{}, PieceArgs{}, PieceReply{}, IntroduceArgs{}, IntroduceReply{}, TargetListReply{})
}

// noPeers answers no call.
type noPeers struct{}

// Call implements consensus.Peers.
func (noPeers) Call(ctx context.Context, _ walnutramp.NodeName, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// storedState is the expected content of a stored disk.
type storedState struct {
	Versions int    // number of accepted versions
	Newest   uint64 // of the newest document
	Document int    // size of the newest document in bytes
	Rollouts []rollout.Record
	Duty     duty.Record
}

// TestStoredDisksAreReadable checks that this build reads the disks of older builds.
// Each directory in testdata/kept holds the disk of a member after seven seconds of
// the soak with seed 4, and is named after the build that wrote it; "this" is the
// first one that was stored.
func TestStoredDisksAreReadable(t *testing.T) {
	dirs, err := filepath.Glob("testdata/kept/*")
	require.NoError(t, err)
	require.Len(t, dirs, 3)
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			disk := memfs.New()
			for _, name := range []string{"consensus.log", "consensus.commit", "identity"} {
				text, err := os.ReadFile(filepath.Join(dir, name))
				require.NoError(t, err)
				f, err := disk.Create(name)
				require.NoError(t, err)
				_, err = f.Write(text)
				require.NoError(t, err)
				require.NoError(t, f.Sync())
			}
			identity, err := LoadOrCreateIdentity(disk)
			require.NoError(t, err)
			state := NewState(WithRule(AcceptHighest))
			m, err := consensus.New("kept", identity, disk, consensus.Group{}, noPeers{}, state,
				consensus.WithTiming(time.Hour, time.Hour), consensus.WithPersistedCommits())
			require.NoError(t, err)
			m.Start()
			defer m.Close()
			require.Eventually(t, func() bool { return m.Status().Applied > 0 && m.Status().Applied == m.Status().Commit }, 5*time.Second, time.Millisecond)
			got := decodeState(t, state)
			golden := filepath.Join(dir, "state.json")
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

// decodeState decodes the content of a state from its snapshot.
func decodeState(t *testing.T, s *State) storedState {
	var img stateImage
	require.NoError(t, msgpack.Unmarshal(s.Snapshot(), &img))
	require.NoError(t, NewState().Restore(s.Snapshot()))
	for i := range img.Versions.Records {
		img.Versions.Records[i].Elapsed = 0 // depends on the clock
	}
	return storedState{Versions: len(img.History), Newest: img.History[len(img.History)-1].Version, Document: len(img.Doc),
		Rollouts: img.Versions.Records, Duty: img.Duty}
}
