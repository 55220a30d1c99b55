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

// LoadPoller polls the load of each target, with one goroutine per target. To plain services
// it only connects. A poll of an engine in cooldown delivers no result.
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
func (w *LoadPoller) Apply(targets []bundle.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	keep := make(map[walnutramp.TargetName]bool, len(targets))
	for _, t := range targets {
		keep[t.Name] = true
		old := w.tasks[t.Name]
		if old != nil && old.target.Address == t.Address && old.target.Kind == t.Kind {
			continue
		}
		if old != nil {
			old.cancel()
		}
		w.start(t)
	}
	for name, task := range w.tasks {
		if !keep[name] {
			task.cancel()
			delete(w.tasks, name)
		}
	}
}

func (w *LoadPoller) start(t bundle.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	w.tasks[t.Name] = &pollTask{target: t, cancel: cancel}
	w.wait.Add(1)
	go func() {
		defer w.wait.Done()
		w.run(ctx, t)
	}()
}

// Close stops polling and waits for polls in flight.
func (w *LoadPoller) Close() {
	w.mu.Lock()
	w.closed = true
	for _, task := range w.tasks {
		task.cancel()
	}
	w.mu.Unlock()
	w.wait.Wait()
}

func (w *LoadPoller) run(ctx context.Context, t bundle.Target) {
	for ctx.Err() == nil {
		w.poll(ctx, t)
		timer := time.NewTimer(w.jitteredInterval())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// MaxPollsPerSecond bounds the polls of a node per second, over all targets.
const MaxPollsPerSecond = 60

func (w *LoadPoller) jitteredInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	interval := max(w.interval, time.Duration(len(w.tasks))*time.Second/MaxPollsPerSecond)
	return time.Duration(float64(interval) * (0.8 + 0.4*w.rng.Float64()))
}

func (w *LoadPoller) poll(ctx context.Context, t bundle.Target) {
	if t.Kind == bundle.KindService {
		w.pollService(ctx, t)
		return
	}
	r, err := w.pool.Engine(t).Load(ctx)
	if ctx.Err() != nil || IsCooldown(err) {
		return
	}
	if err != nil {
		w.sink.Unreachable(t.Name)
		return
	}
	w.sink.Report(t.Name, r)
}

// pollService only connects, since plain services report no load.
func (w *LoadPoller) pollService(ctx context.Context, t bundle.Target) {
	dialCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	c, err := w.pool.shared.DialContext(dialCtx, "tcp", t.Address)
	if err == nil {
		c.Close()
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.sink.Unreachable(t.Name)
		return
	}
	w.sink.Report(t.Name, LoadReport{Slots: t.Slots, At: time.Now()})
}
