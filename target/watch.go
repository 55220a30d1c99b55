package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// ReportSink receives the results of a LoadPoller.
type ReportSink interface {
	// Report delivers a load report.
	Report(name walnutramp.TargetName, r LoadReport)
	// Unreachable reports that a target did not answer.
	Unreachable(name walnutramp.TargetName)
}

// LoadPoller polls the load of each target, with one goroutine per target. To plain
// services it only connects. A poll of an engine in cooldown delivers no result.
type LoadPoller struct {
	pool     *Pool
	sink     ReportSink
	interval time.Duration

	mu     sync.Mutex
	rng    *rand.Rand
	closed bool
	tasks  map[walnutramp.TargetName]*pollTask
	wait   sync.WaitGroup
}

type pollTask struct {
	target bundle.Target
	cancel context.CancelFunc
}

// NewLoadPoller returns a poller of no targets; seed seeds the jitter of the polls.
func NewLoadPoller(pool *Pool, sink ReportSink, interval time.Duration, seed uint64) *LoadPoller {
	return &LoadPoller{
		pool: pool, sink: sink, interval: interval,
		rng: rand.New(rand.NewPCG(seed, 6)), tasks: map[walnutramp.TargetName]*pollTask{},
	}
}

// Apply sets the targets to poll.
func (p *LoadPoller) Apply(targets []bundle.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	keep := make(map[walnutramp.TargetName]bool, len(targets))
	for _, t := range targets {
		keep[t.Name] = true
		old := p.tasks[t.Name]
		if old != nil && old.target.Address == t.Address && old.target.Kind == t.Kind {
			continue
		}
		if old != nil {
			old.cancel()
		}
		p.start(t)
	}
	for name, task := range p.tasks {
		if !keep[name] {
			task.cancel()
			delete(p.tasks, name)
		}
	}
}

func (p *LoadPoller) start(t bundle.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	p.tasks[t.Name] = &pollTask{target: t, cancel: cancel}
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		p.run(ctx, t)
	}()
}

// Close stops polling and waits for polls in flight.
func (p *LoadPoller) Close() {
	p.mu.Lock()
	p.closed = true
	for _, task := range p.tasks {
		task.cancel()
	}
	p.mu.Unlock()
	p.wait.Wait()
}

func (p *LoadPoller) run(ctx context.Context, t bundle.Target) {
	for ctx.Err() == nil {
		p.poll(ctx, t)
		timer := time.NewTimer(p.jitteredInterval())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// MaxPollsPerSecond bounds the polls of a node per second, over all targets.
const MaxPollsPerSecond = 60

func (p *LoadPoller) jitteredInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := max(p.interval, time.Duration(len(p.tasks))*time.Second/MaxPollsPerSecond)
	return time.Duration(float64(interval) * (0.8 + 0.4*p.rng.Float64()))
}

func (p *LoadPoller) poll(ctx context.Context, t bundle.Target) {
	if t.Kind == bundle.KindService {
		p.pollService(ctx, t)
		return
	}
	r, err := p.pool.Engine(t).Load(ctx)
	if ctx.Err() != nil || IsCooldown(err) {
		return
	}
	if err != nil {
		p.sink.Unreachable(t.Name)
		return
	}
	p.sink.Report(t.Name, r)
}

// pollService only connects, since plain services report no load.
func (p *LoadPoller) pollService(ctx context.Context, t bundle.Target) {
	dialCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	c, err := p.pool.dial(dialCtx, "tcp", t.Address)
	if err == nil {
		c.Close()
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.sink.Unreachable(t.Name)
		return
	}
	p.sink.Report(t.Name, LoadReport{Slots: t.Slots, At: time.Now()})
}
