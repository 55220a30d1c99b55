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

// Source reads the whole list of targets once.
type Source interface {
	// Targets returns every target of the site.
	Targets(ctx context.Context) ([]Target, error)
}

// Change turns one list of targets into another.
type Change struct {
	Removed []string // IDs
	Put     []Target // new or changed
}

// Feed is another node's word on the list. Where it has neither a list nor a change, the
// list is the one that it told last.
type Feed struct {
	List   []Target // the whole
	Change *Change  // of what it told last
	Age    time.Duration
}

// Taker takes lists of targets.
type Taker interface {
	// TakeList takes the whole list.
	TakeList(list []Target)
	// TakeChange changes the list that was taken last.
	TakeChange(c Change)
}

// TakerFunc takes the lists of a node that nobody tells of changes.
type TakerFunc func(list []Target)

// TakeList implements Taker.
func (f TakerFunc) TakeList(list []Target) { f(list) }

// TakeChange implements Taker.
func (f TakerFunc) TakeChange(Change) {}

// Poller reads a source again and again.
type Poller struct {
	source Source
	taker  Taker
	cfg    PollerConfig
	soon   chan struct{}
	from   time.Time // before which nothing is read

	mu   sync.Mutex
	read time.Time     // when the list in force was read, here or by another node
	last time.Time     // when another node's word on it came
	age  time.Duration // how old that node's reading was then
	own  bool          // the list in force is not what the other node told last
}

// PollerConfig sets how often a Poller reads.
type PollerConfig struct {
	Interval time.Duration
	Soonest  time.Duration // between two readings, when one is asked for
	Timeout  time.Duration // of a whole reading, however many calls it is
	Trust    time.Duration // how old another node's word may be
	TrustAge time.Duration // how old its reading may be: a long list is read less often
	Only     func() bool   // reads only while this holds; nil for always
	// Patience is how long after its start another node's reading is awaited before an
	// own one.
	Patience time.Duration
}

// PollerOption sets a field of PollerConfig.
type PollerOption func(*PollerConfig)

// WithOnly makes a poller read only while a condition holds.
func WithOnly(condition func() bool) PollerOption {
	return func(c *PollerConfig) { c.Only = condition }
}

// WithPatience has a poller await another node's reading for a while, before it reads
// itself for the first time.
func WithPatience(d time.Duration) PollerOption { return func(c *PollerConfig) { c.Patience = d } }

// Paced is a source that wants longer pauses than usual between two readings.
type Paced interface {
	// Interval returns the least pause; 0 for the usual one.
	Interval() time.Duration
}

// NewPoller returns a poller that hands every list it reads to a taker.
func NewPoller(source Source, taker Taker, opts ...PollerOption) *Poller {
	cfg := PollerConfig{Interval: time.Second, Soonest: 300 * time.Millisecond, Timeout: 3 * time.Second, Trust: 1600 * time.Millisecond, TrustAge: 3200 * time.Millisecond}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Poller{source: source, taker: taker, cfg: cfg, soon: make(chan struct{}, 1), from: uptime.Now().Add(cfg.Patience)}
}

// Soon asks for a reading before the next one is due.
func (p *Poller) Soon() {
	select {
	case p.soon <- struct{}{}:
	default:
	}
}

// Fed takes another node's word in place of an own reading. It reports false for a change
// that can't be made, since the list in force is another one: the whole is needed.
func (p *Poller) Fed(f Feed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Change != nil && p.own {
		return false
	}
	newer := p.noteFed(f)
	switch {
	case f.Change != nil:
		p.taker.TakeChange(*f.Change)
	case f.List != nil && newer:
		p.own = false
		p.taker.TakeList(f.List)
	case f.List != nil:
		p.own = true
	}
	return true
}

// noteFed notes when another node's word came, and reports whether its reading is newer
// than the one in force. The caller holds the mutex.
func (p *Poller) noteFed(f Feed) (newer bool) {
	read := uptime.Now().Add(-f.Age)
	newer = read.After(p.read)
	if newer {
		p.read = read
	}
	p.last, p.age = uptime.Now(), f.Age
	return newer
}

// fresh reports whether another node's reading makes an own one needless.
func (p *Poller) fresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uptime.Since(p.last) < p.cfg.Trust && p.age < p.cfg.TrustAge
}

// due reports whether it is time to read. A node that another one reads for
// has the next reading within an interval, so it does not read itself even if
// one is asked for: on a large site, each reading is many calls.
func (p *Poller) due() bool {
	if p.cfg.Only != nil && !p.cfg.Only() {
		return false
	}
	return !p.fresh() && !uptime.Now().Before(p.from)
}

// Run reads until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	lost := false
	for {
		var err error
		if p.due() {
			err = p.readOnce(ctx)
		}
		if (err != nil) != lost {
			lost = err != nil
			klog.InfoS("List of targets", "lost", lost, "err", err)
		}
		if !pause.For(ctx, p.cfg.Soonest) {
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
	p.read, p.own = began, true
	p.taker.TakeList(list)
	return nil
}

// interval returns the pause between two readings.
func (p *Poller) interval() time.Duration {
	if paced, ok := p.source.(Paced); ok {
		return max(p.cfg.Interval, paced.Interval())
	}
	return p.cfg.Interval
}

// wait waits for the next reading; the interval is drawn so that nodes
// spread.
func (p *Poller) wait(ctx context.Context) {
	rest := p.interval() - p.cfg.Soonest
	t := time.NewTimer(rest*9/10 + rand.N(rest/5+1))
	defer t.Stop()
	select {
	case <-p.soon:
	case <-t.C:
	case <-ctx.Done():
	}
}
