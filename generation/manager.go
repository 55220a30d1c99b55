package generation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
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
	ReleaseEarly bool // release without the majority; for showing that checks catch it
}

// Observer takes counts of what happens to generations.
type Observer interface {
	// Resumed notes how a broken generation was taken up again, and how long
	// its output stood still.
	Resumed(how string, gap time.Duration, recomputed int)
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

// WithResumer adds a way to resume; among equal forecasts the lower priority
// number goes first.
func WithResumer(r Resumer, priority int) Option {
	return func(c *Config) { c.Resumers = append(c.Resumers, Prioritized{r, priority}) }
}

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
		Resumers: []Prioritized{
			{Reattach{}, 100},
			{ImportKV{}, 200},
			{Prefill{}, 300},
		},
	}
}

type ignore struct{}

func (ignore) Resumed(string, time.Duration, int) {}
func (ignore) TookOver(error)                     {}

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

const sweepInterval = 5 * time.Second

func (m *Manager) sweep() {
	for pause(m.ctx, sweepInterval) {
		m.store.Sweep(time.Now())
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
			l.run(m.ctx)
		}()
	}
	return l
}

// Open starts a generation. The error is a *walnutramp.Error; then nothing ran.
func (m *Manager) Open(ctx context.Context, spec Spec) (*Generation, error) {
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

// own makes this node the owner in its own record.
func (m *Manager) own(spec Spec, epoch Epoch, members []Member) *Generation {
	rec := m.store.getOrAdd(spec)
	g := &Generation{m: m, rec: rec, id: spec.ID, epoch: epoch, changed: make(chan struct{})}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.promised = epoch
	rec.state = State{Spec: spec, Epoch: epoch, Members: members}
	rec.owner = g
	rec.touched = time.Now()
	g.cursors = m.cursors(members)
	return g
}

func (m *Manager) cursors(members []Member) map[walnutramp.NodeName]*cursor {
	cs := make(map[walnutramp.NodeName]*cursor, len(members))
	for _, mem := range members {
		if mem != m.store.self {
			cs[mem.Node] = &cursor{member: mem}
		}
	}
	return cs
}

// chooseMembers makes a replica set: this node first, then those of keep that
// live, then others by rendezvous hash of the identity, preferring data halls
// not yet used. Members in avoid are left out.
func (m *Manager) chooseMembers(id walnutramp.GenerationID, keep, avoid []Member) []Member {
	size := m.cfg.Guard().Replicas
	self := m.cfg.Directory.Self()
	set := []Member{self.Member}
	halls := map[walnutramp.DataHall]bool{self.DataHall: true}
	ranked := Rank(id, m.cfg.Directory.Live())
	take := func(want func(Node) bool) {
		for _, n := range ranked {
			if len(set) < size && !slices.Contains(set, n.Member) && !slices.Contains(avoid, n.Member) && want(n) {
				set = append(set, n.Member)
				halls[n.DataHall] = true
			}
		}
	}
	take(func(n Node) bool { return slices.Contains(keep, n.Member) })
	take(func(n Node) bool { return !halls[n.DataHall] })
	take(func(n Node) bool { return n.DataHall != self.DataHall })
	take(func(Node) bool { return true })
	if len(set)%2 == 0 {
		set = set[:len(set)-1]
	}
	return set
}

// Rank orders nodes by rendezvous hash of a generation's identity.
func Rank(id walnutramp.GenerationID, nodes []Node) []Node {
	ranked := slices.Clone(nodes)
	score := make(map[walnutramp.NodeName]uint64, len(nodes))
	for _, n := range nodes {
		score[n.Node] = xxhash.Sum64String(string(id) + "/" + string(n.Node))
	}
	slices.SortFunc(ranked, func(a, b Node) int {
		if score[a.Node] > score[b.Node] {
			return -1
		}
		return 1
	})
	return ranked
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
