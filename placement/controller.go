package placement

import (
	"context"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
	"k8s.io/klog/v2"
)

// Leader tells whether this node may give orders.
type Leader interface {
	// Confirm reports whether a majority confirms, after it was asked, that
	// this node leads.
	Confirm(ctx context.Context) bool
	// Term returns the term in which this node leads, or 0.
	Term() uint64
}

// Targets opens the way to give a target orders.
type Targets interface {
	// Orders returns the target's order interface.
	Orders(t bundle.Target) target.Orders
}

// Times of a controller.
const (
	// OrderLife bounds how long an order may be on its way.
	OrderLife = 1 * time.Second
	readTime  = 1 * time.Second
)

// Config sets how a Controller works.
type Config struct {
	Interval time.Duration // between two rounds
	// Inherit is how long a new leader waits before it orders a target that
	// does not check fences: until no older leader's order can arrive.
	Inherit time.Duration
}

// Option sets a field of Config.
type Option func(*Config)

// WithInterval sets the time between two rounds.
func WithInterval(d time.Duration) Option { return func(c *Config) { c.Interval = d } }

// WithInherit sets how long a new leader waits for targets that do not check.
func WithInherit(d time.Duration) Option { return func(c *Config) { c.Inherit = d } }

// Controller gives orders while its node leads the control group.
type Controller struct {
	cfg     Config
	leader  Leader
	targets Targets
	bundle  func() *bundle.Bundle

	term     uint64    // in which orders were last given
	since    time.Time // when that term was first seen here
	sequence uint64

	cancel context.CancelFunc
	done   chan struct{}
}

// NewController returns a controller that is not started.
func NewController(l Leader, t Targets, b func() *bundle.Bundle, opts ...Option) *Controller {
	cfg := Config{Interval: 500 * time.Millisecond, Inherit: 4 * time.Second}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Controller{cfg: cfg, leader: l, targets: t, bundle: b, done: make(chan struct{})}
}

// Start begins giving orders; Close ends it.
func (c *Controller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() {
		defer close(c.done)
		ticker := time.NewTicker(c.cfg.Interval)
		defer ticker.Stop()
		for {
			c.round(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// Close ends giving orders.
func (c *Controller) Close() {
	if c.cancel != nil {
		c.cancel()
		<-c.done
	}
}

// round reads what targets hold and gives the orders that the plan says.
func (c *Controller) round(ctx context.Context) {
	term := c.leader.Term()
	b := c.bundle()
	if term == 0 || !b.Placement.Orders {
		return
	}
	if term != c.term {
		c.term, c.since = term, time.Now()
	}
	for _, step := range Plan(b, c.read(ctx, b)) {
		if !step.Target.ChecksOrders && time.Since(c.since) < c.cfg.Inherit {
			continue
		}
		if !c.give(ctx, term, step) {
			return
		}
	}
}

// read asks every engine what it holds.
func (c *Controller) read(ctx context.Context, b *bundle.Bundle) map[walnutramp.TargetName]target.Placed {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	var mu sync.Mutex
	placed := map[walnutramp.TargetName]target.Placed{}
	var wg sync.WaitGroup
	for _, t := range b.Targets {
		if t.Kind != bundle.KindEngine {
			continue
		}
		wg.Go(func() {
			p, err := c.targets.Orders(t).Placed(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			placed[t.Name] = p
		})
	}
	wg.Wait()
	return placed
}

// give sends one order, if a majority still confirms the leader; false ends
// the round. An order whose answer is lost is not sent again as it is: the
// next round reads what came of it.
func (c *Controller) give(ctx context.Context, term uint64, s Step) bool {
	confirmCtx, cancel := context.WithTimeout(ctx, OrderLife)
	confirmed := c.leader.Confirm(confirmCtx) && c.leader.Term() == term
	cancel()
	if !confirmed {
		return false
	}
	c.sequence++
	order := target.Order{Action: s.Action, Artifact: s.Artifact, Fence: target.Fence{Epoch: term, Sequence: c.sequence}}
	orderCtx, cancel := context.WithTimeout(ctx, OrderLife)
	defer cancel()
	if err := c.targets.Orders(s.Target).Order(orderCtx, order); err != nil {
		klog.V(1).InfoS("Order not answered", "target", s.Target.Name, "action", s.Action, "artifact", s.Artifact, "err", err)
	}
	return ctx.Err() == nil
}
