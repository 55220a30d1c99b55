// Package node assembles an entry node: the HTTP server for callers, the peer
// server, membership, generations, routing and the bundle in force.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/caller"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/generation"
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/internal/part"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/member"
	"github.com/walnutramp/walnutramp/operator"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/placement"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
	"github.com/walnutramp/walnutramp/target"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Node.
type Config struct {
	Name              walnutramp.NodeName
	DataHall          walnutramp.DataHall
	Site              string
	PeerAddress       string // address at which other nodes reach this one
	Incarnation       walnutramp.Incarnation
	Peers             []member.Node // known from the settings
	Bundle            *bundle.Bundle
	Dial              DialFunc
	LoadInterval      time.Duration
	ProbePeriod       time.Duration
	StopDeadline      time.Duration      // bounds the whole of Stop
	HeaderTimeout     time.Duration      // timeout for reading request headers
	ClientLimits      drain.ClientLimits // of callers
	Seed              uint64
	GenerationOptions []generation.Option
	RouteOptions      []route.Option
	CallerOptions     []caller.Option
	Control           []walnutramp.NodeName // the control group's initial members; empty for none
	Disk              wal.FS                // data directory; nil on nodes without a disk
	Platform          string                // URL of the platform's instance list; empty for none
	Operators         bundle.Operators
	TLS               *tls.Config // between nodes; nil for none
	ControlOptions    []consensus.Option
	OnResume          func(Resume) // called after each resume, by the goroutine that resumed the generation
}

// Option sets a field of Config.
type Option func(*Config)

// WithName sets the names of the node and its data hall.
func WithName(name walnutramp.NodeName, hall walnutramp.DataHall) Option {
	return func(c *Config) { c.Name, c.DataHall = name, hall }
}

// WithSite sets the site's name; nodes reject peers of other sites.
func WithSite(site string) Option { return func(c *Config) { c.Site = site } }

// WithPeers sets this node's peer address and the initially known nodes.
func WithPeers(address string, peers []member.Node) Option {
	return func(c *Config) { c.PeerAddress, c.Peers = address, peers }
}

// WithBundle sets the initial bundle.
func WithBundle(b *bundle.Bundle) Option { return func(c *Config) { c.Bundle = b } }

// WithDial sets the function that opens connections.
func WithDial(d DialFunc) Option { return func(c *Config) { c.Dial = d } }

// WithSeed seeds the node's random choices.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithIncarnation sets the incarnation, which has to grow with each start of the
// node; the default is the current time.
func WithIncarnation(i walnutramp.Incarnation) Option { return func(c *Config) { c.Incarnation = i } }

// WithProbePeriod sets the interval between membership probes.
func WithProbePeriod(d time.Duration) Option { return func(c *Config) { c.ProbePeriod = d } }

// WithLoadInterval sets the interval between polls of a target's load.
func WithLoadInterval(d time.Duration) Option { return func(c *Config) { c.LoadInterval = d } }

// WithStopDeadline sets how long Stop may take until the remaining requests are aborted.
func WithStopDeadline(d time.Duration) Option { return func(c *Config) { c.StopDeadline = d } }

// WithClientLimits sets the limits of callers.
func WithClientLimits(l drain.ClientLimits) Option { return func(c *Config) { c.ClientLimits = l } }

// WithControl sets the control group's initial members and the operators whose signed
// bundles it accepts.
func WithControl(founders []walnutramp.NodeName, operators bundle.Operators) Option {
	return func(c *Config) { c.Control, c.Operators = founders, operators }
}

// WithDisk sets the data directory, which a node needs to be a member of the
// control group.
func WithDisk(fs wal.FS) Option { return func(c *Config) { c.Disk = fs } }

// WithPlatform sets the URL of the platform's instance list.
func WithPlatform(url string) Option { return func(c *Config) { c.Platform = url } }

// WithTLS sets the TLS configuration of connections between nodes.
func WithTLS(t *tls.Config) Option { return func(c *Config) { c.TLS = t } }

// WithControlOptions appends options of the consensus member.
func WithControlOptions(opts ...consensus.Option) Option {
	return func(c *Config) { c.ControlOptions = append(c.ControlOptions, opts...) }
}

// WithOnResume sets a callback for each resumed generation.
func WithOnResume(f func(Resume)) Option { return func(c *Config) { c.OnResume = f } }

// WithGenerationOptions appends options of the generation manager.
func WithGenerationOptions(opts ...generation.Option) Option {
	return func(c *Config) { c.GenerationOptions = append(c.GenerationOptions, opts...) }
}

// WithRouteOptions appends options of the router.
func WithRouteOptions(opts ...route.Option) Option {
	return func(c *Config) { c.RouteOptions = append(c.RouteOptions, opts...) }
}

// WithCallerOptions appends options of the HTTP handler for callers.
func WithCallerOptions(opts ...caller.Option) Option {
	return func(c *Config) { c.CallerOptions = append(c.CallerOptions, opts...) }
}

func defaultConfig() Config {
	var d net.Dialer
	return Config{
		Site:          "default",
		Bundle:        &bundle.Bundle{},
		Dial:          d.DialContext,
		LoadInterval:  500 * time.Millisecond,
		ProbePeriod:   500 * time.Millisecond,
		StopDeadline:  10 * time.Minute,
		HeaderTimeout: 5 * time.Second,
		Incarnation:   walnutramp.Incarnation(time.Now().UnixNano()),
	}
}

// Node is an entry node.
type Node struct {
	cfg     Config
	bundle  atomic.Pointer[bundle.Bundle]
	traffic peer.Traffic
	metrics *nodeMetrics

	members       *member.Detector
	peers         *peer.Client
	peerServer    *peer.Server
	router        *route.Router
	generations   *generation.Manager
	pool          *target.Pool
	loadPoller    *target.LoadPoller
	http          *drain.Server
	control       *control.Client   // nil without a control group
	voter         *consensus.Member // nil without a control group or disk
	voterState    *control.State
	placement     *placement.Controller // active while the voter is the leader
	instanceWatch *discovery.Watch      // nil without a platform
	quarantine    *quarantine.CrashDetector

	newReports  chan struct{}      // signals that there are crash reports to send
	stopGossip  context.CancelFunc // stops the task that sends them
	reportSaver *reportSaver       // nil on nodes without a disk

	stopping atomic.Bool
	tasks    sync.WaitGroup // of startTask; Close does not wait for them
}

// New returns a node; Start makes it serve. WithName is required. New opens files in
// the data directory, if one is set; Close closes them.
func New(opts ...Option) (*Node, error) {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.Name == "" || cfg.DataHall == "" {
		return nil, errors.New("node name and data hall are required")
	}
	n := &Node{cfg: cfg}
	n.bundle.Store(cfg.Bundle)
	n.metrics = newMetricSet(n)
	n.setupPeers()
	n.setupQuarantine()
	if err := n.setupControl(); err != nil {
		return nil, err
	}
	if err := n.setupReport(); err != nil {
		return nil, err
	}
	n.setupTargets()
	n.setupGenerations()
	n.setupCallers()
	return n, nil
}

func (n *Node) setupPeers() {
	self := peer.Identity{Site: n.cfg.Site, Node: n.cfg.Name, Incarnation: n.cfg.Incarnation, TLS: n.cfg.TLS}
	n.peers = peer.NewClient(self, n.cfg.Dial, resolver{n}, &n.traffic)
	n.peerServer = peer.NewServer(self, &n.traffic)
	me := member.Node{Name: n.cfg.Name, DataHall: n.cfg.DataHall, Address: n.cfg.PeerAddress, Incarnation: n.cfg.Incarnation}
	n.members = member.NewDetector(me, n.cfg.Peers, n.peers, member.WithPeriod(n.cfg.ProbePeriod), member.WithSeed(n.cfg.Seed),
		member.WithOnChange(func(member.Node) { n.membersChanged() }))
}

func (n *Node) membersChanged() {
	n.generations.MembersChanged()
	n.router.SetNodes(len(n.members.Live()) + 1)
}

// resolver implements peer.Addresses with the member list, which is created
// after the peer client.
type resolver struct{ n *Node }

// Address implements peer.Addresses.
func (a resolver) Address(name walnutramp.NodeName) (string, bool) { return a.n.members.Address(name) }

func (n *Node) setupTargets() {
	n.pool = target.NewPool(n.cfg.Dial)
	opts := append([]route.Option{
		route.WithNode(n.cfg.Name, n.cfg.DataHall),
		route.WithSeed(n.cfg.Seed),
		route.WithInForce(n.mayAcceptRequests),
		route.WithCooldownLeft(n.pool.CooldownLeft),
	}, n.cfg.RouteOptions...)
	n.router = route.New(opts...)
	n.loadPoller = target.NewLoadPoller(n.pool, n.router, n.cfg.LoadInterval, n.cfg.Seed)
}

func (n *Node) setupGenerations() {
	opts := append([]generation.Option{
		generation.WithPeers(n.peers, directory{n}),
		generation.WithTargets(n.router, n.pool),
		generation.WithBundleSettings(
			func() bundle.Guard { return n.bundle.Load().Guard },
			func() bundle.ResumePreference { return n.bundle.Load().Resume.Leaning },
		),
		generation.WithObserver(n.metrics),
		generation.WithQuarantine(n.quarantine),
	}, n.cfg.GenerationOptions...)
	n.generations = generation.NewManager(opts...)
}

func (n *Node) setupCallers() {
	opts := []caller.Option{
		caller.WithBundle(n.bundle.Load),
		caller.WithGenerations(n.generations),
		caller.WithServices(n.router, n.pool),
		caller.WithObserver(n.metrics),
		caller.WithQuarantine(n.quarantine),
		caller.WithStopping(n.stopping.Load),
	}
	mux := http.NewServeMux()
	if n.control != nil {
		opts = append(opts, caller.WithLedger(n.control))
		mux.Handle("/operator/", operator.NewHandler(n.control, n.statusOfAll))
	}
	h := caller.New(append(opts, n.cfg.CallerOptions...)...)
	mux.Handle("/", h)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /metrics", n.metrics.serve)
	mux.HandleFunc("GET /report", n.metrics.serveReport)
	n.http = drain.New(&http.Server{Handler: mux, ReadHeaderTimeout: n.cfg.HeaderTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}, n.clientLimits()...)
}

// callerShare is the share of the process's resources that connections of callers may take;
// the rest is for targets and other nodes.
const callerShare = 1.0 / 2

func (n *Node) clientLimits() []drain.Option {
	l, r := n.cfg.ClientLimits, drain.ProcessResources(0)
	return []drain.Option{
		drain.WithHeads(r.Heads(l)),
		drain.WithMaxConns(cmp.Or(l.MaxConnections, r.MaxConns(callerShare))),
		drain.WithBodies(r.Bodies(l)),
		drain.WithBodyTimeout(l.BodyTimeout),
	}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	// Version 0 is the empty bundle of a node that has not received one yet.
	if !n.mayAcceptRequests() || n.bundle.Load().Version == 0 {
		http.Error(w, "no bundle is known to be in force", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// directory adapts the member list to generation.Directory.
type directory struct{ n *Node }

// Self implements generation.Directory.
func (d directory) Self() generation.Node { return generationNode(d.n.members.Self()) }

// Live implements generation.Directory.
func (d directory) Live() []generation.Node {
	var nodes []generation.Node
	for _, m := range d.n.members.Live() {
		if m.Status == member.Alive {
			nodes = append(nodes, generationNode(m))
		}
	}
	return nodes
}

// Known implements generation.Directory.
func (d directory) Known() []generation.Node {
	var nodes []generation.Node
	for _, m := range d.n.members.All() {
		if m.Status <= member.Suspect {
			nodes = append(nodes, generationNode(m))
		}
	}
	return nodes
}

func generationNode(m member.Node) generation.Node {
	return generation.Node{
		Member:   generation.Member{Node: m.Name, Incarnation: m.Incarnation},
		DataHall: m.DataHall,
	}
}

// Start starts serving callers and peers on the listeners, until Stop or Close, which
// close them. It returns at once; errors of the running servers are dropped.
func (n *Node) Start(callers, peers net.Listener) error {
	if err := n.peerServer.Register(generation.Service, n.generations.Store()); err != nil {
		return err
	}
	if err := n.peerServer.Register(member.Service, n.members.Handler()); err != nil {
		return err
	}
	if err := n.peerServer.Register(quarantineServiceName, &quarantineService{n.quarantine.Ledger}); err != nil {
		return err
	}
	if err := n.registerControl(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stopGossip = stop
	n.startTask(part.Control, func() { n.gossipQuarantine(ctx) })
	n.startTask(part.Guard, func() { n.peerServer.Serve(peers) })
	n.startTask(part.Callers, func() { n.http.Serve(callers) })
	part.Do(part.Control, func() {
		n.members.Start()
		n.apply(n.cfg.Bundle)
		n.startControl()
		n.startDiscovery()
	})
	klog.InfoS("Node started", "node", n.cfg.Name, "hall", n.cfg.DataHall, "bundle", n.cfg.Bundle.Version)
	return nil
}

// startTask runs f in a goroutine with a pprof label of package part.
func (n *Node) startTask(name string, f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		part.Do(name, f)
	}()
}

func (n *Node) apply(b *bundle.Bundle) {
	n.bundle.Store(b)
	n.router.Apply(b)
	n.loadPoller.Apply(route.Subset(n.cfg.Name, n.cfg.DataHall, b.Targets, route.PerModel))
}

// Members returns the membership detector.
func (n *Node) Members() *member.Detector { return n.members }

// Traffic returns the counters of bytes exchanged with peers.
func (n *Node) Traffic() *peer.Traffic { return &n.traffic }

// Stop shuts the node down gracefully: the node reports not ready and rejects new work,
// waits until load balancers have noticed, waits for the requests in flight, announces
// that it leaves so that its replicas are replaced, and closes. The waits end at the stop
// deadline, or earlier if ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.http.CloseConnections()
	klog.InfoS("Node stopping", "node", n.cfg.Name)
	ctx, cancel := context.WithTimeout(ctx, n.cfg.StopDeadline)
	defer cancel()
	pause.For(ctx, readinessDelay)
	if err := n.http.Shutdown(ctx); err != nil {
		klog.InfoS("Stopping with requests in flight", "node", n.cfg.Name, "err", err)
	}
	n.members.Leave(ctx)
	pause.For(ctx, handoverDelay)
	n.Close()
}

// Delays of a graceful shutdown.
const (
	// readinessDelay gives the load balancer time to see that the node isn't
	// ready, while the node still responds to requests.
	readinessDelay = 2 * time.Second
	// handoverDelay gives other generation owners time to replace this node in
	// their replica sets.
	handoverDelay = 2 * time.Second
)

// Close stops the node at once and aborts the requests in flight. It does not wait until
// the servers' goroutines have ended.
func (n *Node) Close() {
	n.stopping.Store(true)
	if n.stopGossip != nil {
		n.stopGossip()
	}
	n.http.Close()
	n.closeControl()
	n.closeDiscovery()
	n.closeReport()
	n.members.Close()
	n.loadPoller.Close()
	n.generations.Close()
	n.quarantine.Close()
	n.peers.Close()
	n.peerServer.Close()
	n.pool.Close()
}
