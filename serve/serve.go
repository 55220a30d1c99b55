// Package serve assembles the server process of a site: an entry that serves
// clients, a member of the control group, or both. Site-specific settings,
// protocols and APIs are provided by an Adapter.
package serve

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/duty"
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/internal/build"
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
	"github.com/walnutramp/walnutramp/topology"
	"k8s.io/klog/v2"
)

// Settings configures a process. Addresses are numeric host:port; an empty
// address disables the listener.
type Settings struct {
	Name         string
	DataHall     string
	EntryListen  string // for clients
	ReadyListen  string // for the load balancer's readiness checks
	OperatorAddr string // for operators
	PeerListen   string // for other nodes
	TargetSource string // local IP address of connections to targets; empty for the system's choice
	MetricsAddr  string

	Seeds           []walnutramp.NodeName // peer addresses of control group members
	Founder         bool                  // bootstraps the control group if its disk is empty
	DataDir         string
	MemoryMB        int
	MaxDescriptors  int // of the process; 0 for the limit of the system
	ClientLimits    drain.ClientLimits
	LinkMbps        float64       // capacity of the machine's link in Mbit/s; 0 if unknown
	Grace           time.Duration // grace period from the stop request to the kill
	OperatorTimeout time.Duration // timeout of operator calls
	// OrderRetryWindow is how long operators retry a roll-out order whose response
	// was lost.
	OrderRetryWindow time.Duration

	// FailClosed makes entries reject new requests while they can't confirm that
	// their configuration is the latest.
	FailClosed bool

	// Rollouts limits the exposure of new service versions until they are verified.
	// Roll-outs are disabled unless it is set.
	Rollouts rollout.Bounds

	// Topology holds the distances between the site's data halls.
	Topology topology.Map

	// Duties configures the leases for platform calls that only one node at a time
	// may make. They are disabled unless it is set.
	Duties   duty.Config
	Metering metering.Config // of requests; disabled unless set
	Scales   bool            // scale services through the platform

	Policy balance.Policy // load balancing policy; empty for the default

	RetryRatio  float64 // these are parameters of the site's retry budget; see balance.BudgetConfig
	RetrySlack  float64
	RetryWindow time.Duration
}

// Adapter connects the process to a site's settings, protocols and platform.
type Adapter interface {
	// Settings reads the settings file.
	Settings() (Settings, error)
	// Names returns the names of the HTTP headers that clients and targets use.
	Names() gateway.Names
	// Table parses a configuration document into the gateway's routing table.
	Table(doc []byte) (*gateway.Table, error)
	// Source returns the source of the site's target list. A reliant source leaves
	// lists of many pages to another node, which distributes them.
	Source(reliant bool) discovery.Source
	// ShortSource returns a source that reads the list only if it has few pages.
	ShortSource() discovery.Source
	// SkippedEntries returns how many list entries were skipped as unusable so far.
	SkippedEntries() uint64
	// Operator returns the handler of the operator API.
	Operator(d Documents) http.Handler
	// Ready returns the handler of the load balancer's readiness checks.
	Ready(ready func() bool) http.Handler
	// Platform returns the client of the site's platform.
	Platform() (Platform, error)
}

// Documents gives the operator API access to configuration documents and
// roll-outs.
type Documents interface {
	// Offer submits a validated document.
	Offer(ctx context.Context, version uint64, doc []byte) error
	// Newest returns the latest committed document, or false if the control group
	// could not confirm one.
	Newest(ctx context.Context) (version uint64, doc []byte, ok bool)
	// StartRollout starts the roll-out of a service's version, to be completed
	// within duration. Errors that a retry can't resolve are *walnutramp.Error.
	StartRollout(ctx context.Context, service, version string, duration time.Duration) error
	// Rollout returns the latest roll-out of a service, as confirmed by the control
	// group.
	Rollout(ctx context.Context, service string) (control.RolloutReply, error)
}

// heapShare is the share of a process's memory limit that is set as the Go
// runtime's soft memory limit.
const heapShare = 0.6

// Option configures a Process.
type Option func(*Process)

// WithTargetDial sets the function that opens connections to targets; the default is that
// of a targetconn.Pool.
func WithTargetDial(dial targetconn.DialFunc) Option { return func(p *Process) { p.targetDial = dial } }

// Process is a running entry, control group member, or both.
type Process struct {
	settings        Settings
	adapter         Adapter
	traffic         peer.Traffic
	heads           *reqlimit.Budget
	bodies          *reqlimit.Budget
	resources       drain.Resources
	peers           *peer.Client
	client          *control.Client
	entry           *entry
	replica         *replica
	metrics         *drain.Server
	droppedLogLines func() int
	targetDial      targetconn.DialFunc // nil for the default
	ctx             context.Context
	cancel          context.CancelFunc
}

// New starts a process. dropped returns the number of log lines dropped so far,
// for the metrics; it may be nil. After an error, parts that have been started keep
// running, so the caller has to exit.
func New(s Settings, a Adapter, dropped func() int, opts ...Option) (*Process, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * heapShare))
	}
	p := &Process{settings: s, adapter: a, droppedLogLines: dropped}
	p.setResources()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(p)
	}
	self := peer.Identity{Site: siteName, Node: walnutramp.NodeName(s.PeerListen)}
	p.peers = peer.NewClient(self, dialer().DialContext, directory{}, &p.traffic)
	klog.InfoS("Process starts", "name", s.Name, "build", build.Name(), "dataHall", s.DataHall, "entry", s.EntryListen, "operator", s.OperatorAddr,
		"seeds", s.Seeds, "founder", s.Founder, "disk", s.DataDir != "")
	if err := p.start(self); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Process) start(self peer.Identity) error {
	if p.settings.OperatorAddr != "" {
		start := p.startReplica
		if p.settings.DataDir == "" {
			start = p.startProxy
		}
		if err := start(self); err != nil {
			return errors.Wrap(err, "control group")
		}
	}
	if p.settings.EntryListen != "" {
		if err := p.startEntry(self); err != nil {
			return errors.Wrap(err, "entry")
		}
	}
	return errors.Wrap(p.serveMetrics(), "metrics")
}

// siteName is the site in the peer handshake. It is the same for all sites, as
// they do not share networks.
const siteName = "site"

// directory resolves node names, which are the nodes' peer addresses.
type directory struct{}

// Address implements peer.Addresses.
func (directory) Address(node walnutramp.NodeName) (string, bool) { return string(node), node != "" }

// Parameters of connections between nodes. TCP keep-alives detect a cut link,
// which sends no reset.
const (
	peerDialTimeout   = 500 * time.Millisecond
	peerKeepAliveIdle = 1 * time.Second
)

func dialer() *net.Dialer {
	return &net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: peerKeepAliveIdle, Interval: peerKeepAliveIdle, Count: 2,
	}}
}

// Reload rereads the settings file and applies the seeds, the only setting that
// can change while the process runs.
func (p *Process) Reload() {
	s, err := p.adapter.Settings()
	if err != nil {
		klog.ErrorS(err, "Failed to reload settings")
		return
	}
	klog.InfoS("Settings reloaded", "seeds", s.Seeds)
	if p.client != nil {
		p.client.SetSeeds(s.Seeds)
	}
}

// Stop shuts the process down gracefully: requests in flight may finish within
// the grace period.
func (p *Process) Stop() {
	klog.InfoS("Process stops", "name", p.settings.Name, "grace", p.settings.Grace)
	if p.entry != nil {
		p.entry.stop(p.settings.Grace)
	}
	if p.replica != nil {
		p.replica.stop()
	}
	p.cancel()
	if p.client != nil {
		p.client.Close()
	}
	p.peers.Close()
	if p.metrics != nil {
		p.metrics.Close()
	}
	klog.InfoS("Process ends", "name", p.settings.Name)
}
