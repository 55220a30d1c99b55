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

// Directory tells which nodes live.
type Directory interface {
	// Self returns this node.
	Self() Node
	// Live returns the other nodes that are believed alive.
	Live() []Node
	// Known returns the other nodes that may be alive: those not yet heard of
	// since this node started, and suspects, as well.
	Known() []Node
}

// Router gives places at targets.
type Router interface {
	// Pick waits for a place.
	Pick(ctx context.Context, req route.Request) (*route.Grant, error)
	// Hold takes a place at a target where the work already runs.
	Hold(name walnutramp.TargetName, req route.Request) (*route.Grant, bool)
	// Forecast predicts the wait of a request, if any target is live.
	Forecast(req route.Request) (time.Duration, bool)
	// SpendRetry reports whether something may be sent again now.
	SpendRetry() bool
}

// Engines opens the adapter of a target.
type Engines interface {
	// Engine returns the engine at a target.
	Engine(t bundle.Target) target.Engine
}

// Config sets what a Manager works with.
type Config struct {
	Peers        Peers
	Directory    Directory
	Router       Router
	Engines      Engines
	Guard        func() bundle.Guard
	Leaning      func() bundle.Leaning
	Observe      Observer
	OrphanGrace  time.Duration // how long a generation without key runs unfollowed
	ReplaceAfter time.Duration // silence after which a replica is replaced
	Retain       time.Duration // how long records nobody touches are kept
	Patience     time.Duration // how long a majority is waited for
	Resumers     []Prioritized
	Broken       BrokenRule // a safety rule that is broken on purpose

	// Quarantine knows which requests end the engines that run them.
	Quarantine *quarantine.Witness
}

// Observer takes counts of what happens to generations.
type Observer interface {
	// Resumed notes how a broken generation was taken up again, how long the
	// search for a stream took, and how many tokens are computed again.
	Resumed(id walnutramp.GenerationID, how string, took time.Duration, recomputed int)
	// ResumeGap notes how long a generation's output stood still in a resume.
	ResumeGap(account walnutramp.ClientAccount, model walnutramp.ModelName, gap time.Duration)
	// TookOver notes a takeover from another node.
	TookOver(err error)
}

// Option sets a field of Config.
type Option func(*Config)

// WithPeers gives the calls to other nodes and who they are.
func WithPeers(p Peers, d Directory) Option {
	return func(c *Config) { c.Peers, c.Directory = p, d }
}

// WithTargets gives the router and the engines' adapters.
func WithTargets(r Router, e Engines) Option {
	return func(c *Config) { c.Router, c.Engines = r, e }
}

// WithLeanings gives the bundle's words on guarding and resuming.
func WithLeanings(guard func() bundle.Guard, leaning func() bundle.Leaning) Option {
	return func(c *Config) { c.Guard, c.Leaning = guard, leaning }
}

// WithObserver gives who is told of resumes and takeovers.
func WithObserver(o Observer) Option { return func(c *Config) { c.Observe = o } }

// WithQuarantine sets what knows which requests end the engines that run them.
func WithQuarantine(w *quarantine.Witness) Option { return func(c *Config) { c.Quarantine = w } }

// WithResumer adds a way to resume; among equal forecasts the lower priority
// number goes first.
func WithResumer(r Resumer, priority int) Option {
	return func(c *Config) { c.Resumers = append(c.Resumers, Prioritized{r, priority}) }
}

// WithoutResumers leaves broken generations broken, as a baseline.
func WithoutResumers() Option { return func(c *Config) { c.Resumers = nil } }

// BrokenRule names a safety rule that a Manager breaks, so that tests can show
// that their checks catch it.
type BrokenRule int

// The rules that can be broken.
const (
	BreakNothing BrokenRule = iota
	BreakRelease            // tokens are released before the majority holds them
	BreakAmnesia            // a replica that has forgotten counts as one that promises
)

// WithBrokenRule breaks a safety rule on purpose; it is for tests only.
func WithBrokenRule(r BrokenRule) Option { return func(c *Config) { c.Broken = r } }

// WithOrphanGrace sets how long a generation without key runs unfollowed.
func WithOrphanGrace(d time.Duration) Option { return func(c *Config) { c.OrphanGrace = d } }

func defaultConfig() Config {
	return Config{
		Guard:        func() bundle.Guard { return bundle.Guard{Replicas: 1} },
		Leaning:      func() bundle.Leaning { return bundle.LeanLatency },
		Observe:      ignore{},
		OrphanGrace:  15 * time.Second,
		ReplaceAfter: time.Second,
		Retain:       2 * time.Minute,
		Patience:     10 * time.Second,
		Quarantine:   quarantine.NewWitness(quarantine.New(), nil),
		Resumers: []Prioritized{
			{Reattach{}, 100},
			{ImportKV{}, 200},
			{Prefill{}, 300},
		},
	}
}

type ignore struct{}

func (ignore) Resumed(walnutramp.GenerationID, string, time.Duration, int)             {}
func (ignore) ResumeGap(walnutramp.ClientAccount, walnutramp.ModelName, time.Duration) {}
func (ignore) TookOver(error)                                                          {}

// poolSize bounds side jobs: cancels, exports, searches.
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

	handles atomic.Uint64
	kick    chan struct{} // the directory has changed

	mu        sync.Mutex
	closed    bool
	links     map[walnutramp.NodeName]*link
	takeovers map[walnutramp.GenerationID]*takeover
}

// NewManager returns a Manager whose tasks run until Close.
func NewManager(opts ...Option) *Manager {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	slices.SortStableFunc(cfg.Resumers, func(a, b Prioritized) int { return a.Priority - b.Priority })
	m := &Manager{
		cfg:       cfg,
		store:     NewStore(cfg.Directory.Self().Member, cfg.Retain),
		kick:      make(chan struct{}, 1),
		links:     map[walnutramp.NodeName]*link{},
		takeovers: map[walnutramp.GenerationID]*takeover{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	// The pool ends with its context: its own Stop runs on a pool that all
	// pools of the process share.
	poolCtx, stopPool := context.WithCancel(context.Background())
	m.pool = pond.NewPool(poolSize, pond.WithContext(poolCtx))
	m.stopPool = stopPool
	m.spawn(m.sweep)
	return m
}

// Store returns the replicas this node holds, to be served to peers.
func (m *Manager) Store() *Store { return m.store }

// Close ends all work at once.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
	m.stopPool()
}

// aside runs a side job on the pool; Close waits for it.
func (m *Manager) aside(job func()) {
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

// spawn runs a task that Close waits for.
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

// Times of upkeep.
const (
	upkeepInterval = 1 * time.Second
	sweepEvery     = 5 // upkeeps
)

// sweep drops old records and looks after the replica sets of what this node
// owns.
func (m *Manager) sweep() {
	upkeep := time.NewTicker(upkeepInterval)
	defer upkeep.Stop()
	for n := 1; ; n++ {
		select {
		case <-upkeep.C:
		case <-m.kick:
		case <-m.ctx.Done():
			return
		}
		for _, g := range m.store.owned() {
			g.checkSet(time.Now())
		}
		if n%sweepEvery == 0 {
			m.store.Sweep(time.Now())
		}
	}
}

// MembersChanged says that the directory has changed.
func (m *Manager) MembersChanged() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

func (m *Manager) link(node walnutramp.NodeName) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[node]
	if l != nil {
		return l
	}
	l = newLink(m, node)
	m.links[node] = l
	if !m.closed {
		m.tasks.Add(1)
		go func() {
			defer m.tasks.Done()
			part.Do(part.Guard, func() { l.run(m.ctx) })
		}()
	}
	return l
}

// Open starts a generation and gives it its identity. The error is a *walnutramp.Error; then nothing ran.
func (m *Manager) Open(ctx context.Context, spec Spec) (*Generation, error) {
	spec.ID = walnutramp.NewGenerationID(Place(m.store.self.Node))
	grant, err := m.cfg.Router.Pick(ctx, request(&spec, spec.PromptSize()))
	if err != nil {
		return nil, err
	}
	g := m.own(spec, Epoch{Number: 1, Node: m.store.self.Node}, m.chooseMembers(spec.ID, nil, nil))
	g.rec.mu.Lock()
	g.markAll()
	g.rec.mu.Unlock()
	if !g.launch(grant) {
		grant.Done(route.Unused)
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "the node is stopping")
	}
	return g, nil
}

func (m *Manager) newHandle() Handle { return Handle(m.handles.Add(1)) }

// own makes this node the owner in its own record.
func (m *Manager) own(spec Spec, epoch Epoch, members []Member) *Generation {
	rec := m.store.getOrAdd(spec)
	g := &Generation{m: m, rec: rec, id: spec.ID, epoch: epoch, handle: m.newHandle(), changed: make(chan struct{})}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.promised = epoch
	rec.state = State{Spec: spec, Epoch: epoch, Members: members}
	rec.owner = g
	rec.touched = time.Now()
	g.cursors = m.cursors(members)
	return g
}

// cursors returns a cursor for each other node among the members. Where two
// runs of a node are named, the first counts: the other is gone for good.
func (m *Manager) cursors(members []Member) map[walnutramp.NodeName]*cursor {
	cs := make(map[walnutramp.NodeName]*cursor, len(members))
	for _, mem := range members {
		if mem != m.store.self && cs[mem.Node] == nil {
			cs[mem.Node] = &cursor{member: mem}
		}
	}
	return cs
}

func request(spec *Spec, promptTokens int) route.Request {
	return route.Request{
		Account:      spec.Account,
		Priority:     spec.Priority,
		Weight:       spec.Weight,
		Model:        spec.Model,
		PromptTokens: promptTokens,
		PromptKey:    spec.PromptKey,
	}
}

// bytesPerToken turns prompt text into a rough count of tokens.
const bytesPerToken = 4

// PromptSize is roughly how many tokens the prompt has.
func (s *Spec) PromptSize() int {
	if s.Prompt.Tokens != nil {
		return len(s.Prompt.Tokens)
	}
	return (len(s.Prompt.Text) + len(s.Prompt.Messages)) / bytesPerToken
}
