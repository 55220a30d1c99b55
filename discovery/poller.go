package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// Source reads the whole list of targets once.
type Source interface {
	// Targets returns every target of the site.
	Targets(ctx context.Context) ([]Target, error)
}

// Poller reads a source again and again.
type Poller struct {
	source Source
	take   func([]Target)
	cfg    PollerConfig
	soon   chan struct{}
}

// PollerConfig sets how often a Poller reads.
type PollerConfig struct {
	Interval time.Duration
	Soonest  time.Duration // between two readings, when one is asked for
	Timeout  time.Duration
}

// PollerOption sets a field of PollerConfig.
type PollerOption func(*PollerConfig)

// WithPollInterval sets the time between two readings.
func WithPollInterval(d time.Duration) PollerOption {
	return func(c *PollerConfig) { c.Interval = d }
}

// NewPoller returns a poller that hands every list it reads to take.
func NewPoller(source Source, take func([]Target), opts ...PollerOption) *Poller {
	cfg := PollerConfig{Interval: time.Second, Soonest: 300 * time.Millisecond, Timeout: 700 * time.Millisecond}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Poller{source: source, take: take, cfg: cfg, soon: make(chan struct{}, 1)}
}

// Soon asks for a reading before the next one is due.
func (p *Poller) Soon() {
	select {
	case p.soon <- struct{}{}:
	default:
	}
}

// Run reads until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	lost := false
	for {
		err := p.read(ctx)
		if (err != nil) != lost {
			lost = err != nil
			klog.InfoS("List of targets", "lost", lost, "err", err)
		}
		if !pause.For(ctx, p.cfg.Soonest) || !p.wait(ctx) {
			return
		}
	}
}

func (p *Poller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	list, err := p.source.Targets(ctx)
	if err == nil {
		p.take(list)
	}
	return err
}

// wait waits for the next reading; the interval is drawn so that nodes spread.
func (p *Poller) wait(ctx context.Context) bool {
	rest := p.cfg.Interval - p.cfg.Soonest
	t := time.NewTimer(rest*9/10 + rand.N(rest/5+1))
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.soon:
	case <-ctx.Done():
		return false
	}
	return true
}
