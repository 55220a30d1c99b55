package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/balance"
)

// sharedRuns returns runs with the numbers from first on, each with a copy.
func sharedRuns(first, n int) []balance.Shared {
	var runs []balance.Shared
	for i := range n {
		runs = append(runs, balance.Shared{
			Number: uint64(first + i), Target: fmt.Sprint("i-6c3b5107", i), Read: 8000, Hold: 8400,
			Trace: balance.Trace{Key: "5c1e07a2", CopyName: "9c41d07be2a35f68", Copy: "i-7f3a91c2"},
		})
	}
	return runs
}

// told applies messages as a receiver would, and returns the runs' numbers.
func told(t *testing.T, s *sender, messages []message) map[uint64]balance.Shared {
	t.Helper()
	var runs []balance.Shared
	for _, m := range messages {
		m.Sequence = s.sequence + 1
		datagram, err := msgpack.Marshal(m)
		require.NoError(t, err)
		require.Less(t, len(datagram), maxDatagram)
		var received message
		require.NoError(t, msgpack.Unmarshal(datagram, &received))
		runs = s.take(received, time.Now())
	}
	byNumber := map[uint64]balance.Shared{}
	for _, r := range runs {
		byNumber[r.Number] = r
	}
	return byNumber
}

func TestOnlyChangesAreTold(t *testing.T) {
	a, s := newAudience(false, farPace), &sender{}
	runs := sharedRuns(1, 3)
	require.Len(t, told(t, s, a.compose(news{runs: runs, suspects: []string{"i-1"}}, true)), 3)
	require.Empty(t, a.compose(news{runs: runs, suspects: []string{"i-1"}}, false), "nothing has changed")

	runs[1].Read = 0 // its first event has come
	messages := a.compose(news{runs: append(runs[1:], sharedRuns(9, 1)...), suspects: []string{"i-1", "i-2"}}, false)
	require.Len(t, messages, 1)
	require.Len(t, messages[0].Runs, 2)
	require.Equal(t, []uint64{1}, messages[0].Over)
	require.Equal(t, []string{"i-2"}, messages[0].Suspects)
	now := told(t, s, messages)
	require.Len(t, now, 3)
	require.Zero(t, now[2].Read)
	require.NotContains(t, now, uint64(1))
	require.Contains(t, now, uint64(9))
}

func TestFullMessageMakesGoodWhatWasLost(t *testing.T) {
	a, s := newAudience(false, farPace), &sender{}
	told(t, s, a.compose(news{runs: sharedRuns(1, 3)}, true))
	require.NotEmpty(t, a.compose(news{runs: sharedRuns(5, 2)}, false), "lost on the way")
	now := told(t, s, a.compose(news{runs: sharedRuns(5, 2)}, true))
	require.Len(t, now, 2)
	require.Contains(t, now, uint64(5))
}

func TestManyRunsAreCutIntoDatagrams(t *testing.T) {
	a, s := newAudience(true, nearPace), &sender{}
	messages := a.compose(news{runs: sharedRuns(1, 350)}, true)
	require.Len(t, messages, 4)
	require.Len(t, told(t, s, messages), 350)
	require.Empty(t, told(t, s, a.compose(news{}, false)), "all have ended")
}

func TestMorePeersAreToldLessOften(t *testing.T) {
	require.Equal(t, farPace.settle, farPace.gather(2))
	for _, peers := range []int{50, 400, 1000} {
		perSecond := float64(peers) * float64(time.Second) / float64(farPace.gather(peers))
		require.LessOrEqual(t, perSecond, 400.0, "datagrams a second of one node")
	}
	a := newAudience(false, farPace)
	a.peers, a.fullAt = 3, time.Now()
	require.False(t, a.fullDue(a.fullAt, 3))
	require.True(t, a.fullDue(a.fullAt, 4), "a new peer knows nothing yet")
	require.True(t, a.fullDue(a.fullAt.Add(farPace.refresh), 3))
}
