// Package node wires the parts into one entry node: the HTTP front for
// callers, the peer server, membership, generations, routing and the bundle
// in force.
package node

import (
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

// Config sets up a Node.
type Config struct {
	Name          walnutramp.NodeName
	DataHall      walnutramp.DataHall
	Site          string
	PeerAddress   string // as other nodes reach this one
	Incarnation   walnutramp.Incarnation
	Peers         []member.Node // known from the settings
	Bundle        *bundle.Bundle
	Dial          DialFunc
	LoadInterval  time.Duration
	ProbePeriod   time.Duration
	StopDeadline  time.Duration // for running work after a stop was asked for
	HeaderTime    time.Duration // for a request's headers
	Seed          uint64
	GenerationOpt []generation.Option
	RouteOpt      []route.Option
	CallerOpt     []caller.Option
	Control       []walnutramp.NodeName // the control group's founders; empty for none
	Disk          wal.FS                // the data folder, on nodes that have one
	Platform      string                // URL of the platform's list; empty for none
	Operators     bundle.Operators
	TLS           *tls.Config // between nodes; nil for none
	ControlOpt    []consensus.Option
	OnResume      func(Resume) // told of every resume
}

// Option sets a field of Config.
type Option func(*Config)

// WithName names the node and its data hall.
func WithName(name walnutramp.NodeName, hall walnutramp.DataHall) Option {
	return func(c *Config) { c.Name, c.DataHall = name, hall }
}

// WithSite names the site; nodes of different sites refuse each other.
func WithSite(site string) Option { return func(c *Config) { c.Site = site } }

// WithPeers gives this node's peer address and the nodes known at start.
func WithPeers(address string, peers []member.Node) Option {
	return func(c *Config) { c.PeerAddress, c.Peers = address, peers }
}

// WithBundle gives the bundle the node starts with.
func WithBundle(b *bundle.Bundle) Option { return func(c *Config) { c.Bundle = b } }

// WithDial replaces how connections are opened.
func WithDial(d DialFunc) Option { return func(c *Config) { c.Dial = d } }

// WithSeed makes the node's random choices repeatable.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithIncarnation sets the number of this run; by default it is the time.
func WithIncarnation(i walnutramp.Incarnation) Option { return func(c *Config) { c.Incarnation = i } }

// WithProbePeriod sets the time between membership probes.
func WithProbePeriod(d time.Duration) Option { return func(c *Config) { c.ProbePeriod = d } }

// WithLoadInterval sets the time between load reports of one target.
func WithLoadInterval(d time.Duration) Option { return func(c *Config) { c.LoadInterval = d } }

// WithStopDeadline sets how long running work may go on after Stop.
func WithStopDeadline(d time.Duration) Option { return func(c *Config) { c.StopDeadline = d } }

// WithControl names the control group's founders and the operators whose
// bundles it takes.
func WithControl(founders []walnutramp.NodeName, operators bundle.Operators) Option {
	return func(c *Config) { c.Control, c.Operators = founders, operators }
}

// WithDisk gives the data folder; with one, a node can be a member of the
// control group.
func WithDisk(fs wal.FS) Option { return func(c *Config) { c.Disk = fs } }

// WithPlatform gives the URL of the platform's list of instances.
func WithPlatform(url string) Option { return func(c *Config) { c.Platform = url } }

// WithTLS secures the connections between nodes.
func WithTLS(t *tls.Config) Option { return func(c *Config) { c.TLS = t } }

// WithControlOptions passes options on to the control group's member.
func WithControlOptions(opts ...consensus.Option) Option {
	return func(c *Config) { c.ControlOpt = append(c.ControlOpt, opts...) }
}

// WithOnResume gives who is told of every resume.
func WithOnResume(f func(Resume)) Option { return func(c *Config) { c.OnResume = f } }

// WithGenerationOptions passes options on to the generation manager.
func WithGenerationOptions(opts ...generation.Option) Option {
	return func(c *Config) { c.GenerationOpt = append(c.GenerationOpt, opts...) }
}

// WithRouteOptions passes options on to the router.
func WithRouteOptions(opts ...route.Option) Option {
	return func(c *Config) { c.RouteOpt = append(c.RouteOpt, opts...) }
}

// WithCallerOptions passes options on to the callers' handler.
func WithCallerOptions(opts ...caller.Option) Option {
	return func(c *Config) { c.CallerOpt = append(c.CallerOpt, opts...) }
}

func defaultConfig() Config {
	var d net.Dialer
	return Config{
		Site:         "default",
		Bundle:       &bundle.Bundle{},
		Dial:         d.DialContext,
		LoadInterval: 500 * time.Millisecond,
		ProbePeriod:  500 * time.Millisecond,
		StopDeadline: 10 * time.Minute,
		HeaderTime:   5 * time.Second,
		Incarnation:  walnutramp.Incarnation(time.Now().UnixNano()),
	}
}

// Node is one entry node.
type Node struct {
	cfg     Config
	bundle  atomic.Pointer[bundle.Bundle]
	traffic peer.Traffic
	metrics *metricSet

	members     *member.Detector
	peers       *peer.Client
	peerServer  *peer.Server
	router      *route.Router
	generations *generation.Manager
	pool        *target.Pool
	watch       *target.Watch
	http        *http.Server
	control     *control.Client   // nil where the bundle comes from a file
	voter       *consensus.Member // nil on nodes without a disk
	voterState  *control.State
	placer      *placement.Controller // gives orders while the voter leads
	instances   *discovery.Watch      // nil for none
	quarantine  *quarantine.Witness

	quarantineNews chan struct{}      // there are notes to be told
	quarantineStop context.CancelFunc // of the task that tells them
	report         *reportKeeper      // nil on nodes without a disk

	stopping atomic.Bool
	tasks    sync.WaitGroup
}

// New returns a node that is not serving yet.
func New(opts ...Option) (*Node, error) {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	if cfg.Name == "" || cfg.DataHall == "" {
		return nil, errors.New("a node needs a name and a data hall")
	}
	n := &Node{cfg: cfg}
	n.bundle.Store(cfg.Bundle)
	n.metrics = newMetricSet(n)
	n.wirePeers()
	n.wireQuarantine()
	if err := n.wireControl(); err != nil {
		return nil, err
	}
	if err := n.wireReport(); err != nil {
		return nil, err
	}
	n.wireTargets()
	n.wireGenerations()
	n.wireCallers()
	return n, nil
}

func (n *Node) wirePeers() {
	self := peer.Identity{Site: n.cfg.Site, Node: n.cfg.Name, Incarnation: n.cfg.Incarnation, TLS: n.cfg.TLS}
	n.peers = peer.NewClient(self, n.cfg.Dial, addresses{n}, &n.traffic)
	n.peerServer = peer.NewServer(self, &n.traffic)
	me := member.Node{Name: n.cfg.Name, DataHall: n.cfg.DataHall, Address: n.cfg.PeerAddress, Incarnation: n.cfg.Incarnation}
	n.members = member.NewDetector(me, n.cfg.Peers, n.peers, member.WithPeriod(n.cfg.ProbePeriod), member.WithSeed(n.cfg.Seed),
		member.WithOnChange(func(member.Node) { n.membersChanged() }))
}

func (n *Node) membersChanged() {
	n.generations.MembersChanged()
	n.router.SetNodes(len(n.members.Live()) + 1)
}

// addresses delays the look-up until the member list exists.
type addresses struct{ n *Node }

// Address implements peer.Addresses.
func (a addresses) Address(name walnutramp.NodeName) (string, bool) { return a.n.members.Address(name) }

func (n *Node) wireTargets() {
	n.pool = target.NewPool(n.cfg.Dial)
	opts := append([]route.Option{
		route.WithNode(n.cfg.Name, n.cfg.DataHall),
		route.WithSeed(n.cfg.Seed),
		route.WithInForce(n.inForce),
		route.WithRestLeft(n.pool.RestLeft),
	}, n.cfg.RouteOpt...)
	n.router = route.New(opts...)
	n.watch = target.NewWatch(n.pool, n.router, n.cfg.LoadInterval, n.cfg.Seed)
}

func (n *Node) wireGenerations() {
	opts := append([]generation.Option{
		generation.WithPeers(n.peers, directory{n}),
		generation.WithTargets(n.router, n.pool),
		generation.WithLeanings(
			func() bundle.Guard { return n.bundle.Load().Guard },
			func() bundle.Leaning { return n.bundle.Load().Resume.Leaning },
		),
		generation.WithObserver(n.metrics),
		generation.WithQuarantine(n.quarantine),
	}, n.cfg.GenerationOpt...)
	n.generations = generation.NewManager(opts...)
}

func (n *Node) wireCallers() {
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
	h := caller.New(append(opts, n.cfg.CallerOpt...)...)
	mux.Handle("/", h)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /metrics", n.metrics.serve)
	mux.HandleFunc("GET /report", n.metrics.serveReport)
	n.http = &http.Server{Handler: mux, ReadHeaderTimeout: n.cfg.HeaderTime, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if !n.inForce() || n.bundle.Load().Version == 0 {
		http.Error(w, "no bundle is known to be in force", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// directory shows the member list to generations.
type directory struct{ n *Node }

// Self implements generation.Directory.
func (d directory) Self() generation.Node { return asReplica(d.n.members.Self()) }

// Live implements generation.Directory.
func (d directory) Live() []generation.Node {
	var nodes []generation.Node
	for _, m := range d.n.members.Live() {
		if m.Status == member.Alive {
			nodes = append(nodes, asReplica(m))
		}
	}
	return nodes
}

// Known implements generation.Directory.
func (d directory) Known() []generation.Node {
	var nodes []generation.Node
	for _, m := range d.n.members.All() {
		if m.Status <= member.Suspect {
			nodes = append(nodes, asReplica(m))
		}
	}
	return nodes
}

func asReplica(m member.Node) generation.Node {
	return generation.Node{
		Member:   generation.Member{Node: m.Name, Incarnation: m.Incarnation},
		DataHall: m.DataHall,
	}
}

// Start serves callers and peers on the listeners until Stop or Close.
func (n *Node) Start(callers, peers net.Listener) error {
	if err := n.peerServer.Register(generation.Service, n.generations.Store()); err != nil {
		return err
	}
	if err := n.peerServer.Register(member.Service, n.members.Handler()); err != nil {
		return err
	}
	if err := n.peerServer.Register(quarantineName, &quarantineService{n.quarantine.Ledger}); err != nil {
		return err
	}
	if err := n.registerControl(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.quarantineStop = stop
	n.task(part.Control, func() { n.tellQuarantine(ctx) })
	n.task(part.Guard, func() { n.peerServer.Serve(peers) })
	n.task(part.Callers, func() { n.http.Serve(callers) })
	part.Do(part.Control, func() {
		n.members.Start()
		n.apply(n.cfg.Bundle)
		n.startControl()
		n.startDiscovery()
	})
	klog.InfoS("Node started", "node", n.cfg.Name, "hall", n.cfg.DataHall, "bundle", n.cfg.Bundle.Version)
	return nil
}

func (n *Node) task(name string, f func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		part.Do(name, f)
	}()
}

func (n *Node) apply(b *bundle.Bundle) {
	n.bundle.Store(b)
	n.router.Apply(b)
	n.watch.Apply(route.Subset(n.cfg.Name, n.cfg.DataHall, b.Targets, route.PerModel))
}

// Members returns the node's view of the others.
func (n *Node) Members() *member.Detector { return n.members }

// Traffic returns the bytes exchanged with peers so far.
func (n *Node) Traffic() *peer.Traffic { return &n.traffic }

// Stop is a planned stop: the node says that it isn't ready, takes no new
// work, lets running work end, hands its replicas over, and leaves. It
// returns early if ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.http.SetKeepAlivesEnabled(false)
	klog.InfoS("Node stopping", "node", n.cfg.Name)
	ctx, cancel := context.WithTimeout(ctx, n.cfg.StopDeadline)
	defer cancel()
	pause.For(ctx, noticeTime)
	if err := n.http.Shutdown(ctx); err != nil {
		klog.InfoS("Node stops with work under way", "node", n.cfg.Name, "err", err)
	}
	n.members.Leave(ctx)
	pause.For(ctx, handOverTime)
	n.Close()
}

// Times of a planned stop.
const (
	// noticeTime lets the balancer see that the node isn't ready, while the
	// node still answers those who come.
	noticeTime = 2 * time.Second
	// handOverTime lets other owners replace this node in their replica sets.
	handOverTime = 2 * time.Second
)

// Close ends the node at once, as a crash would.
func (n *Node) Close() {
	n.stopping.Store(true)
	if n.quarantineStop != nil {
		n.quarantineStop()
	}
	n.http.Close()
	n.closeControl()
	n.closeDiscovery()
	n.closeReport()
	n.members.Close()
	n.watch.Close()
	n.generations.Close()
	n.quarantine.Close()
	n.peers.Close()
	n.peerServer.Close()
	n.pool.Close()
}
