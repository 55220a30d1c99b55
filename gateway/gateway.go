package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
)

// Names are the header names of the site's dialect.
type Names struct {
	Identity   string // of one request of a client
	Deadline   string // milliseconds the client waits
	Key        string // the client's API key
	EventID    string // last event a client or this system has
	Account    string // set for targets: the account's name
	Expect     string // set for targets: the target's ID
	Priority   string // set for targets: 0 is first
	CopyTo     string // set for targets: where the run's memory is copied to
	CopyFrom   string // set for targets: which copy a run goes on from
	Load       string // of a target, in its answers
	NotRun     string // in an answer: the request did not run
	System     []string
	Usage      string // tokens of the prompt, and most out
	Prefix     string // the parts of the prompt, the request's own last
	CopyHandle func(address, identity string) string
	CopyOrders CopyOrders
	ParseLoad  func(header string) (balance.Load, bool)
	ParseSigns func(status int, answer http.Header) Signs
	ParseUsage func(header string) (prompt, out int)
}

// Config sets how a Gateway works.
type Config struct {
	Names       Names
	MaxBuffered int64         // bytes of request bodies held at once
	Held        HeldLimits    // on answers whose clients read slowly
	Stall       time.Duration // silence within a stream after which its target is given up, where its route names no longest pause
	FirstEvent  time.Duration // wait for a first event, beside the reading of the prompt, after which another target is tried
	StartWait   time.Duration // how long a request waits for a node that has just started
	Lease       func() bool   // whether new work may be taken; nil for always
	Copies      bool          // ask engines to keep copies of runs

	// Rollouts says which versions of targets requests go to; nil for any.
	Rollouts *rollout.Agent

	// Quarantine knows which requests end the targets that run them.
	Quarantine *quarantine.Witness

	// Metering counts the requests of each account; nil for none.
	Metering *metering.Counter

	// Find learns of runs of a key that other nodes had, where this node does
	// not know them anyway; nil if it always does. Again says that the client has part
	// of the answer: there was such a run.
	Find func(ctx context.Context, key string, again bool)
	// Borrow gets a repeat of a service from another node; nil where there is none.
	Borrow func(ctx context.Context, service string) bool
}

// Option sets a field of Config.
type Option func(*Config)

// WithNames sets the dialect's header names.
func WithNames(n Names) Option { return func(c *Config) { c.Names = n } }

// WithStall sets the silence after which a stream's target is given up, where
// its route names no longest pause.
func WithStall(d time.Duration) Option { return func(c *Config) { c.Stall = d } }

// WithFirstEvent sets the wait for a first event, beside the reading of the
// prompt, after which another target is tried.
func WithFirstEvent(d time.Duration) Option { return func(c *Config) { c.FirstEvent = d } }

// WithLease sets what says whether new work may be taken, on a site whose
// nodes take none while they are cut off.
func WithLease(held func() bool) Option { return func(c *Config) { c.Lease = held } }

// WithRollouts sets what says which versions of targets requests go to, and is
// told what came of it.
func WithRollouts(a *rollout.Agent) Option { return func(c *Config) { c.Rollouts = a } }

// WithQuarantine sets what knows which requests end the targets that run them.
func WithQuarantine(w *quarantine.Witness) Option { return func(c *Config) { c.Quarantine = w } }

// WithCopies says whether engines keep copies of runs at each other.
func WithCopies(on bool) Option { return func(c *Config) { c.Copies = on } }

// WithHeldLimits bounds what is held of answers whose clients read slowly.
func WithHeldLimits(l HeldLimits) Option { return func(c *Config) { c.Held = l } }

// WithFind sets what learns of runs of a key that other nodes had.
func WithFind(find func(ctx context.Context, key string, again bool)) Option {
	return func(c *Config) { c.Find = find }
}

// WithBorrow sets what gets a repeat of a service from another node, where this one's
// budget has none left, and reports whether there is one then.
func WithBorrow(borrow func(ctx context.Context, service string) bool) Option {
	return func(c *Config) { c.Borrow = borrow }
}

func defaultConfig() Config {
	return Config{
		MaxBuffered: 32 << 20, Stall: 450 * time.Millisecond, FirstEvent: 5 * time.Second,
		StartWait: time.Second, Copies: true, Held: HeldLimitsOf(processMemory()),
	}
}

// Gateway answers clients; it implements http.Handler.
type Gateway struct {
	cfg     Config
	targets *balance.Tracker
	pool    *targetconn.Pool
	refresh func() // asks for a new list of targets

	table    atomic.Pointer[Table]
	stopping atomic.Int32
	leaveBy  atomic.Pointer[time.Time]
	buffered atomic.Int64
	held     *heldAnswers
	strip    map[string]bool
	started  chan struct{} // closed once there are a table and targets
	counters *counters

	startOnce sync.Once

	demands   demands
	pending   pendingRuns
	exchanges exchanges

	budgets *balance.Budgets
}

// New returns a gateway without a table: it answers 503 until SetTable.
// Budgets bound what is sent again. Refresh is called when a target turns out to be another than listed.
func New(targets *balance.Tracker, pool *targetconn.Pool, budgets *balance.Budgets, refresh func(), opts ...Option) *Gateway {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.NewWitness(quarantine.New(), pool.Dial)
	}
	g := &Gateway{cfg: cfg, targets: targets, pool: pool, refresh: refresh, budgets: budgets, counters: newCounters(),
		started: make(chan struct{}), pending: pendingRuns{runs: map[*pendingRun]struct{}{}}}
	g.held = newHeldAnswers(cfg.Held, g.counters)
	g.counters.set.NewGauge(`walnutramp_gateway_held_bytes{cause="slow-clients"}`, func() float64 { return float64(g.held.bytes()) })
	g.counters.set.NewGauge(`walnutramp_gateway_held_bytes{cause="request-bodies"}`, func() float64 { return float64(g.buffered.Load()) })
	targets.OnSilence(g.pending.moveFromSilent)
	cfg.Quarantine.OnHeld(g.pending.giveUp)
	g.counters.set.NewGauge("walnutramp_quarantine_held_contents", func() float64 { return float64(cfg.Quarantine.HeldContents()) })
	g.counters.set.NewGauge("walnutramp_quarantine_suspect_contents", func() float64 { return float64(cfg.Quarantine.SuspectContents()) })
	g.counters.set.NewGauge("walnutramp_gateway_resting_targets", func() float64 { return float64(targets.Resting()) })
	g.strip = map[string]bool{}
	n := cfg.Names
	for _, name := range append([]string{n.Key, n.Account, n.Expect, n.Priority, n.CopyTo, n.CopyFrom, n.Deadline}, n.System...) {
		g.strip[http.CanonicalHeaderKey(name)] = true
	}
	return g
}

// SetTable puts a table in force.
func (g *Gateway) SetTable(t *Table) {
	t.setRanks()
	g.targets.SetEngines(t.engines())
	g.table.Store(t)
	g.Started()
}

// Limits returns the bounds of the table in force, none before the first.
func (g *Gateway) Limits() Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits
	}
	return Limits{}
}

// Started looks whether the node has all it needs to serve, and lets the
// requests go on that wait for that.
func (g *Gateway) Started() {
	if g.table.Load() != nil && g.targets.Listed() {
		g.startOnce.Do(func() { close(g.started) })
	}
}

// awaitStart holds a request that came before the node has all it needs.
func (g *Gateway) awaitStart(ctx context.Context) {
	select {
	case <-g.started:
		return
	default:
	}
	t := time.NewTimer(g.cfg.StartWait)
	defer t.Stop()
	select {
	case <-g.started:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Ready reports whether requests can be served.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.targets.Listed() && g.stopping.Load() == 0 && g.holdsLease()
}

// holdsLease reports whether new work may be taken.
func (g *Gateway) holdsLease() bool { return g.cfg.Lease == nil || g.cfg.Lease() }

// The phases of a stop.
const (
	phaseServing int32 = iota
	phaseLeaving       // the balancer is being told; requests are served
	phaseClosing       // connections are closed after their answer
	phaseClosed        // new requests are refused
)

// Leave begins a planned stop: the node is no longer ready, and a stream that
// would not be whole by then is refused as not run, so that none is cut off.
func (g *Gateway) Leave(by time.Time) {
	g.leaveBy.Store(&by)
	g.stopping.Store(phaseLeaving)
}

// By these a stream's end is predicted.
const (
	// startMargin is the wait for a place at an engine that is allowed for:
	// about the mean of a site under its usual load.
	startMargin = 500 * time.Millisecond
	// unknownLength is how many times the usual a stream may take whose request
	// does not tell its length: few of one kind take longer.
	unknownLength = 1.5
)

// fits reports whether a call is answered before the node ends.
func (g *Gateway) fits(c *call) bool {
	by := g.leaveBy.Load()
	if by == nil || c.route.Kind != Stream {
		return true
	}
	return uptime.Now().Add(startMargin + g.streamTime(c)).Before(*by)
}

// streamTime predicts how long a stream takes once it has a place.
func (g *Gateway) streamTime(c *call) time.Duration {
	if c.out > 0 {
		return g.targets.RunTime(c.service, c.work.Read, c.out)
	}
	return time.Duration(unknownLength * float64(g.targets.WholeRun(c.service)))
}

// CloseConnections asks clients to open no more requests on their connections.
func (g *Gateway) CloseConnections() { g.stopping.Store(phaseClosing) }

// Refuse refuses new requests as not run.
func (g *Gateway) Refuse() { g.stopping.Store(phaseClosed) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := uptime.Now()
	g.awaitStart(r.Context())
	phase := g.stopping.Load()
	if phase >= phaseClosing {
		w.Header().Set("Connection", "close")
	}
	c, refused := g.open(w, r, arrived)
	if c != nil {
		defer g.buffered.Add(-int64(len(c.body)))
	}
	if refused == nil && (phase == phaseClosed || !g.fits(c)) {
		w.Header().Set("Connection", "close")
		refused = walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "this node is stopping").WithRetryAfter(retryOther)
	}
	if refused != nil {
		g.refuse(w, r, refused)
		return
	}
	if held := g.cfg.Quarantine.Refuse(c.content); held != nil {
		g.fail(w, c, held)
		return
	}
	budget := g.budgets.Of(c.service)
	budget.Earn()
	defer c.refund(budget)
	g.noteDemand(c)
	ctx, cancel := context.WithTimeout(r.Context(), uptime.Until(c.deadline))
	defer cancel()
	if c.route.Kind == Stream {
		g.stream(ctx, w, c)
		return
	}
	g.plain(ctx, w, c)
}
