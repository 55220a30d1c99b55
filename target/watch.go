package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// Sink takes what a watch learns of targets.
type Sink interface {
	// Report takes a load report.
	Report(name walnutramp.TargetName, r LoadReport)
	// Unreachable notes that a target did not answer.
	Unreachable(name walnutramp.TargetName)
}

// Watch asks each target for its load, one task a target.
type Watch struct {
	pool     *Pool
	sink     Sink
	interval time.Duration

	mu     sync.Mutex
	rng    *rand.Rand
	closed bool
	tasks  map[walnutramp.TargetName]*watchTask
	wait   sync.WaitGroup
}

type watchTask struct {
	target bundle.Target
	cancel context.CancelFunc
}

// NewWatch returns a watch of no targets; seed draws the spread of questions.
func NewWatch(pool *Pool, sink Sink, interval time.Duration, seed uint64) *Watch {
	return &Watch{
		pool: pool, sink: sink, interval: interval,
		rng: rand.New(rand.NewPCG(seed, 6)), tasks: map[walnutramp.TargetName]*watchTask{},
	}
}

// Apply makes the watch follow exactly these targets.
func (w *Watch) Apply(targets []bundle.Target) {
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

func (w *Watch) start(t bundle.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	w.tasks[t.Name] = &watchTask{target: t, cancel: cancel}
	w.wait.Add(1)
	go func() {
		defer w.wait.Done()
		w.run(ctx, t)
	}()
}

// Close ends every task.
func (w *Watch) Close() {
	w.mu.Lock()
	w.closed = true
	for _, task := range w.tasks {
		task.cancel()
	}
	w.mu.Unlock()
	w.wait.Wait()
}

func (w *Watch) run(ctx context.Context, t bundle.Target) {
	for ctx.Err() == nil {
		w.check(ctx, t)
		timer := time.NewTimer(w.jittered())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// AsksPerSecond bounds how many load reports a node asks for, all targets
// together.
const AsksPerSecond = 60

func (w *Watch) jittered() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	interval := max(w.interval, time.Duration(len(w.tasks))*time.Second/AsksPerSecond)
	return time.Duration(float64(interval) * (0.8 + 0.4*w.rng.Float64()))
}

func (w *Watch) check(ctx context.Context, t bundle.Target) {
	if t.Kind == bundle.KindService {
		w.checkService(ctx, t)
		return
	}
	r, err := w.pool.Engine(t).Load(ctx)
	if ctx.Err() != nil || Rests(err) {
		return
	}
	if err != nil {
		w.sink.Unreachable(t.Name)
		return
	}
	w.sink.Report(t.Name, r)
}

// checkService only connects: plain services promise no load report.
func (w *Watch) checkService(ctx context.Context, t bundle.Target) {
	dialCtx, cancel := context.WithTimeout(ctx, orderTimeout)
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
