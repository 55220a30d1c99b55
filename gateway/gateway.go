package gateway

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/reach"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
)

// Names are the header names and encodings of the site's HTTP dialect. System lists
// further headers that are removed from client requests. CopyHandle returns the CopyFrom
// value of a copy: for a copy requested with its run, from the address of the holder and
// the ID of the client request; for an ordered copy, from the address of the run's target
// and the handle of the copy there. If CopyHandle is nil, no copies are requested with
// runs; CopyOrders needs it, unless its Make is nil. ParseLoad parses Load,
// ParseBackpressure the backpressure signals of an answer, and ParseUsage Usage; what has
// no parser is ignored, without ParseUsage also Prefix.
type Names struct {
	Identity          string // ID of a client request
	Deadline          string // milliseconds that the client waits
	Key               string // the client's API key
	EventID           string // ID of the last event received
	Resumes           string // the Identity of the attempt that brought the first event of a resumed stream
	Account           string // set for targets: name of the client account
	Expect            string // set for targets: ID of the intended target; any other target answers 421
	Priority          string // set for targets: 0 is most urgent
	CopyTo            string // set for targets: address that receives a copy of the run's KV cache
	CopyFrom          string // set for targets: the copy from which the run resumes
	Load              string // in answers: the target's load
	NotRun            string // in answers: the request was not run
	System            []string
	Usage             string // prompt tokens and maximum output tokens
	Prefix            string // keys of the parts of the prompt, the request's own or its session's last
	Model             string // name of the model
	CopyHandle        func(address, identity string) string
	CopyOrders        CopyOrders
	ParseLoad         func(header string) (balance.Load, bool)
	ParseBackpressure func(status int, answer http.Header) Backpressure
	ParseUsage        func(header string) (prompt, out int)
}

// Config sets how a Gateway works.
type Config struct {
	Names       Names
	MaxBuffered int64            // maximum bytes of buffered request bodies; a single one may exceed it
	Heads       *reqlimit.Budget // memory of large request heads from other nodes
	Buffers     BufferLimits     // for answers whose clients read slowly
	Stall       time.Duration    // timeout between the events of a stream, where its route sets no maximum gap
	FirstEvent  time.Duration    // timeout for the first event of a run that can be retried, on top of the predicted prefill time; see firstEventTimeout
	StartWait   time.Duration    // how long a request waits for the first table and target list
	Lease       func() bool      // whether new work may be accepted; nil for always
	Copies      bool             // request KV-cache copies of runs

	// Rollouts selects which versions of targets requests go to; nil for any.
	Rollouts *rollout.Agent

	// Quarantine detects requests that crash the targets that run them.
	Quarantine *quarantine.CrashDetector

	// Egress sends requests through other nodes while this one has no path to their
	// targets; nil for none.
	Egress *egress.Sender

	// Limits keeps the requests of all nodes within the rate limits that targets publish;
	// nil for those of this node alone.
	Limits *ratelimit.Limiter

	// InFlight bounds the requests of all nodes at targets that are brittle; nil for those
	// of this node alone.
	InFlight *inflight.Limiter

	// Origins remembers which software version began a stream; nil for the streams of
	// this node alone.
	Origins *origins.Registry

	// Metering counts the requests of each client account; nil for none.
	Metering *metering.Counter

	// Find asks other nodes about runs whose prompt has this key, and about copies of this
	// stream; nil to ask none. Retried says that the client already has part of the answer,
	// so that such a run has begun at some node.
	Find func(ctx context.Context, key string, stream balance.StreamID, retried bool)
	// Borrow obtains a retry for a service from another node's budget; nil for none.
	Borrow func(ctx context.Context, service string) bool
}

// Option sets a field of Config.
type Option func(*Config)

// WithNames sets the dialect's header names.
func WithNames(n Names) Option { return func(c *Config) { c.Names = n } }

// WithStall sets the timeout between the events of a stream, where its route sets no
// maximum gap.
func WithStall(d time.Duration) Option { return func(c *Config) { c.Stall = d } }

// WithFirstEvent sets the timeout for the first event of a run that can be retried, on
// top of the predicted prefill time.
func WithFirstEvent(d time.Duration) Option { return func(c *Config) { c.FirstEvent = d } }

// WithLease sets the check for whether new work may be accepted, on a site whose
// nodes accept none while they are partitioned from the control group.
func WithLease(held func() bool) Option { return func(c *Config) { c.Lease = held } }

// WithRollouts sets the agent that selects target versions and receives the outcomes.
func WithRollouts(a *rollout.Agent) Option { return func(c *Config) { c.Rollouts = a } }

// WithQuarantine sets the detector of requests that crash targets.
func WithQuarantine(d *quarantine.CrashDetector) Option { return func(c *Config) { c.Quarantine = d } }

// WithLimits sets the limiter of the requests to targets that publish a rate limit.
func WithLimits(l *ratelimit.Limiter) Option { return func(c *Config) { c.Limits = l } }

// WithInFlight sets the limiter of the requests in flight at brittle targets.
func WithInFlight(l *inflight.Limiter) Option { return func(c *Config) { c.InFlight = l } }

// WithOrigins sets the registry of the software versions that began streams.
func WithOrigins(r *origins.Registry) Option { return func(c *Config) { c.Origins = r } }

// WithEgress sets what sends requests through other nodes.
func WithEgress(e *egress.Sender) Option { return func(c *Config) { c.Egress = e } }

// WithCopies sets whether engines replicate the KV cache of runs to each other.
func WithCopies(on bool) Option { return func(c *Config) { c.Copies = on } }

// WithBufferLimits bounds the buffers of answers whose clients read slowly.
func WithBufferLimits(l BufferLimits) Option { return func(c *Config) { c.Buffers = l } }

// WithHeads sets the budget of the memory of large request heads from other nodes, which may be
// that of clients' heads; the default is one without a limit.
func WithHeads(b *reqlimit.Budget) Option { return func(c *Config) { c.Heads = b } }

// WithFind sets the function that asks other nodes about runs of a prompt and copies of a
// stream.
func WithFind(find func(ctx context.Context, key string, stream balance.StreamID, retried bool)) Option {
	return func(c *Config) { c.Find = find }
}

// WithBorrow sets the function that borrows a retry from another node when this node's
// budget is exhausted. The function reports whether it has obtained one.
func WithBorrow(borrow func(ctx context.Context, service string) bool) Option {
	return func(c *Config) { c.Borrow = borrow }
}

func defaultConfig() Config {
	return Config{
		MaxBuffered: bodyMemoryOf(processMemory()), Stall: 450 * time.Millisecond, FirstEvent: 5 * time.Second,
		Heads: reqlimit.NewBudget(math.MaxInt64), StartWait: time.Second, Copies: true, Buffers: BufferLimitsOf(processMemory()),
	}
}

// Gateway answers clients; it implements http.Handler.
type Gateway struct {
	cfg     Config
	targets *balance.Tracker
	pool    *targetconn.Pool
	refresh func() // requests a new list of targets

	table        atomic.Pointer[Table]
	stopping     atomic.Int32
	stopDeadline atomic.Pointer[time.Time]
	bodies       *reqlimit.Budget // of buffered request bodies
	buffers      *bufferAccounting
	strip        map[string]bool
	started      chan struct{} // closed once a table and a target list are loaded
	counters     *counters

	startOnce sync.Once
	ctx       context.Context // of background tasks
	cancel    context.CancelFunc
	requests  context.Context // ends with EndRequests
	end       context.CancelFunc

	demands      demandCounters
	pending      pendingRuns
	serviceTimes serviceTimes
	plainTimes   plainTimes

	budgets *balance.Budgets

	paths  *reach.Monitor
	active atomic.Int64 // requests that are being served
	// stopOrders counts the orders to stop runs that are under way.
	stopOrders atomic.Int64
	relayed    relayedCalls
}

// New returns a gateway without a table. Until SetTable, requests wait up to StartWait
// and are then answered 503. The budgets limit retries; refresh is called when a
// target rejects a request as meant for another one, so that the target list is stale.
func New(targets *balance.Tracker, pool *targetconn.Pool, budgets *balance.Budgets, refresh func(), opts ...Option) *Gateway {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.Limits == nil {
		cfg.Limits = ratelimit.New()
	}
	if cfg.InFlight == nil {
		cfg.InFlight = inflight.New()
	}
	if cfg.Origins == nil {
		cfg.Origins = origins.New(targets)
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.NewCrashDetector(quarantine.New(), pool.Dial)
	}
	g := &Gateway{cfg: cfg, targets: targets, pool: pool, refresh: refresh, budgets: budgets, counters: newCounters(),
		started: make(chan struct{}), pending: pendingRuns{runs: map[*pendingRun]struct{}{}}}
	g.bodies = reqlimit.NewBudget(cfg.MaxBuffered)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.requests, g.end = context.WithCancel(context.Background())
	cfg.Limits.OnLimited(targets.SetLimited)
	g.buffers = newBufferAccounting(cfg.Buffers, g.counters)
	g.counters.set.NewGauge(`walnutramp_gateway_held_bytes{cause="slow-clients"}`, func() float64 { return float64(g.buffers.bytes()) })
	g.counters.set.NewGauge(`walnutramp_gateway_held_bytes{cause="request-bodies"}`, func() float64 { return float64(g.bodies.Used()) })
	targets.OnUnresponsive(g.pending.cancelUnresponsive)
	g.paths = reach.New(&targetDialer{targets, pool}, reach.WithOnLost(g.pathLost), reach.WithOnRecovered(g.pathRecovered))
	cfg.Quarantine.OnQuarantined(g.pending.cancelQuarantined)
	g.counters.set.NewGauge("walnutramp_quarantine_held_contents", func() float64 { return float64(cfg.Quarantine.QuarantinedContents()) })
	g.counters.set.NewGauge("walnutramp_quarantine_suspect_contents", func() float64 { return float64(cfg.Quarantine.SuspectContents()) })
	g.counters.set.NewGauge("walnutramp_gateway_stream_origins", func() float64 { n, _ := cfg.Origins.Counts(); return float64(n) })
	g.counters.set.NewGauge("walnutramp_gateway_stream_origins_dropped", func() float64 { _, n := cfg.Origins.Counts(); return float64(n) })
	g.counters.set.NewGauge("walnutramp_gateway_resting_targets", func() float64 { return float64(targets.CountInCooldown()) })
	g.counters.set.NewGauge(`walnutramp_gateway_unavailable_targets{source="own"}`, func() float64 { return float64(targets.CountUnavailable().Own) })
	g.counters.set.NewGauge(`walnutramp_gateway_unavailable_targets{source="peers"}`, func() float64 { return float64(targets.CountUnavailable().Peers) })
	g.strip = map[string]bool{}
	n := cfg.Names
	for _, name := range append([]string{n.Key, n.Account, n.Expect, n.Priority, n.CopyTo, n.CopyFrom, n.Deadline}, n.System...) {
		g.strip[http.CanonicalHeaderKey(name)] = true
	}
	return g
}

// SetTable activates a routing table.
func (g *Gateway) SetTable(t *Table) {
	t.setRanks()
	t.activeSince = uptime.Now()
	g.targets.SetEngines(t.engines())
	g.plainTimes.keepOnly(t)
	g.table.Store(t)
	g.Started()
}

// tableAge returns the time since the active table was activated; 0 before the first.
func (g *Gateway) tableAge() time.Duration {
	if t := g.table.Load(); t != nil {
		return uptime.Since(t.activeSince)
	}
	return 0
}

// Limits returns the limits of the active table; zero before the first.
func (g *Gateway) Limits() Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits
	}
	return Limits{}
}

// Started releases the requests in awaitStart if the node has a table and a target list.
// It must be called when the first target list is loaded; SetTable calls it itself.
func (g *Gateway) Started() {
	if g.table.Load() != nil && g.targets.Listed() {
		g.startOnce.Do(func() { close(g.started) })
	}
}

// awaitStart blocks until the first table and target list are loaded, StartWait has
// passed, or ctx ends.
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

// holdsLease reports whether new work may be accepted.
func (g *Gateway) holdsLease() bool { return g.cfg.Lease == nil || g.cfg.Lease() }

// The phases of a graceful shutdown.
const (
	phaseServing int32 = iota
	phaseLeaving       // not ready; requests are served, except those predicted to outlast the stop
	phaseClosing       // connections are closed after their answer
	phaseClosed        // new requests are rejected
)

// BeginShutdown begins a graceful shutdown: the node is no longer ready, and rejects, as
// not run, new requests that are predicted to end after the given time.
func (g *Gateway) BeginShutdown(by time.Time) {
	g.stopDeadline.Store(&by)
	g.stopping.Store(phaseLeaving)
	time.AfterFunc(uptime.Until(by)-handBackTime, g.relayed.handBack)
}

// Close ends the checks of the paths to targets.
func (g *Gateway) Close() {
	g.cancel()
	g.paths.Close()
}

// Parameters for predicting when a stream ends; see plainTimes for other requests.
const (
	// queueAllowance is the expected wait for a slot at an engine.
	queueAllowance = 500 * time.Millisecond
	// unknownLengthFactor scales the mean duration for a stream whose request does
	// not state its length.
	unknownLengthFactor = 1.5
)

// returnGrants gives back what a call has been granted and does not need any more.
func (g *Gateway) returnGrants(c *call) {
	g.cfg.Limits.Return(&c.grants.permit)
	g.cfg.InFlight.Release(&c.grants.lease)
	c.releasePlace()
}

// completesInTime reports whether a call is predicted to end before the node stops.
func (g *Gateway) completesInTime(c *call) bool {
	by := g.stopDeadline.Load()
	if by == nil {
		return true
	}
	if c.route.Kind == Stream {
		return uptime.Now().Add(queueAllowance + g.predictStreamTime(c)).Before(*by)
	}
	took, known := g.plainTimes.upper(c.route.Name)
	return !known || c.deadline.Before(*by) || uptime.Now().Add(took).Before(*by)
}

// predictStreamTime predicts how long a stream takes once it has a slot.
func (g *Gateway) predictStreamTime(c *call) time.Duration {
	if c.maxOutput > 0 {
		return g.targets.PredictDuration(c.service, c.work.PrefillTokens, c.maxOutput)
	}
	return time.Duration(unknownLengthFactor * float64(g.targets.RunDuration(c.service)))
}

// CloseConnections makes every answer from now on close its connection. Requests are
// still served as after BeginShutdown.
func (g *Gateway) CloseConnections() { g.stopping.Store(phaseClosing) }

// RejectRequests makes the gateway reject all new requests from now on, as not run.
func (g *Gateway) RejectRequests() { g.stopping.Store(phaseClosed) }

// EndRequests ends all requests in flight: one that has no answer yet gets an error that says
// whether it may have run, and an answer under way is broken off. It returns at once.
func (g *Gateway) EndRequests() {
	g.RejectRequests()
	g.end()
}

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int { return int(g.active.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(client http.ResponseWriter, r *http.Request) {
	w := &answerWriter{ResponseWriter: client}
	var c *call
	defer func() {
		if p := recover(); p != nil {
			g.answerPanic(p, w, r, c)
		}
	}()
	arrived := uptime.Now()
	g.awaitStart(r.Context())
	phase := g.stopping.Load()
	if phase >= phaseClosing {
		w.Header().Set("Connection", "close")
	}
	c, refused := g.open(client, r, arrived) // not w, which hides from net/http that a body is too large
	if c != nil {
		defer c.buffer.release()
	}
	if refused == nil && (phase == phaseClosed || !g.completesInTime(c)) {
		refused = errNodeStopping()
	}
	if refused != nil {
		g.refuse(w, r, refused)
		return
	}
	if held := g.cfg.Quarantine.CheckNew(c.fingerprint); held != nil {
		g.fail(w, c, held)
		return
	}
	ctx, cancel := g.requestContext(r.Context(), c.deadline)
	defer cancel()
	if unknown := g.bindResumed(ctx, c); unknown != nil {
		g.fail(w, c, unknown)
		return
	}
	budget := g.budgets.Of(c.service)
	budget.Earn()
	defer c.refundRetry(budget)
	defer g.returnGrants(c)
	g.countDemand(c)
	g.active.Add(1)
	defer g.active.Add(-1)
	if c.route.Kind == Stream {
		g.serveStream(ctx, w, c)
		return
	}
	g.servePlain(ctx, w, c)
}
