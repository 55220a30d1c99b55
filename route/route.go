// Package route decides where each request runs and whether it runs at all:
// admission, fair queues, limits, prediction of the time to first token,
// choice among targets and their health. It is fed with lagged load reports
// and corrects them by what this node has sent since.
package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/target"
)

// Config sets how a Router decides.
type Config struct {
	Node         walnutramp.NodeName
	DataHall     walnutramp.DataHall
	PerModel     int           // targets of one model that the node works with
	QueueLimit   int           // requests waiting per model before shedding
	QueueTime    time.Duration // longest wait before a request is given up
	HallPenalty  time.Duration // added to the predicted wait in another data hall
	RetryRatio   float64       // sends again allowed per first send
	RetryFloor   float64       // sends again always allowed, a second
	ResumeRoom   int           // resumed prefills under way per target from this node
	Choices      int           // random candidates compared
	Seed         uint64
	InForce      func() bool                       // whether the node may take new work; nil means always
	RestLeft     func(bundle.Target) time.Duration // for how long a target wants nothing from this node; nil for none
	Policy       Policy
	SilenceFloor time.Duration
	SilenceCap   time.Duration
}

// Option sets a field of Config.
type Option func(*Config)

// WithNode names the node and the data hall it stands in.
func WithNode(n walnutramp.NodeName, h walnutramp.DataHall) Option {
	return func(c *Config) { c.Node, c.DataHall = n, h }
}

// PerModel is how many targets of one model a node works with.
const PerModel = 48

// WithQueue bounds the wait: requests per model, and time per request.
func WithQueue(limit int, wait time.Duration) Option {
	return func(c *Config) { c.QueueLimit, c.QueueTime = limit, wait }
}

// WithSeed makes the random choices repeatable.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithInForce gives the test for whether new work may be taken.
func WithInForce(f func() bool) Option { return func(c *Config) { c.InForce = f } }

// WithRestLeft tells for how long a target wants nothing from this node.
func WithRestLeft(f func(bundle.Target) time.Duration) Option {
	return func(c *Config) { c.RestLeft = f }
}

// WithChoices sets how many random candidates are compared.
func WithChoices(n int) Option { return func(c *Config) { c.Choices = n } }

func defaultConfig() Config {
	return Config{
		PerModel:     PerModel,
		Policy:       Predicted,
		QueueLimit:   256,
		QueueTime:    20 * time.Second,
		HallPenalty:  2 * time.Millisecond,
		RetryRatio:   0.1,
		RetryFloor:   10,
		ResumeRoom:   4,
		Choices:      3,
		SilenceFloor: 300 * time.Millisecond,
		SilenceCap:   1500 * time.Millisecond,
	}
}

// Request is what a place at a target is asked for.
type Request struct {
	Account      walnutramp.ClientAccount
	Priority     int
	Weight       int
	Model        walnutramp.ModelName
	PromptTokens int
	PromptKey    uint64 // hash of the prompt's beginning; equal keys share a cached prefix
	Resume       bool
	Avoid        []walnutramp.TargetName
}

// Router chooses targets for one node.
type Router struct {
	cfg    Config
	budget *retryBudget

	mu      sync.Mutex
	rng     *rand.Rand
	nodes   int // that live, this one included
	turn    int // of round robin
	targets map[walnutramp.TargetName]*state
	byModel map[walnutramp.ModelName][]*state
	lanes   map[walnutramp.ModelName]*lane
	usage   map[walnutramp.ClientAccount]*usage
	leaving map[walnutramp.TargetName]bool // the platform's word
	bundle  *bundle.Bundle
}

// New returns a Router that knows no targets yet.
func New(opts ...Option) *Router {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Router{
		cfg:     cfg,
		budget:  newRetryBudget(cfg.RetryRatio, cfg.RetryFloor),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		targets: map[walnutramp.TargetName]*state{},
		byModel: map[walnutramp.ModelName][]*state{},
		lanes:   map[walnutramp.ModelName]*lane{},
		usage:   map[walnutramp.ClientAccount]*usage{},
		leaving: map[walnutramp.TargetName]bool{},
		bundle:  &bundle.Bundle{},
	}
}

// Apply puts a bundle in force; what is known of targets that stay is kept.
func (r *Router) Apply(b *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bundle = b
	next := make(map[walnutramp.TargetName]*state, len(b.Targets))
	r.byModel = map[walnutramp.ModelName][]*state{}
	used := map[walnutramp.TargetName]bool{}
	for _, t := range Subset(r.cfg.Node, r.cfg.DataHall, b.Targets, r.cfg.PerModel) {
		used[t.Name] = true
	}
	for _, t := range b.Targets {
		s := r.targets[t.Name]
		if s == nil || s.spec.Address != t.Address {
			s = newState(t)
		}
		s.spec = t
		s.leaving = b.IsLeaving(t.Name)
		next[t.Name] = s
		if !used[t.Name] {
			continue
		}
		for _, m := range t.Models {
			r.byModel[m] = append(r.byModel[m], s)
		}
	}
	for _, svc := range b.Services {
		for _, name := range svc.Targets {
			m := bundle.ServiceModel(svc.Name)
			r.byModel[m] = append(r.byModel[m], next[name])
		}
	}
	r.targets = next
	r.dispatchAll()
}

// SetLeaving takes the platform's list of leaving targets.
func (r *Router) SetLeaving(names []walnutramp.TargetName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = make(map[walnutramp.TargetName]bool, len(names))
	for _, n := range names {
		r.leaving[n] = true
	}
}

// SetNodes says how many nodes live, this one included.
func (r *Router) SetNodes(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = n
}

// Report takes a target's load report.
func (r *Router) Report(name walnutramp.TargetName, report target.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.targets[name]
	if s == nil {
		return
	}
	r.take(s, report)
	r.dispatchAll()
}

// Unreachable notes that a target did not answer for its load.
func (r *Router) Unreachable(name walnutramp.TargetName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.targets[name]; s != nil {
		s.fail(time.Now())
	}
}

// Pick waits for a place at a target. The error is a *walnutramp.Error whose
// outcome is not-run.
func (r *Router) Pick(ctx context.Context, req Request) (*Grant, error) {
	w, grant, err := r.enter(req)
	if err != nil || grant != nil {
		return grant, err
	}
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	select {
	case res := <-w.result:
		return res.grant, res.err
	case <-timer.C:
		return r.leave(w, walnutramp.NewError(walnutramp.CodeQueueDeadline, walnutramp.NotRun,
			"no place became free in %v", w.patience).WithRetryAfter(retryAfterQueue))
	case <-ctx.Done():
		return r.leave(w, walnutramp.NewError(walnutramp.CodeQueueDeadline, walnutramp.NotRun, "the caller left"))
	}
}

// How long callers are told to stay away.
const (
	retryAfterQueue    = 2 * time.Second
	retryAfterNoTarget = 2 * time.Second
	retryAfterLimit    = 1 * time.Second
)

func (r *Router) enter(req Request) (*waiter, *Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !req.Resume && r.cfg.InForce != nil && !r.cfg.InForce() {
		return nil, nil, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun,
			"this node can't confirm its bundle now").WithRetryAfter(retryAfterNoTarget)
	}
	if len(r.live(req.Model, time.Now())) == 0 {
		return nil, nil, r.noTarget(req.Model)
	}
	if err := r.admit(req); err != nil {
		return nil, nil, err
	}
	l := r.lane(req.Model)
	if l.peek(req.Resume) == nil {
		if grant := r.grant(req); grant != nil {
			return nil, grant, nil
		}
	}
	w := &waiter{req: req, result: make(chan pickResult, 1), patience: r.patience(req)}
	if err := r.shed(l, w); err != nil {
		return nil, nil, err
	}
	l.push(w)
	r.dispatch(l, req.Model)
	return w, nil, nil
}

// patience is how long a request may wait.
func (r *Router) patience(req Request) time.Duration {
	if r.bundle.Admission.Patience > 0 && !req.Resume {
		return r.bundle.Admission.Patience
	}
	return r.cfg.QueueTime
}

// shed makes room for w, or refuses w: where it would have to wait longer
// than it may, it is told so now.
func (r *Router) shed(l *lane, w *waiter) error {
	loser := l.shedFor(w.req, r.cfg.QueueLimit)
	if loser == nil && !w.req.Resume && l.waitOf(w.req.Priority) > w.patience {
		loser = errShedSelf
	}
	if loser == nil {
		return nil
	}
	overload := walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun,
		"%d requests wait for model %s", l.size, w.req.Model).WithRetryAfter(l.drainTime())
	if loser == errShedSelf {
		r.release(w.req.Account)
		return overload
	}
	r.release(loser.req.Account)
	loser.result <- pickResult{err: overload}
	return nil
}

// leave takes w out of its queue, unless a result came in meanwhile.
func (r *Router) leave(w *waiter, err *walnutramp.Error) (*Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case res := <-w.result:
		if res.grant != nil {
			r.finish(res.grant, Unused)
		}
		if res.err != nil {
			return nil, res.err
		}
		return nil, err
	default:
	}
	r.lane(w.req.Model).remove(w)
	r.release(w.req.Account)
	return nil, err
}

func (r *Router) lane(m walnutramp.ModelName) *lane {
	l := r.lanes[m]
	if l == nil {
		l = newLane()
		r.lanes[m] = l
	}
	return l
}

func (r *Router) dispatchAll() {
	for m, l := range r.lanes {
		r.dispatch(l, m)
	}
}

// dispatch grants places to waiters, best first, while there is room: to
// resumes in theirs, and whether or not any of them waits, to new requests in
// theirs. When the last target is gone every waiter is told at once.
func (r *Router) dispatch(l *lane, m walnutramp.ModelName) {
	if l.empty() {
		return
	}
	if len(r.live(m, time.Now())) == 0 {
		r.failLane(l, m)
		return
	}
	for _, resumes := range []bool{true, false} {
		for w := l.peek(resumes); w != nil; w = l.peek(resumes) {
			grant := r.grant(w.req)
			if grant == nil {
				break
			}
			l.remove(w)
			l.served(time.Now())
			w.result <- pickResult{grant: grant}
		}
	}
}

func (r *Router) failLane(l *lane, m walnutramp.ModelName) {
	err := r.noTarget(m)
	for _, resumes := range []bool{true, false} {
		for w := l.peek(resumes); w != nil; w = l.peek(resumes) {
			l.remove(w)
			r.release(w.req.Account)
			w.result <- pickResult{err: err}
		}
	}
}

// noTarget is the answer where no target of a model takes requests now.
func (r *Router) noTarget(m walnutramp.ModelName) *walnutramp.Error {
	if left := r.restOfModel(m, time.Now()); left > 0 {
		return walnutramp.NewError(walnutramp.CodeTargetsRest, walnutramp.NotRun,
			"the targets of model %s asked for rest", m).WithRetryAfter(pause.Behind(left, r.rng.Float64()))
	}
	return walnutramp.NewError(walnutramp.CodeNoTarget, walnutramp.NotRun,
		"no live target serves model %s", m).WithRetryAfter(retryAfterNoTarget)
}

// SpendRetry reports whether something may be sent again now.
func (r *Router) SpendRetry() bool { return r.budget.spend(time.Now()) }
