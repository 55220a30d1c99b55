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

// Leader tells whether this node leads the control group.
type Leader interface {
	// Confirm reports whether a majority has confirmed, since the call, that this node
	// leads.
	Confirm(ctx context.Context) bool
	// Term returns the term in which this node leads, or 0.
	Term() uint64
}

// Targets gives access to targets.
type Targets interface {
	// Orders returns the target's order interface.
	Orders(t bundle.Target) target.Orders
}

const (
	// OrderTimeout is the timeout of one order.
	OrderTimeout = 1 * time.Second
	readTimeout  = 1 * time.Second
)

// Config configures a Controller.
type Config struct {
	Interval time.Duration
	// TakeoverDelay is how long a new leader waits before it sends orders to a target that
	// does not check fencing tokens: until orders of an older leader can no longer
	// arrive.
	TakeoverDelay time.Duration
}

// Option sets a field of Config.
type Option func(*Config)

// WithInterval sets the interval between reconciliation rounds.
func WithInterval(d time.Duration) Option { return func(c *Config) { c.Interval = d } }

// WithTakeoverDelay sets how long a new leader waits before it sends orders to targets that
// do not check fencing tokens.
func WithTakeoverDelay(d time.Duration) Option { return func(c *Config) { c.TakeoverDelay = d } }

// Controller sends orders while its node leads the control group.
type Controller struct {
	cfg     Config
	leader  Leader
	targets Targets
	bundle  func() *bundle.Bundle

	term       uint64    // of the latest round
	termSeenAt time.Time // when term was first seen
	sequence   uint64

	cancel context.CancelFunc
	done   chan struct{}
}

// NewController returns a Controller that is not started.
func NewController(l Leader, t Targets, b func() *bundle.Bundle, opts ...Option) *Controller {
	cfg := Config{Interval: 500 * time.Millisecond, TakeoverDelay: 4 * time.Second}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Controller{cfg: cfg, leader: l, targets: t, bundle: b, done: make(chan struct{})}
}

// Start starts sending orders until Close.
func (c *Controller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() {
		defer close(c.done)
		ticker := time.NewTicker(c.cfg.Interval)
		defer ticker.Stop()
		for {
			c.reconcile(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// Close stops the controller and waits for it.
func (c *Controller) Close() {
	if c.cancel != nil {
		c.cancel()
		<-c.done
	}
}

// reconcile reads what targets hold and sends the planned orders.
func (c *Controller) reconcile(ctx context.Context) {
	term := c.leader.Term()
	b := c.bundle()
	if term == 0 || !b.Placement.Orders {
		return
	}
	if term != c.term {
		c.term, c.termSeenAt = term, time.Now()
	}
	for _, step := range Plan(b, c.readPlaced(ctx, b)) {
		if !step.Target.ChecksOrders && time.Since(c.termSeenAt) < c.cfg.TakeoverDelay {
			continue
		}
		if !c.sendOrder(ctx, term, step) {
			return
		}
	}
}

// readPlaced queries what every engine holds.
func (c *Controller) readPlaced(ctx context.Context, b *bundle.Bundle) map[walnutramp.TargetName]target.Placed {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
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

// sendOrder sends one order if a majority still confirms this leader; false ends the round.
// An order without an answer is not resent: the next round reads its effect.
func (c *Controller) sendOrder(ctx context.Context, term uint64, s Step) bool {
	confirmCtx, cancel := context.WithTimeout(ctx, OrderTimeout)
	confirmed := c.leader.Confirm(confirmCtx) && c.leader.Term() == term
	cancel()
	if !confirmed {
		return false
	}
	c.sequence++
	order := target.Order{Action: s.Action, Artifact: s.Artifact, Fence: target.Fence{Epoch: term, Sequence: c.sequence}}
	orderCtx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	if err := c.targets.Orders(s.Target).Order(orderCtx, order); err != nil {
		klog.V(1).InfoS("Order not answered", "target", s.Target.Name, "action", s.Action, "artifact", s.Artifact, "err", err)
	}
	return ctx.Err() == nil
}
