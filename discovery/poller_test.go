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

// start runs a poller and returns what it took last.
func start(t *testing.T, s Source, opts ...PollerOption) (*Poller, *atomic.Value) {
	t.Helper()
	var taken atomic.Value
	taken.Store("")
	p := NewPoller(s, func(list []Target) { taken.Store(list[0].ID) }, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p, &taken
}

func TestPollerReadsWhenNobodyFeedsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		_, taken := start(t, s)
		time.Sleep(10 * time.Second)
		require.InDelta(t, 10, s.reads.Load(), 2)
		require.Equal(t, "own", taken.Load())
	})
}

func TestPollerThatIsFedDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, taken := start(t, s)
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 1, s.reads.Load())
		for i := range 10 {
			time.Sleep(600 * time.Millisecond)
			p.Fed([]Target{{ID: "fed"}}, i > 0, 500*time.Millisecond)
		}
		require.EqualValues(t, 1, s.reads.Load())
		require.Equal(t, "fed", taken.Load())
		time.Sleep(4 * time.Second)
		require.Greater(t, s.reads.Load(), int64(1), "the other fell silent")
	})
}

// The leader reads about as often as it is asked, so that two answers in a
// row may tell of the same reading.
func TestSameReadingToldTwiceKeepsAPollerFed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s)
		time.Sleep(200 * time.Millisecond)
		for i := range 10 {
			p.Fed([]Target{{ID: "fed"}}, i > 0, time.Duration(i%2)*time.Second)
			time.Sleep(time.Second)
		}
		require.EqualValues(t, 1, s.reads.Load())
	})
}

func TestOldFeedIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, taken := start(t, s)
		time.Sleep(100 * time.Millisecond)
		p.Fed([]Target{{ID: "fed"}}, false, 5*time.Second)
		require.Equal(t, "own", taken.Load(), "the own reading is newer")
		time.Sleep(5 * time.Second)
		require.Greater(t, s.reads.Load(), int64(3), "a feed that is read too seldom is not trusted")
	})
}

func TestPollerReadsSoonWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s)
		time.Sleep(400 * time.Millisecond)
		p.Soon()
		time.Sleep(50 * time.Millisecond)
		require.EqualValues(t, 2, s.reads.Load())
		p.Soon()
		p.Soon()
		time.Sleep(200 * time.Millisecond)
		require.EqualValues(t, 2, s.reads.Load(), "not more often than the shortest pause")
	})
}

// On a site of hundreds of targets each reading is several calls, and a hall
// of engines that ends has every node ask for one.
func TestPollerThatIsFedDoesNotReadWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s)
		time.Sleep(200 * time.Millisecond)
		for range 20 {
			p.Fed(nil, true, 100*time.Millisecond)
			p.Soon()
			time.Sleep(500 * time.Millisecond)
		}
		require.EqualValues(t, 1, s.reads.Load())
	})
}

func TestPollerOfWhoDoesNotLeadRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{err: errors.New("429")}
		var leads atomic.Bool
		start(t, s, WithOnly(leads.Load))
		time.Sleep(5 * time.Second)
		require.Zero(t, s.reads.Load())
		leads.Store(true)
		time.Sleep(5 * time.Second)
		require.Greater(t, s.reads.Load(), int64(3))
	})
}

func TestFedListIsOldAfterASuspension(t *testing.T) {
	p := NewPoller(&countingSource{}, func([]Target) {})
	p.Fed([]Target{{ID: "fed"}}, false, 0)
	require.False(t, p.due())
	t.Cleanup(uptime.Pretend(5 * time.Second))
	require.True(t, p.due())
}

// After a start of all a node waits for another one's reading, for a while.
func TestPollerWaitsForAnothersReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, taken := start(t, s, WithPatience(4*time.Second))
		alone := &countingSource{}
		start(t, alone, WithPatience(4*time.Second))
		time.Sleep(3 * time.Second)
		for range 5 {
			p.Fed([]Target{{ID: "fed"}}, false, 0)
			time.Sleep(time.Second)
		}
		require.Zero(t, s.reads.Load())
		require.Equal(t, "fed", taken.Load())
		require.Positive(t, alone.reads.Load(), "nobody reads for it")
	})
}

// pacedSource wants long pauses.
type pacedSource struct{ countingSource }

func (*pacedSource) Interval() time.Duration { return 3 * time.Second }

func TestSourceSetsItsPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pacedSource{}
		start(t, s)
		time.Sleep(30 * time.Second)
		require.InDelta(t, 10, s.reads.Load(), 2)
	})
}
