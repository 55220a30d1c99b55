package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
)

// sharedRuns returns n runs numbered from first, each with a copy.
func sharedRuns(first, n int) []balance.RunReport {
	var runs []balance.RunReport
	for i := range n {
		runs = append(runs, balance.RunReport{
			Number: uint64(first + i), Target: fmt.Sprint("i-6c3b5107", i, "@1764806400000"), PendingTokens: 8000, MemoryTokens: 8400,
			Trace: balance.Trace{Key: "5c1e07a2", Stream: balance.StreamID{Content: 1 << 63, Attempt: 1 << 63},
				CopyName: "10.128.0.109:18080/9c41d07be2a35f68", Copy: "i-7f3a91c2@1764806400000"},
		})
	}
	return runs
}

// applyMessages applies messages as a receiver would, and returns the runs by number.
func applyMessages(t *testing.T, s *sender, messages []message) map[uint64]balance.RunReport {
	t.Helper()
	var runs []balance.RunReport
	for _, m := range messages {
		m.Sequence = s.sequence + 1
		datagram, err := msgpack.Marshal(m)
		require.NoError(t, err)
		require.Less(t, len(datagram), maxDatagram)
		var received message
		require.NoError(t, msgpack.Unmarshal(datagram, &received))
		runs = s.apply(received, time.Now())
	}
	byNumber := map[uint64]balance.RunReport{}
	for _, r := range runs {
		byNumber[r.Number] = r
	}
	return byNumber
}

func TestOnlyChangesAreSent(t *testing.T) {
	a, s := newPeerGroup(false, otherHallPacing), &sender{}
	runs := sharedRuns(1, 3)
	require.Len(t, applyMessages(t, s, a.buildMessages(localState{runs: runs, suspects: []string{"i-1"}}, true)), 3)
	require.Empty(t, a.buildMessages(localState{runs: runs, suspects: []string{"i-1"}}, false), "nothing has changed")

	runs[1].PendingTokens = 0 // the first event has arrived
	messages := a.buildMessages(localState{runs: append(runs[1:], sharedRuns(9, 1)...), suspects: []string{"i-1", "i-2"}}, false)
	require.Len(t, messages, 1)
	require.Len(t, messages[0].Runs, 2)
	require.Equal(t, []uint64{1}, messages[0].Finished)
	require.Equal(t, []string{"i-2"}, messages[0].Suspects)
	now := applyMessages(t, s, messages)
	require.Len(t, now, 3)
	require.Zero(t, now[2].PendingTokens)
	require.NotContains(t, now, uint64(1))
	require.Contains(t, now, uint64(9))
}

func TestFullMessageRecoversLostChanges(t *testing.T) {
	a, s := newPeerGroup(false, otherHallPacing), &sender{}
	applyMessages(t, s, a.buildMessages(localState{runs: sharedRuns(1, 3)}, true))
	require.NotEmpty(t, a.buildMessages(localState{runs: sharedRuns(5, 2)}, false), "this message is lost")
	now := applyMessages(t, s, a.buildMessages(localState{runs: sharedRuns(5, 2)}, true))
	require.Len(t, now, 2)
	require.Contains(t, now, uint64(5))
}

func TestManyRunsAreSplitIntoDatagrams(t *testing.T) {
	a, s := newPeerGroup(true, sameHallPacing), &sender{}
	messages := a.buildMessages(localState{runs: sharedRuns(1, 350)}, true)
	require.Len(t, messages, 4)
	require.Len(t, applyMessages(t, s, messages), 350)
	require.Empty(t, applyMessages(t, s, a.buildMessages(localState{}, false)), "all have ended")
}

func TestSendRateIsBoundedForManyPeers(t *testing.T) {
	require.Equal(t, otherHallPacing.minDelay, otherHallPacing.batchDelay(2))
	for _, peers := range []int{50, 400, 1000} {
		perSecond := float64(peers) * float64(time.Second) / float64(otherHallPacing.batchDelay(peers))
		require.LessOrEqual(t, perSecond, 400.0, "datagrams per second sent by one node")
	}
	a := newPeerGroup(false, otherHallPacing)
	a.peerCount, a.lastFull = 3, time.Now()
	require.False(t, a.fullDue(a.lastFull, 3))
	require.True(t, a.fullDue(a.lastFull, 4), "a new peer needs the full state")
	require.True(t, a.fullDue(a.lastFull.Add(otherHallPacing.fullInterval), 3))
}
