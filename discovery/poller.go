package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Source fetches the list of targets.
type Source interface {
	// Targets returns every target of the site.
	Targets(ctx context.Context) ([]Target, error)
}

// Change is the difference between two lists of targets.
type Change struct {
	Removed []string // IDs
	Put     []Target // new or changed
}

// FeedUpdate is an update of the list from another node. With neither a list nor a
// change, the list it sent last is still valid.
type FeedUpdate struct {
	List   []Target      // complete list
	Change *Change       // to the list it sent last
	Age    time.Duration // since the other node read the list
}

// ListHandler receives lists of targets.
type ListHandler interface {
	// SetList replaces the list.
	SetList(list []Target)
	// ApplyChange applies a change to the current list.
	ApplyChange(c Change)
}

// ListHandlerFunc adapts a function to a ListHandler that ignores changes, for pollers
// without a feed.
type ListHandlerFunc func(list []Target)

// SetList implements ListHandler.
func (f ListHandlerFunc) SetList(list []Target) { f(list) }

// ApplyChange implements ListHandler.
func (f ListHandlerFunc) ApplyChange(Change) {}

// Poller periodically reads a Source.
type Poller struct {
	source    Source
	handler   ListHandler
	cfg       PollerConfig
	pollNow   chan struct{}
	notBefore time.Time // no reads before this time

	mu      sync.Mutex
	readAt  time.Time     // when the current list was read, here or by another node
	fedAt   time.Time     // when the last feed update arrived
	fedAge  time.Duration // age of the list in that update
	ownList bool          // the current list is not the one last sent by the feed
}

// PollerConfig configures a Poller.
type PollerConfig struct {
	Interval    time.Duration
	MinInterval time.Duration // between reads, when one is requested
	Timeout     time.Duration // of a complete read, which may take several calls
	FeedTimeout time.Duration // after which a feed without updates is ignored
	MaxFeedAge  time.Duration // maximum age of the feed's list; long lists are read less often
	Condition   func() bool   // reads only while it returns true; nil for always
	// InitialDelay is how long after NewPoller to wait for a feed before the first read.
	InitialDelay time.Duration
}

// PollerOption sets a field of PollerConfig.
type PollerOption func(*PollerConfig)

// WithCondition restricts reads to times when a condition holds.
func WithCondition(condition func() bool) PollerOption {
	return func(c *PollerConfig) { c.Condition = condition }
}

// WithInitialDelay sets how long a new poller waits for a feed before it reads the source
// itself.
func WithInitialDelay(d time.Duration) PollerOption {
	return func(c *PollerConfig) { c.InitialDelay = d }
}

// RateLimitedSource is a Source that limits its read rate.
type RateLimitedSource interface {
	// Interval returns the minimum time between reads; 0 for no limit.
	Interval() time.Duration
}

// NewPoller returns a poller that passes every list it reads, and the updates of
// ApplyFeed, to a handler. It calls the handler with its mutex held, so the handler must
// not call ApplyFeed.
func NewPoller(source Source, handler ListHandler, opts ...PollerOption) *Poller {
	cfg := PollerConfig{Interval: time.Second, MinInterval: 300 * time.Millisecond, Timeout: 3 * time.Second, FeedTimeout: 1600 * time.Millisecond, MaxFeedAge: 3200 * time.Millisecond}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Poller{source: source, handler: handler, cfg: cfg, pollNow: make(chan struct{}, 1), notBefore: uptime.Now().Add(cfg.InitialDelay)}
}

// RequestRead requests a read before the next one is due. It has no effect while reads are
// skipped; see readDue.
func (p *Poller) RequestRead() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

// ApplyFeed applies an update from another node in place of a read. A list older than the
// current one is not passed on. ApplyFeed returns false for a change if the current list
// is not the one last sent by the feed; the complete list is needed then.
func (p *Poller) ApplyFeed(f FeedUpdate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Change != nil && p.ownList {
		return false
	}
	newer := p.recordFeed(f)
	switch {
	case f.Change != nil:
		p.handler.ApplyChange(*f.Change)
	case f.List != nil && newer:
		p.ownList = false
		p.handler.SetList(f.List)
	case f.List != nil:
		p.ownList = true
	}
	return true
}

// recordFeed records the times of a feed update, and reports whether its list is newer
// than the current one. The caller holds the mutex.
func (p *Poller) recordFeed(f FeedUpdate) (newer bool) {
	readAt := uptime.Now().Add(-f.Age)
	newer = readAt.After(p.readAt)
	if newer {
		p.readAt = readAt
	}
	p.fedAt, p.fedAge = uptime.Now(), f.Age
	return newer
}

// feedFresh reports whether the feed is recent enough to skip reads.
func (p *Poller) feedFresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uptime.Since(p.fedAt) < p.cfg.FeedTimeout && p.fedAge < p.cfg.MaxFeedAge
}

// readDue reports whether a read is due. While the feed is fresh, requested reads are
// skipped too: the feed is updated within an interval, and on a large site each read
// takes many calls.
func (p *Poller) readDue() bool {
	if p.cfg.Condition != nil && !p.cfg.Condition() {
		return false
	}
	return !p.feedFresh() && !uptime.Now().Before(p.notBefore)
}

// Run reads until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	failing := false
	for {
		var err error
		if p.readDue() {
			err = p.readOnce(ctx)
		}
		if (err != nil) != failing {
			failing = err != nil
			klog.InfoS("List of targets", "lost", failing, "err", err)
		}
		if !pause.For(ctx, p.cfg.MinInterval) {
			return
		}
		if p.wait(ctx); ctx.Err() != nil {
			return
		}
	}
}

func (p *Poller) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	began := uptime.Now()
	list, err := p.source.Targets(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt, p.ownList = began, true
	p.handler.SetList(list)
	return nil
}

// interval returns the time between reads.
func (p *Poller) interval() time.Duration {
	if limited, ok := p.source.(RateLimitedSource); ok {
		return max(p.cfg.Interval, limited.Interval())
	}
	return p.cfg.Interval
}

// wait waits for the next read, with jitter so that nodes do not read in lockstep.
func (p *Poller) wait(ctx context.Context) {
	delay := p.interval() - p.cfg.MinInterval
	t := time.NewTimer(delay*9/10 + rand.N(delay/5+1))
	defer t.Stop()
	select {
	case <-p.pollNow:
	case <-t.C:
	case <-ctx.Done():
	}
}
