package serve

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/loadshare"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/origins"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/quota"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Times of a graceful shutdown, measured from the stop request.
const (
	connCloseDelay = 2500 * time.Millisecond // from then on connections are closed after each response
	rejectDelay    = 3 * time.Second         // from then on new requests are rejected
	killMargin     = 300 * time.Millisecond  // between the shutdown deadline and the platform's kill at the end of the grace period
	answerTime     = 200 * time.Millisecond  // from the shutdown deadline on, for the final answers of the remaining requests
	answerCost     = time.Millisecond        // further time for each of these answers, on a fifth of a processor
	maxEndingShare = 1.0 / 6                 // end of the grace period before which no request is ended, as a fraction
	connCloseShare = 0.6                     // upper limit of connCloseDelay, as a fraction of the shutdown deadline
	rejectShare    = 0.75                    // upper limit of rejectDelay, as a fraction of the shutdown deadline
	cutOffWait     = 100 * time.Millisecond  // upper limit of the wait for the handlers of aborted requests
)

// shutdownSchedule holds the steps of a graceful shutdown, measured from the
// stop request.
type shutdownSchedule struct {
	closeConns time.Duration
	reject     time.Duration
	deadline   time.Duration // remaining requests are ended, or before if they are many
	maxEarly   time.Duration // how long before
}

func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	deadline := max(0, grace-killMargin)
	fraction := func(share float64) time.Duration { return time.Duration(share * float64(deadline)) }
	return shutdownSchedule{closeConns: min(connCloseDelay, fraction(connCloseShare)), reject: min(rejectDelay, fraction(rejectShare)), deadline: deadline,
		maxEarly: max(0, time.Duration(maxEndingShare*float64(grace))-killMargin)}
}

// early returns how long before the deadline a number of requests must be ended, so that their
// final answers are written in time.
func (s shutdownSchedule) early(requests int) time.Duration {
	return min(s.maxEarly, time.Duration(requests)*answerCost)
}

// An entry node normally receives the target list from the control group. If it
// does not, it reads the list itself after a random wait between these bounds, so
// that nodes that start together do not all query the platform.
const (
	minListWait = 2 * time.Second
	maxListWait = 10 * time.Second
)

// tracesFile is the file in the data directory in which an entry keeps the locations of
// the KV-cache copies of runs across restarts.
const tracesFile = "traces"

// entry is the part of a process that serves clients.
type entry struct {
	gateway        *gateway.Gateway
	pool           *targetconn.Pool
	sharer         *loadshare.Sharer
	retryQuota     *quota.Holder
	egress         *egress.Server // nil if other nodes can't send requests through this one
	clientServer   *drain.Server
	readyServer    *drain.Server
	rolloutAgent   *rollout.Agent    // nil if roll-outs are disabled
	requestCounter *metering.Counter // nil if metering is disabled
	quarantine     *quarantine.CrashDetector
}

func (p *Process) startEntry(self peer.Identity) error {
	s, names := p.settings, p.adapter.Names()
	targets := p.newTracker()
	pool := p.newTargetPool(targets, names.Identity)
	budgetConfig := balance.BudgetConfig{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
	streamOrigins := origins.New(targets)
	quotaHolder := quota.NewHolder(quotaSpan(&budgetConfig), quota.WithOnFirst(streamOrigins.NothingBefore))
	ownership := quota.NewOwnership(quotaHolder, s.PeerListen, ratelimit.Span)
	limiter := ratelimit.New(ratelimit.WithOwnership(ownership))
	slots := inflight.New(inflight.WithOwnership(ownership))
	budgetConfig.Share = quotaHolder.Share
	budgets := balance.NewBudgets(budgetConfig)
	crashDetector := quarantine.NewCrashDetector(quarantine.New(), pool.Dial)
	sharer, err := p.newSharer(targets, budgets, loadshare.WithQuarantine(crashDetector.Ledger), loadshare.WithLimits(limiter), loadshare.WithLeases(slots), loadshare.WithOrigins(streamOrigins))
	if err != nil {
		return err
	}
	limiter.SetNetwork(sharer)
	slots.SetNetwork(sharer)
	streamOrigins.SetNetwork(sharer.Origins())
	var g *gateway.Gateway
	receiver := &targetReceiver{targets: targets, pool: pool, onList: func() { g.Started() }}
	poller := discovery.NewPoller(p.adapter.Source(true), receiver, discovery.WithInitialDelay(minListWait+rand.N(maxListWait-minListWait)))
	apply := func(version uint64, doc []byte) error {
		table, err := p.adapter.Table(doc)
		if err == nil {
			g.SetTable(table)
		}
		return err
	}
	p.client = control.NewDocumentClient(p.peers, s.Seeds, apply)
	options := []gateway.Option{gateway.WithNames(names), gateway.WithHeads(p.heads), gateway.WithLease(p.leaseCheck()), gateway.WithFind(priorRunFinder(sharer)), gateway.WithBorrow(sharer.Borrow),
		gateway.WithQuarantine(crashDetector), gateway.WithLimits(limiter), gateway.WithInFlight(slots), gateway.WithOrigins(streamOrigins),
		gateway.WithEgress(egress.NewSender(egress.NewClient(self, dialer().DialContext, &p.traffic), sharer))}
	var agent *rollout.Agent
	if s.Rollouts.Enabled() {
		agent = rollout.NewAgent(rand.Uint64())
		options = append(options, gateway.WithRollouts(agent))
		p.client.WithRollouts(agent)
	}
	counter := p.newRequestCounter()
	options = append(options, gateway.WithMetering(counter))
	g = gateway.New(targets, pool, budgets, poller.RequestRead, options...)
	if s.Scales {
		p.client.WithDemand(g.Demand)
	}
	p.client.WithQuota(quotaHolder)
	p.client.WithOwnership(ownership)
	p.client.RegisterEntryNode(control.EntryNode{Address: s.PeerListen, DataHall: s.DataHall, Disk: s.DataDir != ""}, peerUpdater(sharer))
	p.client.OnTargets(poller.ApplyFeed)
	p.entry = &entry{gateway: g, pool: pool, rolloutAgent: agent, requestCounter: counter, sharer: sharer, retryQuota: quotaHolder, quarantine: crashDetector}
	if err := p.serveEgress(self, g, sharer); err != nil {
		return err
	}
	if err := p.listenEntry(g); err != nil {
		return err
	}
	p.client.Start()
	go poller.Run(p.ctx)
	go sharer.Run(p.ctx)
	return nil
}

// maxRelayedBody bounds the body of another node's request, in bytes: the configuration of
// that node bounds what clients send.
const maxRelayedBody = 64 << 20

// serveEgress serves requests that other nodes send through this one. A member of the
// control group uses the address for its calls.
func (p *Process) serveEgress(self peer.Identity, g *gateway.Gateway, sharer *loadshare.Sharer) error {
	if p.replica != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.settings.PeerListen)
	if err != nil {
		return err
	}
	p.entry.egress = egress.NewServer(g, maxRelayedBody)
	go p.entry.egress.Serve(l, self, &p.traffic)
	sharer.SetReachHandler(g)
	return nil
}

// quotaSpan returns the span after which what a node used of its share no longer counts:
// that of the retry budget or of the targets' rate limits, which share the set of nodes.
func quotaSpan(budget *balance.BudgetConfig) time.Duration {
	return max(budget.SpendPeriod(), ratelimit.Span)
}

// targetReceiver applies target list updates to an entry.
type targetReceiver struct {
	targets *balance.Tracker
	pool    *targetconn.Pool
	onList  func()
}

// SetList implements discovery.ListHandler. The first list lets waiting requests start.
func (t *targetReceiver) SetList(list []discovery.Target) {
	t.closeConnections(t.targets.Update(list))
	t.onList()
}

// ApplyChange implements discovery.ListHandler.
func (t *targetReceiver) ApplyChange(c discovery.Change) {
	t.closeConnections(t.targets.ApplyChange(c))
}

// closeConnections closes the connections to target incarnations that have ended.
func (t *targetReceiver) closeConnections(incarnations []string) {
	for _, incarnation := range incarnations {
		t.pool.CloseIdle(incarnation)
	}
}

func (p *Process) newTracker() *balance.Tracker {
	options := []balance.Option{balance.WithDataHall(p.settings.DataHall), balance.WithTopology(p.settings.Topology)}
	if p.settings.Policy != "" {
		options = append(options, balance.WithPolicy(p.settings.Policy))
	}
	return balance.NewTracker(options...)
}

// newTargetPool returns the pool of connections to targets, which reports to the tracker.
func (p *Process) newTargetPool(targets *balance.Tracker, identityHeader string) *targetconn.Pool {
	options := []targetconn.Option{
		targetconn.WithIdentityHeader(identityHeader),
		targetconn.WithOnDial(func(e targetconn.Endpoint, took time.Duration) { targets.RecordRoundTrip(e.ID, took) }),
		targetconn.WithOnKept(func(e targetconn.Endpoint, until time.Time) { targets.SetConnectedUntil(e.ID, until) }),
	}
	if source := net.ParseIP(p.settings.TargetSource); source != nil {
		options = append(options, targetconn.WithDial(targetconn.NewDialer(source).DialContext))
	}
	if p.targetDial != nil {
		options = append(options, targetconn.WithDial(p.targetDial))
	}
	return targetconn.NewPool(options...)
}

// newSharer returns the sharer that exchanges load and run state with other
// entries over UDP.
func (p *Process) newSharer(targets *balance.Tracker, budgets *balance.Budgets, options ...loadshare.Option) (*loadshare.Sharer, error) {
	s := p.settings
	conn, err := net.ListenPacket("udp", s.PeerListen)
	if err != nil {
		return nil, err
	}
	options = append(options, loadshare.WithDataHall(s.DataHall), loadshare.WithTopology(s.Topology))
	if s.DataDir != "" {
		options = append(options, loadshare.WithStateFile(filepath.Join(s.DataDir, tracesFile)))
	}
	return loadshare.New(conn, targets, budgets, options...), nil
}

// peerUpdater returns a callback that passes the site's entries on to a sharer.
func peerUpdater(sharer *loadshare.Sharer) control.EntryNodesFunc {
	return func(entries []control.EntryNode, unchanged bool) {
		if unchanged {
			sharer.ConfirmPeers()
			return
		}
		peers := make([]loadshare.Peer, len(entries))
		for i, e := range entries {
			peers[i] = loadshare.Peer(e)
		}
		sharer.SetPeers(peers)
	}
}

// priorRunFinder returns a function that asks other nodes about earlier runs with a prompt
// key and about copies of a stream. For a resumed request it also asks other regions, since
// the earlier run may be in any of them.
func priorRunFinder(sharer *loadshare.Sharer) func(ctx context.Context, key string, stream balance.StreamID, resumed bool) {
	return func(ctx context.Context, key string, stream balance.StreamID, resumed bool) {
		if resumed {
			sharer.FindAnywhere(ctx, key, stream)
		} else {
			sharer.Find(ctx, key, stream)
		}
	}
}

// listenEntry starts the servers for clients and for the load balancer's
// readiness checks.
func (p *Process) listenEntry(g *gateway.Gateway) error {
	clients, err := net.Listen("tcp", p.settings.EntryListen)
	if err != nil {
		return err
	}
	p.entry.clientServer = p.newServer(g, p.maxClientConns(), drain.WithHeadBytes(headBytes(g)))
	p.entry.clientServer.MaxHeaderBytes = math.MaxInt32 // headBytes is the limit
	serveInBackground(p.entry.clientServer, &timeoutListener{Listener: clients, limits: g.Limits})
	p.entry.readyServer, err = p.listen(p.settings.ReadyListen, readyShare, p.adapter.Ready(g.Ready))
	return err
}

// headBytes returns a function that returns the maximum size of a client's request head.
func headBytes(g *gateway.Gateway) func() int {
	return func() int {
		if limit := g.Limits().HeaderBytes; limit > 0 {
			return limit
		}
		return maxHeaderBytes
	}
}

// leaseCheck returns a function that reports whether new requests may be accepted.
// It returns nil (no check) unless FailClosed is set. Then a node whose lease from the
// control group has expired rejects new requests.
func (p *Process) leaseCheck() func() bool {
	if !p.settings.FailClosed {
		return nil
	}
	return func() bool { return p.client.InForce() }
}

// earlyPollInterval is how often a stop counts the requests in flight.
const earlyPollInterval = 10 * time.Millisecond

// endEarly calls end before the deadline if the requests in flight are many.
func (e *entry) endEarly(ctx context.Context, schedule shutdownSchedule, deadline time.Time, end func()) {
	for pause.For(ctx, earlyPollInterval) {
		if uptime.Until(deadline) <= schedule.early(e.gateway.InFlight()) {
			end()
		}
	}
}

// stopEgress waits for the requests of other nodes until ctx ends. It then ends them, and
// aborts those that have not ended by closeAt.
func (e *entry) stopEgress(ctx context.Context, closeAt time.Time) {
	if e.egress == nil || e.egress.Shutdown(ctx) == nil {
		return
	}
	klog.InfoS("Requests of other nodes are ended at the end of the grace")
	e.gateway.EndRequests()
	ending, cancel := context.WithTimeout(context.Background(), uptime.Until(closeAt))
	defer cancel()
	if err := e.egress.Shutdown(ending); err != nil {
		klog.InfoS("Requests of other nodes are cut off", "err", err)
		e.egress.Close()
	}
}

// stopClients waits for the requests of clients until ctx ends. It then ends them, and aborts
// those whose final answers are not written by closeAt.
func (e *entry) stopClients(ctx context.Context, closeAt time.Time) {
	if e.clientServer.Shutdown(ctx) == nil {
		return
	}
	klog.InfoS("Requests are ended at the end of the grace", "requests", e.gateway.InFlight())
	e.gateway.EndRequests()
	ending, cancel := context.WithTimeout(context.Background(), uptime.Until(closeAt))
	defer cancel()
	if err := e.clientServer.Shutdown(ending); err != nil {
		klog.InfoS("Requests are cut off", "err", err)
		e.clientServer.Close()
		e.clientServer.AwaitHandlers(cutOffWait) // otherwise the log may not name the streams cut off
	}
}

// stop shuts the entry down gracefully: it reports not ready to the load balancer,
// goes on serving until the balancer has reacted, then rejects new requests and
// waits for those in flight.
func (e *entry) stop(grace time.Duration) {
	schedule := newShutdownSchedule(grace)
	deadline := uptime.Now().Add(schedule.deadline)
	e.gateway.BeginShutdown(deadline)
	time.Sleep(schedule.closeConns)
	e.gateway.CloseConnections()
	e.clientServer.CloseConnections() // also behind answers in flight
	time.Sleep(schedule.reject - schedule.closeConns)
	e.gateway.RejectRequests()
	ctx, cancel := context.WithTimeout(context.Background(), uptime.Until(deadline))
	defer cancel()
	go e.endEarly(ctx, schedule, deadline, cancel)
	closeAt := deadline.Add(answerTime)
	var relayed sync.WaitGroup
	relayed.Go(func() { e.stopEgress(ctx, closeAt) })
	e.stopClients(ctx, closeAt)
	relayed.Wait()
	ending, cancelEnding := context.WithTimeout(context.Background(), min(answerTime, uptime.Until(closeAt)))
	defer cancelEnding()
	e.gateway.AwaitStopOrders(ending) // for the streams cut off: their clients take them up elsewhere
	e.readyServer.Close()
	e.gateway.Close()
	e.quarantine.Close()
	e.pool.Close()
}
