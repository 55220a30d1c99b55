// Package route does admission control and target selection: fair queues, account
// limits, prediction of the time to first token, and health tracking. Load reports lag,
// so they are corrected by what this node has sent since.
package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/target"
)

// Config configures a Router.
type Config struct {
	Node         walnutramp.NodeName
	DataHall     walnutramp.DataHall
	PerModel     int           // targets per model that the node uses
	QueueLimit   int           // queued requests per model before shedding
	MaxQueueTime time.Duration // longest time in the queue
	HallPenalty  time.Duration // added to the predicted wait for another data hall
	RetryRatio   float64       // retries allowed per first attempt
	RetryFloor   float64       // retries per second always allowed
	MaxResumes   int           // concurrent resumed prefills per target from this node
	Candidates   int           // random candidates compared
	Seed         uint64
	InForce      func() bool                       // whether the node may accept new work; nil for always
	CooldownLeft func(bundle.Target) time.Duration // remaining cooldown that a target requested from this node; nil for none
	Policy       Policy
	StallFloor   time.Duration
	StallCap     time.Duration
}

// Option sets a field of Config.
type Option func(*Config)

// WithNode sets the node's name and data hall.
func WithNode(n walnutramp.NodeName, h walnutramp.DataHall) Option {
	return func(c *Config) { c.Node, c.DataHall = n, h }
}

// PerModel is the default number of targets per model that a node uses.
const PerModel = 48

// WithQueue sets the queue limit per model and the longest time in the queue.
func WithQueue(limit int, wait time.Duration) Option {
	return func(c *Config) { c.QueueLimit, c.MaxQueueTime = limit, wait }
}

// WithSeed makes selection reproducible.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithInForce sets the check for whether new work may be accepted.
func WithInForce(f func() bool) Option { return func(c *Config) { c.InForce = f } }

// WithCooldownLeft sets the function that returns a target's remaining cooldown.
func WithCooldownLeft(f func(bundle.Target) time.Duration) Option {
	return func(c *Config) { c.CooldownLeft = f }
}

// WithChoices sets how many random candidates are compared.
func WithChoices(n int) Option { return func(c *Config) { c.Candidates = n } }

func defaultConfig() Config {
	return Config{
		PerModel:     PerModel,
		Policy:       Predicted,
		QueueLimit:   256,
		MaxQueueTime: 20 * time.Second,
		HallPenalty:  2 * time.Millisecond,
		RetryRatio:   0.1,
		RetryFloor:   10,
		MaxResumes:   4,
		Candidates:   3,
		StallFloor:   300 * time.Millisecond,
		StallCap:     1500 * time.Millisecond,
	}
}

// Request describes a request for a slot at a target. A target in Avoid is not used unless
// it is the only live one of the model; policies other than Predicted ignore Avoid.
type Request struct {
	Account      walnutramp.ClientAccount
	Priority     int
	Weight       int
	Model        walnutramp.ModelName
	PromptTokens int
	PromptKey    uint64 // hash of the prompt's prefix; equal keys share a cached prefix
	Resume       bool
	Bound        bool   // to engines of the version Software: the caller has output of it
	Software     string // see Bound; empty for engines that name none
	Avoid        []walnutramp.TargetName
}

// Router selects targets for one node.
type Router struct {
	cfg    Config
	budget *retryBudget

	mu            sync.Mutex
	rng           *rand.Rand
	nodes         int // live, this one included
	roundRobinSeq int
	targets       map[walnutramp.TargetName]*targetState
	byModel       map[walnutramp.ModelName][]*targetState
	queues        map[walnutramp.ModelName]*modelQueue
	usage         map[walnutramp.ClientAccount]*usage
	leaving       map[walnutramp.TargetName]bool // as listed by the platform
	bundle        *bundle.Bundle
}

// New returns a Router without targets.
func New(opts ...Option) *Router {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Router{
		cfg:     cfg,
		budget:  newRetryBudget(cfg.RetryRatio, cfg.RetryFloor),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		targets: map[walnutramp.TargetName]*targetState{},
		byModel: map[walnutramp.ModelName][]*targetState{},
		queues:  map[walnutramp.ModelName]*modelQueue{},
		usage:   map[walnutramp.ClientAccount]*usage{},
		leaving: map[walnutramp.TargetName]bool{},
		bundle:  &bundle.Bundle{},
	}
}

// Apply puts a bundle in force. It keeps the state of targets that remain at the same
// address.
func (r *Router) Apply(b *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bundle = b
	next := make(map[walnutramp.TargetName]*targetState, len(b.Targets))
	r.byModel = map[walnutramp.ModelName][]*targetState{}
	used := map[walnutramp.TargetName]bool{}
	for _, t := range Subset(r.cfg.Node, r.cfg.DataHall, b.Targets, r.cfg.PerModel) {
		used[t.Name] = true
	}
	for _, t := range b.Targets {
		s := r.targets[t.Name]
		if s == nil || s.spec.Address != t.Address {
			s = newTargetState(t)
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

// SetLeaving sets the targets that the platform lists as leaving.
func (r *Router) SetLeaving(names []walnutramp.TargetName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = make(map[walnutramp.TargetName]bool, len(names))
	for _, n := range names {
		r.leaving[n] = true
	}
}

// SetNodes sets the number of live nodes, this one included.
func (r *Router) SetNodes(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = n
}

// Report records a target's load report.
func (r *Router) Report(name walnutramp.TargetName, report target.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.targets[name]
	if s == nil {
		return
	}
	r.applyReport(s, report)
	r.dispatchAll()
}

// Unreachable records that a target did not answer a load query.
func (r *Router) Unreachable(name walnutramp.TargetName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.targets[name]; s != nil {
		s.recordFailure(time.Now())
	}
}

// Pick waits for a slot at a target. The error is a *walnutramp.Error whose outcome is
// not-run.
func (r *Router) Pick(ctx context.Context, req Request) (*Grant, error) {
	w, grant, err := r.admitOrQueue(req)
	if err != nil || grant != nil {
		return grant, err
	}
	timer := time.NewTimer(w.maxWait)
	defer timer.Stop()
	select {
	case res := <-w.result:
		return res.grant, res.err
	case <-timer.C:
		return r.dequeue(w, walnutramp.NewError(walnutramp.CodeQueueDeadline, walnutramp.NotRun,
			"no target slot became free within %v", w.maxWait).WithRetryAfter(retryAfterQueue))
	case <-ctx.Done():
		return r.dequeue(w, walnutramp.NewError(walnutramp.CodeQueueDeadline, walnutramp.NotRun, "request canceled while queued"))
	}
}

// Retry-After values.
const (
	retryAfterQueue    = 2 * time.Second
	retryAfterNoTarget = 2 * time.Second
	retryAfterLimit    = 1 * time.Second
)

func (r *Router) admitOrQueue(req Request) (*waiter, *Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !req.Resume && r.cfg.InForce != nil && !r.cfg.InForce() {
		return nil, nil, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun,
			"this node can't confirm its bundle now").WithRetryAfter(retryAfterNoTarget)
	}
	if err := r.unavailable(req); err != nil {
		return nil, nil, err
	}
	if err := r.admit(req); err != nil {
		return nil, nil, err
	}
	q := r.queue(req.Model)
	if q.peek(req.Resume) == nil {
		if grant := r.grant(req); grant != nil {
			return nil, grant, nil
		}
	}
	w := &waiter{req: req, result: make(chan grantResult, 1), maxWait: r.maxWait(req)}
	if err := r.shed(q, w); err != nil {
		return nil, nil, err
	}
	q.push(w)
	r.dispatch(q, req.Model)
	return w, nil, nil
}

// softwareWait bounds the wait for a target of a software version of which none takes requests
// now: its caller sees no output meanwhile.
const softwareWait = 2 * time.Second

// maxWait returns the longest time that a request may be queued.
func (r *Router) maxWait(req Request) time.Duration {
	if len(r.usable(req)) == 0 {
		return softwareWait
	}
	if r.bundle.Admission.Patience > 0 && !req.Resume {
		return r.bundle.Admission.Patience
	}
	return r.cfg.MaxQueueTime
}

// shed makes room in the queue for w. It rejects w if the queue is full of requests of the
// same or higher priority, or if the predicted wait of w exceeds its maxWait.
func (r *Router) shed(q *modelQueue, w *waiter) error {
	victim := q.shedCandidate(w.req, r.cfg.QueueLimit)
	if victim == nil && !w.req.Resume && q.predictedWait(w.req.Priority) > w.maxWait {
		victim = shedSelf
	}
	if victim == nil {
		return nil
	}
	overload := walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun,
		"%d requests are queued for model %s", q.size, w.req.Model).WithRetryAfter(q.drainTime())
	if victim == shedSelf {
		r.release(w.req.Account)
		return overload
	}
	r.release(victim.req.Account)
	victim.result <- grantResult{err: overload}
	return nil
}

// dequeue removes w from its queue, unless a result arrived meanwhile.
func (r *Router) dequeue(w *waiter, err *walnutramp.Error) (*Grant, error) {
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
	r.queue(w.req.Model).remove(w)
	r.release(w.req.Account)
	return nil, err
}

func (r *Router) queue(m walnutramp.ModelName) *modelQueue {
	q := r.queues[m]
	if q == nil {
		q = newModelQueue()
		r.queues[m] = q
	}
	return q
}

func (r *Router) dispatchAll() {
	for m, q := range r.queues {
		r.dispatch(q, m)
	}
}

// dispatch grants slots to waiters in order while there is capacity. Resumes and new
// requests have separate capacity, so neither blocks the other. If no target is live,
// all waiters fail.
func (r *Router) dispatch(q *modelQueue, m walnutramp.ModelName) {
	if q.empty() {
		return
	}
	if len(r.live(m, time.Now())) == 0 {
		r.failQueue(q, m)
		return
	}
	r.dispatchResumes(q)
	for w := q.peek(false); w != nil; w = q.peek(false) {
		if !r.dispatchWaiter(q, w) {
			break
		}
	}
}

// dispatchResumes grants slots to resumes in order. One that waits for a software version
// does not hold up the others.
func (r *Router) dispatchResumes(q *modelQueue) {
	full := map[string]bool{} // software versions without capacity
	for _, w := range slices.Clone(q.resumes) {
		if w.req.Bound && full[w.req.Software] {
			continue
		}
		if err := r.unavailable(w.req); err != nil {
			r.failWaiter(q, w, err)
			continue
		}
		if r.dispatchWaiter(q, w) {
			continue
		}
		if !w.req.Bound {
			return
		}
		full[w.req.Software] = true
	}
}

// dispatchWaiter grants a slot to a waiter if a target has capacity.
func (r *Router) dispatchWaiter(q *modelQueue, w *waiter) bool {
	grant := r.grant(w.req)
	if grant == nil {
		return false
	}
	q.remove(w)
	q.recordGrant(time.Now())
	w.result <- grantResult{grant: grant}
	return true
}

func (r *Router) failQueue(q *modelQueue, m walnutramp.ModelName) {
	err := r.noTargetError(m)
	for _, resumes := range []bool{true, false} {
		for w := q.peek(resumes); w != nil; w = q.peek(resumes) {
			r.failWaiter(q, w, err)
		}
	}
}

func (r *Router) failWaiter(q *modelQueue, w *waiter, err error) {
	q.remove(w)
	r.release(w.req.Account)
	w.result <- grantResult{err: err}
}

// unavailable returns the error for a request that no target can serve, also after a wait in
// the queue; nil if one may.
func (r *Router) unavailable(req Request) error {
	switch {
	case len(r.usable(req)) > 0:
		return nil
	case len(r.live(req.Model, time.Now())) == 0:
		return r.noTargetError(req.Model)
	case slices.ContainsFunc(r.byModel[req.Model], r.mayReturn(req)):
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeVersionGone, walnutramp.NotRun,
		"no target of software version %q serves model %s any more", req.Software, req.Model)
}

// mayReturn returns a filter for the targets that may soon take a request: those of its
// software version that are only in backoff or cooldown, and those not heard from yet.
func (r *Router) mayReturn(req Request) func(*targetState) bool {
	return func(s *targetState) bool {
		return (req.allows(s) || !s.reported) && !s.leaving && !s.draining && !r.leaving[s.spec.Name]
	}
}

// noTargetError returns the error for a model without available targets.
func (r *Router) noTargetError(m walnutramp.ModelName) *walnutramp.Error {
	if remaining := r.modelCooldown(m, time.Now()); remaining > 0 {
		return walnutramp.NewError(walnutramp.CodeTargetsCooldown, walnutramp.NotRun,
			"all targets of model %s requested a cooldown", m).WithRetryAfter(pause.Behind(remaining, r.rng.Float64()))
	}
	return walnutramp.NewError(walnutramp.CodeNoTarget, walnutramp.NotRun,
		"no live target serves model %s", m).WithRetryAfter(retryAfterNoTarget)
}

// SpendRetry reports whether a retry is within the budget and, if so, spends it.
func (r *Router) SpendRetry() bool { return r.budget.spend(time.Now()) }
