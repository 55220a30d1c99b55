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

// noteTaker notes the first target of what it takes.
type noteTaker struct{ taken *atomic.Value }

func (n *noteTaker) TakeList(list []Target) { n.taken.Store(list[0].ID) }
func (n *noteTaker) TakeChange(c Change)    { n.taken.Store(c.Put[0].ID) }

// start runs a poller and returns what it took last.
func start(t *testing.T, s Source, opts ...PollerOption) (*Poller, *atomic.Value) {
	t.Helper()
	var taken atomic.Value
	taken.Store("")
	p := NewPoller(s, &noteTaker{taken: &taken}, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p, &taken
}

// feedOf returns another node's word; same says that it told the list before.
func feedOf(same bool, age time.Duration) Feed {
	if same {
		return Feed{Age: age}
	}
	return Feed{List: []Target{{ID: "fed"}}, Age: age}
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
			p.Fed(feedOf(i > 0, 500*time.Millisecond))
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
			p.Fed(feedOf(i > 0, time.Duration(i%2)*time.Second))
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
		p.Fed(feedOf(false, 5*time.Second))
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
			p.Fed(feedOf(true, 100*time.Millisecond))
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
	p := NewPoller(&countingSource{}, TakerFunc(func([]Target) {}))
	p.Fed(feedOf(false, 0))
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
			p.Fed(feedOf(false, 0))
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

// A change is made only in the list that it is of.
func TestChangeOfAnotherListIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		change := Feed{Change: &Change{Put: []Target{{ID: "changed"}}}}
		p, taken := start(t, &countingSource{}, WithPatience(3*time.Second))
		require.True(t, p.Fed(feedOf(false, 0)))
		require.True(t, p.Fed(change))
		require.Equal(t, "changed", taken.Load())
		time.Sleep(6 * time.Second)
		require.Equal(t, "own", taken.Load())
		require.False(t, p.Fed(change), "it was read here meanwhile")
		require.True(t, p.Fed(feedOf(false, time.Hour)), "old")
		require.False(t, p.Fed(change))
		require.True(t, p.Fed(feedOf(false, 0)))
		require.True(t, p.Fed(change))
	})
}

// A long list is read less often, so its newest reading is often two seconds old.
func TestReadingOfALongListIsTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &countingSource{}
		p, _ := start(t, s, WithPatience(2*time.Second))
		for i := range 20 {
			p.Fed(feedOf(i > 0, time.Duration(i%5)*500*time.Millisecond))
			time.Sleep(time.Second)
		}
		require.Zero(t, s.reads.Load())
	})
}
