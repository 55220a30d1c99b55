package generation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/part"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
	"github.com/walnutramp/walnutramp/target"
)

// Node is a node that can hold replicas.
type Node struct {
	Member
	DataHall walnutramp.DataHall
}

// Directory provides the membership of the cluster.
type Directory interface {
	// Self returns this node.
	Self() Node
	// Live returns the other nodes believed to be alive.
	Live() []Node
	// Known returns the other nodes that may be alive: live and suspect ones, and
	// those not heard from since this node started.
	Known() []Node
}

// Router allocates slots at targets.
type Router interface {
	// Pick waits for a slot at any suitable target.
	Pick(ctx context.Context, req route.Request) (*route.Grant, error)
	// Hold takes a slot at a target that already runs the work.
	Hold(name walnutramp.TargetName, req route.Request) (*route.Grant, bool)
	// Forecast predicts the wait of a request; false if no target is live.
	Forecast(req route.Request) (time.Duration, bool)
	// SpendRetry consumes one retry from the budget; false if it is exhausted.
	SpendRetry() bool
}

// Engines provides the adapters of targets.
type Engines interface {
	// Engine returns the adapter of the engine at a target.
	Engine(t bundle.Target) target.Engine
}

// Config configures a Manager.
type Config struct {
	Peers           Peers
	Directory       Directory
	Router          Router
	Engines         Engines
	Guard           func() bundle.Guard
	Leaning         func() bundle.ResumePreference
	Observe         Observer
	OrphanGrace     time.Duration // how long a generation without a key runs without followers
	ReplaceAfter    time.Duration // how long a replica may fail before it is replaced
	Retain          time.Duration // retention of unused records
	MajorityTimeout time.Duration // how long to wait for a majority
	Resumers        []Prioritized
	Broken          BrokenRule // safety rule to violate, in tests

	// Quarantine detects requests that crash the engines that run them.
	Quarantine *quarantine.CrashDetector
}

// Observer receives events for metrics.
type Observer interface {
	// Resumed reports the resumer that continued an interrupted generation, how long
	// it took to open a stream, and how many tokens are recomputed.
	Resumed(id walnutramp.GenerationID, how string, took time.Duration, recomputed int)
	// ResumeGap reports how long a generation's output was interrupted.
	ResumeGap(account walnutramp.ClientAccount, model walnutramp.ModelName, gap time.Duration)
	// TakeoverFinished reports the result of a takeover from another node.
	TakeoverFinished(err error)
}

// Option sets a field of Config.
type Option func(*Config)

// WithPeers sets the client for calls to other nodes and the membership.
func WithPeers(p Peers, d Directory) Option {
	return func(c *Config) { c.Peers, c.Directory = p, d }
}

// WithTargets sets the router and the engine adapters.
func WithTargets(r Router, e Engines) Option {
	return func(c *Config) { c.Router, c.Engines = r, e }
}

// WithBundleSettings sets the sources of the bundle's replication settings and of its
// preference between latency and cost.
func WithBundleSettings(guard func() bundle.Guard, preference func() bundle.ResumePreference) Option {
	return func(c *Config) { c.Guard, c.Leaning = guard, preference }
}

// WithObserver sets the receiver of resume and takeover events.
func WithObserver(o Observer) Option { return func(c *Config) { c.Observe = o } }

// WithQuarantine sets the detector of requests that crash engines.
func WithQuarantine(d *quarantine.CrashDetector) Option { return func(c *Config) { c.Quarantine = d } }

// WithResumer adds a resumer. Among equal forecasts the lower priority number wins.
func WithResumer(r Resumer, priority int) Option {
	return func(c *Config) { c.Resumers = append(c.Resumers, Prioritized{r, priority}) }
}

// WithoutResumers disables resuming, as a baseline for experiments.
func WithoutResumers() Option { return func(c *Config) { c.Resumers = nil } }

// BrokenRule selects a safety rule that a Manager violates, so that tests can show that
// their checks detect it.
type BrokenRule int

// The rules that can be violated.
const (
	BreakNothing BrokenRule = iota
	BreakRelease            // tokens are released before a majority holds them
	BreakPromise            // a replica that lost its state counts as having promised
)

// WithBrokenRule violates a safety rule; for tests only.
func WithBrokenRule(r BrokenRule) Option { return func(c *Config) { c.Broken = r } }

// WithOrphanGrace sets how long a generation without a key runs without followers.
func WithOrphanGrace(d time.Duration) Option { return func(c *Config) { c.OrphanGrace = d } }

func defaultConfig() Config {
	return Config{
		Guard:           func() bundle.Guard { return bundle.Guard{Replicas: 1} },
		Leaning:         func() bundle.ResumePreference { return bundle.PreferLatency },
		Observe:         noopObserver{},
		OrphanGrace:     15 * time.Second,
		ReplaceAfter:    time.Second,
		Retain:          2 * time.Minute,
		MajorityTimeout: 10 * time.Second,
		Quarantine:      quarantine.NewCrashDetector(quarantine.New(), nil),
		Resumers: []Prioritized{
			{Reattach{}, 100},
			{ImportKV{}, 200},
			{Prefill{}, 300},
		},
	}
}

type noopObserver struct{}

func (noopObserver) Resumed(walnutramp.GenerationID, string, time.Duration, int)             {}
func (noopObserver) ResumeGap(walnutramp.ClientAccount, walnutramp.ModelName, time.Duration) {}
func (noopObserver) TakeoverFinished(error)                                                  {}

// poolSize bounds concurrent background jobs, such as cancels.
const poolSize = 64

// Manager owns generations on one node and holds replicas for others.
type Manager struct {
	cfg   Config
	store *Store
	pool  pond.Pool

	ctx      context.Context
	cancel   context.CancelFunc
	stopPool context.CancelFunc
	tasks    sync.WaitGroup

	handles        atomic.Uint64
	membersChanged chan struct{} // signals that the directory has changed

	mu          sync.Mutex
	closed      bool
	replicators map[walnutramp.NodeName]*replicator
	takeovers   map[walnutramp.GenerationID]*takeover
}

// NewManager returns a Manager that runs until Close.
func NewManager(opts ...Option) *Manager {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	slices.SortStableFunc(cfg.Resumers, func(a, b Prioritized) int { return a.Priority - b.Priority })
	m := &Manager{
		cfg:            cfg,
		store:          NewStore(cfg.Directory.Self().Member, cfg.Retain),
		membersChanged: make(chan struct{}, 1),
		replicators:    map[walnutramp.NodeName]*replicator{},
		takeovers:      map[walnutramp.GenerationID]*takeover{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	// The pool is stopped through its context: pond's Stop runs on a pool that all
	// pools of the process share.
	poolCtx, stopPool := context.WithCancel(context.Background())
	m.pool = pond.NewPool(poolSize, pond.WithContext(poolCtx))
	m.stopPool = stopPool
	m.spawn(m.maintain)
	return m
}

// Store returns the replicas that this node holds.
func (m *Manager) Store() *Store { return m.store }

// Close cancels all work and waits for it to end.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
	m.stopPool()
}

// background runs a job on the pool; Close waits for it.
func (m *Manager) background(job func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.tasks.Add(1)
	m.pool.Go(func() {
		defer m.tasks.Done()
		job()
	})
}

// spawn starts a task that Close waits for; false if the manager is closed.
func (m *Manager) spawn(task func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		task()
	}()
	return true
}

// Maintenance intervals.
const (
	maintenanceInterval = 1 * time.Second
	maintenancePerSweep = 5 // maintenance runs
)

// maintain periodically checks the replica sets of owned generations and drops expired
// records.
func (m *Manager) maintain() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ticker.C:
		case <-m.membersChanged:
		case <-m.ctx.Done():
			return
		}
		for _, g := range m.store.owned() {
			g.checkReplicaSet(time.Now())
		}
		if n%maintenancePerSweep == 0 {
			m.store.Sweep(time.Now())
		}
	}
}

// MembersChanged triggers a check of the replica sets.
func (m *Manager) MembersChanged() {
	select {
	case m.membersChanged <- struct{}{}:
	default:
	}
}

func (m *Manager) replicator(node walnutramp.NodeName) *replicator {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.replicators[node]
	if l != nil {
		return l
	}
	l = newReplicator(m, node)
	m.replicators[node] = l
	if !m.closed {
		m.tasks.Add(1)
		go func() {
			defer m.tasks.Done()
			part.Do(part.Guard, func() { l.run(m.ctx) })
		}()
	}
	return l
}

// Open starts a generation and assigns its ID. The error is a *walnutramp.Error and
// means that nothing ran.
func (m *Manager) Open(ctx context.Context, spec Spec) (*Generation, error) {
	spec.ID = walnutramp.NewGenerationID(RingPosition(m.store.self.Node))
	grant, err := m.cfg.Router.Pick(ctx, routeRequest(&spec, spec.PromptSize()))
	if err != nil {
		return nil, err
	}
	g := m.createOwned(spec, Epoch{Number: 1, Node: m.store.self.Node}, m.chooseMembers(spec.ID, nil, nil))
	g.rec.mu.Lock()
	g.replicateAll()
	g.rec.mu.Unlock()
	if !g.launch(grant) {
		grant.Done(route.Unused)
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "the node is stopping")
	}
	return g, nil
}

func (m *Manager) newHandle() Handle { return Handle(m.handles.Add(1)) }

// createOwned creates a generation and its local record with this node as the owner.
func (m *Manager) createOwned(spec Spec, epoch Epoch, members []Member) *Generation {
	rec := m.store.getOrAdd(spec)
	g := &Generation{m: m, rec: rec, id: spec.ID, epoch: epoch, handle: m.newHandle(), changed: make(chan struct{})}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.promised = epoch
	rec.state = State{Spec: spec, Epoch: epoch, Members: members}
	rec.owner = g
	rec.lastUsed = time.Now()
	g.cursors = m.cursors(members)
	return g
}

// cursors returns a cursor for each other node among the members. If two incarnations
// of a node are listed, the first counts: the other no longer exists.
func (m *Manager) cursors(members []Member) map[walnutramp.NodeName]*cursor {
	cs := make(map[walnutramp.NodeName]*cursor, len(members))
	for _, mem := range members {
		if mem != m.store.self && cs[mem.Node] == nil {
			cs[mem.Node] = &cursor{member: mem}
		}
	}
	return cs
}

func routeRequest(spec *Spec, promptTokens int) route.Request {
	return route.Request{
		Account:      spec.Account,
		Priority:     spec.Priority,
		Weight:       spec.Weight,
		Model:        spec.Model,
		PromptTokens: promptTokens,
		PromptKey:    spec.PromptKey,
	}
}

// bytesPerToken approximates the number of tokens in prompt text.
const bytesPerToken = 4

// PromptSize returns the approximate number of prompt tokens.
func (s *Spec) PromptSize() int {
	if s.Prompt.Tokens != nil {
		return len(s.Prompt.Tokens)
	}
	return (len(s.Prompt.Text) + len(s.Prompt.Messages)) / bytesPerToken
}
