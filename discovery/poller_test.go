package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

type countingSource struct {
	reads atomic.Int64
	err   error
}

func (s *countingSource) Targets(context.Context) ([]Target, error) {
	s.reads.Add(1)
	return []Target{{ID: "own"}}, s.err
}

// recordingHandler records the first target of each list or change.
type recordingHandler struct{ taken *atomic.Value }

func (n *recordingHandler) SetList(list []Target) { n.taken.Store(list[0].ID) }
func (n *recordingHandler) ApplyChange(c Change)  { n.taken.Store(c.Put[0].ID) }

// start runs a poller and returns it with the variable in which its handler records.
func start(t *testing.T, s Source, opts ...PollerOption) (*Poller, *atomic.Value) {
	t.Helper()
	var taken atomic.Value
	taken.Store("")
	p := NewPoller(s, &recordingHandler{taken: &taken}, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p, &taken
}

// feedOf returns a feed update, without the list if it is unchanged.
func feedOf(unchanged bool, age time.Duration) FeedUpdate {
	if unchanged {
		return FeedUpdate{Age: age}
	}
	return FeedUpdate{List: []Target{{ID: "fed"}}, Age: age}
}

func TestPollerReadsWithoutFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		_, taken := start(t, s)
		time.Sleep(10 * time.Second)
		require.InDelta(t, 10, s.reads.Load(), 2)
		require.Equal(t, "own", taken.Load())
	})
}

func TestFedPollerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, taken := start(t, s)
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 1, s.reads.Load())
		for i := range 10 {
			time.Sleep(600 * time.Millisecond)
			p.ApplyFeed(feedOf(i > 0, 500*time.Millisecond))
		}
		require.EqualValues(t, 1, s.reads.Load())
		require.Equal(t, "fed", taken.Load())
		time.Sleep(4 * time.Second)
		require.Greater(t, s.reads.Load(), int64(1), "reads resume once the feed times out")
	})
}

// The leader reads about as often as it is polled, so consecutive updates may carry
// the same list, of increasing age. The feed must stay fresh.
func TestRepeatedReadingKeepsFeedFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s)
		time.Sleep(200 * time.Millisecond)
		for i := range 10 {
			p.ApplyFeed(feedOf(i > 0, time.Duration(i%2)*time.Second))
			time.Sleep(time.Second)
		}
		require.EqualValues(t, 1, s.reads.Load())
	})
}

func TestStaleFeedIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, taken := start(t, s)
		time.Sleep(100 * time.Millisecond)
		p.ApplyFeed(feedOf(false, 5*time.Second))
		require.Equal(t, "own", taken.Load(), "the poller's own list is newer")
		time.Sleep(5 * time.Second)
		require.Greater(t, s.reads.Load(), int64(3), "a feed with an old list is ignored")
	})
}

func TestPollerReadsOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s)
		time.Sleep(400 * time.Millisecond)
		p.RequestRead()
		time.Sleep(50 * time.Millisecond)
		require.EqualValues(t, 2, s.reads.Load())
		p.RequestRead()
		p.RequestRead()
		time.Sleep(200 * time.Millisecond)
		require.EqualValues(t, 2, s.reads.Load(), "reads are at least MinInterval apart")
	})
}

// When a data hall of engines fails, every node requests a read, which takes several
// calls on a large site. Nodes with a fresh feed must not read.
func TestFedPollerIgnoresReadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s)
		time.Sleep(200 * time.Millisecond)
		for range 20 {
			p.ApplyFeed(feedOf(true, 100*time.Millisecond))
			p.RequestRead()
			time.Sleep(500 * time.Millisecond)
		}
		require.EqualValues(t, 1, s.reads.Load())
	})
}

func TestPollerReadsOnlyWhileConditionHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{err: errors.New("429")}
		var leader atomic.Bool
		start(t, s, WithCondition(leader.Load))
		time.Sleep(5 * time.Second)
		require.Zero(t, s.reads.Load())
		leader.Store(true)
		time.Sleep(5 * time.Second)
		require.Greater(t, s.reads.Load(), int64(3))
	})
}

func TestFeedIsStaleAfterSuspend(t *testing.T) {
	p := NewPoller(&countingSource{}, ListHandlerFunc(func([]Target) {}))
	p.ApplyFeed(feedOf(false, 0))
	require.False(t, p.readDue())
	t.Cleanup(uptime.Pretend(5 * time.Second))
	require.True(t, p.readDue())
}

// After a restart of all nodes, a node first waits for the feed.
func TestPollerWaitsForFeedAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, taken := start(t, s, WithInitialDelay(4*time.Second))
		alone := &countingSource{}
		start(t, alone, WithInitialDelay(4*time.Second))
		time.Sleep(3 * time.Second)
		for range 5 {
			p.ApplyFeed(feedOf(false, 0))
			time.Sleep(time.Second)
		}
		require.Zero(t, s.reads.Load())
		require.Equal(t, "fed", taken.Load())
		require.Positive(t, alone.reads.Load(), "reads after the initial delay without a feed")
	})
}

// pacedSource limits its read rate.
type pacedSource struct{ countingSource }

func (*pacedSource) Interval() time.Duration { return 3 * time.Second }

func TestRateLimitedSourceSetsInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pacedSource{}
		start(t, s)
		time.Sleep(30 * time.Second)
		require.InDelta(t, 10, s.reads.Load(), 2)
	})
}

// A change must be applied only to the list it is based on.
func TestChangeToOutdatedListIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		change := FeedUpdate{Change: &Change{Put: []Target{{ID: "changed"}}}}
		p, taken := start(t, &countingSource{}, WithInitialDelay(3*time.Second))
		require.True(t, p.ApplyFeed(feedOf(false, 0)))
		require.True(t, p.ApplyFeed(change))
		require.Equal(t, "changed", taken.Load())
		time.Sleep(6 * time.Second)
		require.Equal(t, "own", taken.Load())
		require.False(t, p.ApplyFeed(change), "the poller has read its own list since")
		require.True(t, p.ApplyFeed(feedOf(false, time.Hour)), "older than the own list")
		require.False(t, p.ApplyFeed(change))
		require.True(t, p.ApplyFeed(feedOf(false, 0)))
		require.True(t, p.ApplyFeed(change))
	})
}

// A feed with a list that is up to two seconds old keeps the poller from reading, as a long
// list is read less often.
func TestFeedOfLongListIsTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s, WithInitialDelay(2*time.Second))
		for i := range 20 {
			p.ApplyFeed(feedOf(i > 0, time.Duration(i%5)*500*time.Millisecond))
			time.Sleep(time.Second)
		}
		require.Zero(t, s.reads.Load())
	})
}
