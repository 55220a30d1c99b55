package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/loadshare"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/quota"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Times of a planned stop, since the order. Where the grace is short, they are
// its parts.
const (
	stopClosing      = 2500 * time.Millisecond // connections are closed after their answer
	stopRefuse       = 3 * time.Second         // connections at rest are closed, requests refused
	stopReserve      = 300 * time.Millisecond  // before the kill
	stopClosingShare = 0.6
	stopRefuseShare  = 0.75
)

// stopTimes are the steps of a planned stop, since the order.
type stopTimes struct {
	closing time.Duration
	refuse  time.Duration
	end     time.Duration // what is left is cut off
}

func stopTimesOf(grace time.Duration) stopTimes {
	end := max(0, grace-stopReserve)
	part := func(share float64) time.Duration { return time.Duration(share * float64(end)) }
	return stopTimes{closing: min(stopClosing, part(stopClosingShare)), refuse: min(stopRefuse, part(stopRefuseShare)), end: end}
}

// Bounds of what clients may take up before a configuration is known.
const (
	headTimeout  = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	maxHeadBytes = 64 << 10
)

// A node is told the list of targets by the control group. One that is not told it reads
// it itself, after a time drawn between these: of hundreds that start together few do.
const (
	leastListWait   = 2 * time.Second
	longestListWait = 10 * time.Second
)

// tracesFile keeps where the copies of runs are, over a kill.
const tracesFile = "traces"

// entry answers clients.
type entry struct {
	gateway *gateway.Gateway
	pool    *targetconn.Pool
	sharer  *loadshare.Sharer
	front   *http.Server
	ready   *http.Server
	agent   *rollout.Agent    // of roll-outs; nil where there are none
	counter *metering.Counter // of requests; nil where nothing is metered
	witness *quarantine.Witness
}

func (p *Process) startEntry() error {
	s, names := p.settings, p.adapter.Names()
	targets := p.newTracker()
	pool := targetconn.NewPool(targetconn.WithIdentityHeader(names.Identity), targetconn.WithDialed(
		func(e targetconn.Endpoint, took time.Duration) { targets.NoteRoundTrip(e.ID, took) }),
		targetconn.WithKept(func(e targetconn.Endpoint, until time.Time) { targets.SetKept(e.ID, until) }))
	bound := balance.BudgetConfig{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow}
	part := quota.NewHolder(bound.TakenWithin())
	bound.Part = part.Part
	budgets := balance.NewBudgets(bound)
	witness := quarantine.NewWitness(quarantine.New(), pool.Dial)
	sharer, err := p.newSharer(targets, budgets, witness.Ledger)
	if err != nil {
		return err
	}
	var g *gateway.Gateway
	taker := &targetTaker{targets: targets, pool: pool, started: func() { g.Started() }}
	poller := discovery.NewPoller(p.adapter.Source(true), taker, discovery.WithPatience(leastListWait+rand.N(longestListWait-leastListWait)))
	adopt := func(version uint64, doc []byte) error {
		table, err := p.adapter.Table(doc)
		if err == nil {
			g.SetTable(table)
		}
		return err
	}
	p.client = control.NewDocumentClient(p.peers, s.Seeds, adopt)
	options := []gateway.Option{gateway.WithNames(names), gateway.WithLease(p.lease()), gateway.WithFind(findBy(sharer)), gateway.WithBorrow(sharer.Borrow),
		gateway.WithQuarantine(witness)}
	var agent *rollout.Agent
	if s.Rollouts.Enabled() {
		agent = rollout.NewAgent(rand.Uint64())
		options = append(options, gateway.WithRollouts(agent))
		p.client.WithRollouts(agent)
	}
	counter := p.meterEntry()
	options = append(options, gateway.WithMetering(counter))
	g = gateway.New(targets, pool, budgets, poller.Soon, options...)
	if s.Scales {
		p.client.WithDemand(g.Demand)
	}
	p.client.WithQuota(part)
	p.client.AsEntry(control.EntryPlace{Address: s.PeerListen, DataHall: s.DataHall, Disk: s.DataDir != ""}, tellPeers(sharer))
	p.client.FeedTargets(poller.Fed)
	p.entry = &entry{gateway: g, pool: pool, agent: agent, counter: counter, sharer: sharer, witness: witness}
	if err := p.listenEntry(g); err != nil {
		return err
	}
	p.client.Start()
	go poller.Run(p.ctx)
	go sharer.Run(p.ctx)
	return nil
}

// targetTaker takes the list of targets for an entry.
type targetTaker struct {
	targets *balance.Tracker
	pool    *targetconn.Pool
	started func()
}

// TakeList implements discovery.Taker.
func (t *targetTaker) TakeList(list []discovery.Target) {
	t.forget(t.targets.Update(list))
	t.started()
}

// TakeChange implements discovery.Taker.
func (t *targetTaker) TakeChange(c discovery.Change) { t.forget(t.targets.Change(c)) }

// forget closes the connections to lives of targets that are over.
func (t *targetTaker) forget(lives []string) {
	for _, life := range lives {
		t.pool.Forget(life)
	}
}

// newTracker returns the tracker of targets.
func (p *Process) newTracker() *balance.Tracker {
	options := []balance.Option{balance.WithDataHall(p.settings.DataHall), balance.WithTopology(p.settings.Topology)}
	if p.settings.Policy != "" {
		options = append(options, balance.WithPolicy(p.settings.Policy))
	}
	return balance.NewTracker(options...)
}

// newSharer returns what tells other entries of this one's runs.
func (p *Process) newSharer(targets *balance.Tracker, budgets *balance.Budgets, ledger *quarantine.Ledger) (*loadshare.Sharer, error) {
	s := p.settings
	conn, err := net.ListenPacket("udp", s.PeerListen)
	if err != nil {
		return nil, err
	}
	options := []loadshare.Option{loadshare.WithDataHall(s.DataHall), loadshare.WithTopology(s.Topology),
		loadshare.WithQuarantine(ledger)}
	if s.DataDir != "" {
		options = append(options, loadshare.WithMemory(filepath.Join(s.DataDir, tracesFile)))
	}
	return loadshare.New(conn, targets, budgets, options...), nil
}

// tellPeers returns what names the site's entries to a sharer.
func tellPeers(sharer *loadshare.Sharer) control.SeenFunc {
	return func(entries []control.EntryPlace, same bool) {
		if same {
			sharer.PeersStill()
			return
		}
		peers := make([]loadshare.Peer, len(entries))
		for i, e := range entries {
			peers[i] = loadshare.Peer(e)
		}
		sharer.SetPeers(peers)
	}
}

// findBy returns what learns of runs of a key that other nodes had. A request
// that comes again may have run in any region.
func findBy(sharer *loadshare.Sharer) func(ctx context.Context, key string, again bool) {
	return func(ctx context.Context, key string, again bool) {
		if again {
			sharer.FindAnywhere(ctx, key)
		} else {
			sharer.Find(ctx, key)
		}
	}
}

// listenEntry answers clients and the balancer.
func (p *Process) listenEntry(g *gateway.Gateway) error {
	clients, err := net.Listen("tcp", p.settings.EntryListen)
	if err != nil {
		return err
	}
	p.entry.front = newServer(g)
	serveOn(p.entry.front, &boundedListener{Listener: clients, limits: g.Limits})
	p.entry.ready, err = listen(p.settings.ReadyListen, p.adapter.Ready(g.Ready))
	return err
}

// lease says whether new work may be taken: always, unless the site wants
// nodes that are cut off from the control group to take none.
func (p *Process) lease() func() bool {
	if !p.settings.FailClosed {
		return nil
	}
	return func() bool { return p.client.InForce() }
}

// listen serves HTTP on an address.
func listen(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := newServer(h)
	serveOn(server, l)
	return server, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}
}

func serveOn(server *http.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			klog.ErrorS(err, "Listener ended", "address", l.Addr())
		}
	}()
}

// stop lets the balancer see that the node leaves, serves what still comes,
// and finishes what is under way.
func (e *entry) stop(grace time.Duration) {
	times := stopTimesOf(grace)
	end := uptime.Now().Add(times.end)
	e.gateway.Leave(end)
	time.Sleep(times.closing)
	e.gateway.CloseConnections()
	time.Sleep(times.refuse - times.closing)
	e.gateway.Refuse()
	ctx, cancel := context.WithTimeout(context.Background(), uptime.Until(end))
	defer cancel()
	if err := e.front.Shutdown(ctx); err != nil {
		klog.InfoS("Requests are cut off at the end of the grace", "err", err)
		e.front.Close()
	}
	e.ready.Close()
	e.witness.Close()
	e.pool.Close()
}
