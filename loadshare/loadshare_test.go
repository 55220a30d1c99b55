package loadshare

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
)

func newNode(t *testing.T) (*Sharer, *balance.Tracker) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	tracker := balance.NewTracker(balance.WithSeed(1))
	tracker.Update([]discovery.Target{
		{ID: "1", Service: "s", Address: "10.0.0.1:80", Slots: 8}, {ID: "2", Service: "s", Address: "10.0.0.2:80", Slots: 8},
	})
	s := New(conn, tracker, balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s, tracker
}

func TestNodesExchangeRuns(t *testing.T) {
	local, localTracker := newNode(t)
	remote, remoteTracker := newNode(t)
	addresses := []string{local.conn.LocalAddr().String(), remote.conn.LocalAddr().String()}
	local.SetPeers(peersFromAddresses(addresses))
	remote.SetPeers(peersFromAddresses(addresses))
	choice := balance.Choice{Service: "s", Work: balance.Work{PrefillTokens: 8000, MemoryTokens: 8000}}
	localTracker.Pick(choice).Begin(balance.Work{PrefillTokens: 90000, MemoryTokens: 90000}, balance.Trace{})
	taken := localTracker.Runs()[0].Target
	never := func() bool {
		for range 30 {
			if remoteTracker.Pick(choice).ID == taken {
				return false
			}
		}
		return true
	}
	require.Eventually(t, never, 5*time.Second, 5*time.Millisecond)
}

func TestUnknownSendersAndStaleMessagesAreDropped(t *testing.T) {
	s, tracker := newNode(t)
	s.started = time.Now().Add(-unknownSenderGrace)
	s.SetPeers(peersFromAddresses([]string{"127.0.0.1:9"}))
	heavy := message{Sequence: 5, Runs: []run{{Number: 1, Target: "1", Read: 90000, Hold: 90000}, {Number: 2, Target: "2", Hold: 1, Read: -5}}}
	choice := balance.Choice{Service: "s", Work: balance.Work{PrefillTokens: 8000, MemoryTokens: 8000}}
	expected := func(id string) time.Duration {
		only := choice
		only.Exclude = func(t *balance.Target) bool { return t.ID != id }
		return tracker.Expected(choice, tracker.Pick(only))
	}
	idle := expected("1")
	s.handle("127.0.0.1:10", heavy)
	require.Equal(t, idle, expected("1"), "unknown senders are ignored")
	require.Equal(t, idle, expected("2"))
	s.handle("127.0.0.1:9", heavy)
	require.Greater(t, expected("1"), idle)
	require.Equal(t, idle, expected("2"), "a negative number of tokens counts as none")
	s.handle("127.0.0.1:9", message{Sequence: 4})
	for range 20 {
		require.Equal(t, "2", tracker.Pick(choice).ID, "an older message does not replace a newer one")
	}
}

func TestAbsentPeersAreDropped(t *testing.T) {
	s, _ := newNode(t)
	s.SetPeers(peersFromAddresses([]string{"127.0.0.1:9", "127.0.0.1:10", s.conn.LocalAddr().String(), "nonsense"}))
	require.Len(t, s.peers, 2, "its own address and invalid ones are skipped")
	s.SetPeers(peersFromAddresses([]string{"127.0.0.1:9"}))
	require.Len(t, s.peers, 2, "a new leader's list may be incomplete")
	s.absentSince["127.0.0.1:10"] = time.Now().Add(-peerRetention)
	s.SetPeers(peersFromAddresses([]string{"127.0.0.1:9"}))
	require.Len(t, s.peers, 1)
}

// All nodes are killed. The one with a state file must restore the traces and send
// them to the others before SetPeers is called.
func TestTracesSurviveKillOfAllNodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "traces")
	listen := func() net.PacketConn {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		return conn
	}
	list := []discovery.Target{{ID: "1", Service: "s", Address: "10.0.0.1:80", Slots: 8}, {ID: "2", Service: "s", Address: "10.0.0.2:80", Slots: 8}}
	budgets := balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second})
	start := func(conn net.PacketConn, opts ...Option) (*Sharer, *balance.Tracker, context.CancelFunc) {
		tracker := balance.NewTracker(balance.WithSeed(1))
		tracker.Update(list)
		s := New(conn, tracker, budgets, opts...)
		ctx, cancel := context.WithCancel(context.Background())
		go s.Run(ctx)
		t.Cleanup(cancel)
		return s, tracker, cancel
	}
	here, there := listen(), listen()
	addresses := []string{here.LocalAddr().String(), there.LocalAddr().String()}
	withDisk, hereTracker, killHere := start(here, WithStateFile(file))
	without, thereTracker, killThere := start(there)
	withDisk.SetPeers(peersFromAddresses(addresses))
	without.SetPeers(peersFromAddresses(addresses))
	stream := balance.StreamID{Content: 1, Attempt: 1}
	run := thereTracker.Pick(balance.Choice{Service: "s"}).Begin(balance.Work{PrefillTokens: 1, MemoryTokens: 1}, balance.Trace{Key: "part-1", Stream: stream, CopyName: "run-1", Copy: "2"})
	run.FirstEvent()
	require.Eventually(t, func() bool { at, _ := hereTracker.FindCopy(stream); return at != nil }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(file)
		return err == nil && strings.Contains(string(text), "run-1")
	}, 5*time.Second, 10*time.Millisecond)
	killHere()
	killThere()

	again, err := net.ListenPacket("udp", addresses[1])
	for err != nil {
		again, err = net.ListenPacket("udp", addresses[1])
	}
	_, laterTracker, _ := start(again)
	_, _, _ = start(listen(), WithStateFile(file))
	require.Eventually(t, func() bool {
		at, trace := laterTracker.FindCopy(stream)
		return at != nil && at.ID == "2" && trace.CopyName == "run-1"
	}, 5*time.Second, 5*time.Millisecond)
}

func TestSavedStateSurvivesPowerLoss(t *testing.T) {
	for _, id := range []string{"1", "2"} {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "traces")
			start := func() *balance.Tracker {
				conn, err := net.ListenPacket("udp", "127.0.0.1:0")
				require.NoError(t, err)
				tracker := balance.NewTracker(balance.WithSeed(1))
				tracker.Update([]discovery.Target{{ID: "1", Service: "s", Address: "10.0.0.1:80", Slots: 8}, {ID: "2", Service: "s", Address: "10.0.0.2:80", Slots: 8}})
				s := New(conn, tracker, balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second}), WithStateFile(file))
				ctx, cancel := context.WithCancel(context.Background())
				t.Cleanup(cancel)
				go s.Run(ctx)
				return tracker
			}
			choice := balance.Choice{Service: "s", Work: balance.Work{PrefillTokens: 8000, MemoryTokens: 8000}, Key: "part-1", Retried: true}
			read := choice
			read.Exclude = func(t *balance.Target) bool { return t.ID != id }
			start().Pick(read).Begin(choice.Work, balance.Trace{Key: "part-1"}).FirstEvent()
			require.Eventually(t, func() bool {
				traces := readState(file + syncedSuffix).Traces
				return len(traces) == 1 && traces[0].ReadAt == id
			}, 10*time.Second, 10*time.Millisecond)
			require.NoError(t, os.WriteFile(file, []byte("torn"), 0o600))
			require.Equal(t, id, start().Pick(choice).ID)
		})
	}
}

// Guards against a state file that is still written after the sharer has ended.
func TestRunEndsAfterLastWriteOfStateFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "traces")
	require.NoError(t, syscall.Mkfifo(file, 0o600)) // a write blocks until somebody reads
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(conn, balance.NewTracker(), balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 10, Window: time.Second}))
	s.stateFile = file
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	s.requestSave()
	time.Sleep(4 * saveInterval)
	cancel()
	select {
	case <-ended:
		t.Fatal("Run ended during a write")
	case <-time.After(4 * saveInterval):
	}
	reader, err := os.Open(file)
	require.NoError(t, err)
	defer reader.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("Run does not end after the write")
	}
}
