// Package serve wires the parts into a process of a site whose services,
// operators and machines speak a dialect of their own: an entry that answers
// clients, a member of the control group, or both.
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
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/topology"
	"k8s.io/klog/v2"
)

// Settings are what a process is told when it starts. Addresses are numeric
// host:port; an empty one means that the process does not serve it.
type Settings struct {
	Name         string
	DataHall     string
	EntryListen  string // for clients
	ReadyListen  string // for the balancer's questions
	OperatorAddr string // for operators
	PeerListen   string // for the system's own nodes
	MetricsAddr  string

	Seeds      []walnutramp.NodeName // members' peer addresses
	Founder    bool                  // this node founds the group if its disk is empty
	DataDir    string
	MemoryMB   int
	LinkMbps   float64       // what the machine's link carries, in megabits a second; 0 for unknown
	Grace      time.Duration // from the order to stop to the kill
	OperatorIn time.Duration // in which an operator wants an answer
	// OrderPatience is for how long an operator sends an order of a roll-out
	// again whose answer was lost.
	OrderPatience time.Duration

	// FailClosed has entries refuse new work while they can't tell whether
	// what they hold is the newest.
	FailClosed bool

	// Rollouts bounds what new versions of services may do before they are
	// known to be good; not enabled where there are no roll-outs.
	Rollouts rollout.Bounds

	// Topology tells how far the site's data halls are from each other.
	Topology topology.Map

	// Duties bounds the calls to the platform that one node at a time makes;
	// not enabled where there are none.
	Duties   duty.Config
	Metering metering.Config // of requests; not enabled where nothing is metered
	Scales   bool            // services' targets are ordered from the platform

	Policy balance.Policy // by which targets are chosen; empty for the default

	RepeatRatio  float64 // of the site's bound on repeated sends
	RepeatSlack  float64
	RepeatWindow time.Duration
}

// Adapter speaks a site's dialect for the process.
type Adapter interface {
	// Settings reads the settings file again.
	Settings() (Settings, error)
	// Names returns the header names of clients and targets.
	Names() gateway.Names
	// Table reads a document into the form the gateway uses.
	Table(doc []byte) (*gateway.Table, error)
	// Source reads the site's list of targets. One that may rely on another
	// node's reading leaves long lists to it.
	Source(reliant bool) discovery.Source
	// ShortSource reads the list once, if it has few pages.
	ShortSource() discovery.Source
	// PassedOver is how many entries of the list named no target to use so far.
	PassedOver() uint64
	// Operator answers operators.
	Operator(d Documents) http.Handler
	// Ready answers the balancer.
	Ready(ready func() bool) http.Handler
	// Platform makes the site's calls that one process at a time may make.
	Platform() (Platform, error)
}

// Documents is what an operator's calls change and read.
type Documents interface {
	// Offer hands over a document that was checked.
	Offer(ctx context.Context, version uint64, doc []byte) error
	// Newest returns the newest document, confirmed; false if none can be.
	Newest(ctx context.Context) (version uint64, doc []byte, ok bool)
	// StartRollout orders a service to be brought to a version within a time.
	// An error that is final is a *walnutramp.Error.
	StartRollout(ctx context.Context, service, version string, duration time.Duration) error
	// Rollout returns the newest roll-out of a service, confirmed.
	Rollout(ctx context.Context, service string) (control.RolloutReply, error)
}

// The share of a process's memory that the Go heap may take before the
// collector works harder.
const memoryShare = 0.6

// Process is a running process.
type Process struct {
	settings Settings
	adapter  Adapter
	traffic  peer.Traffic
	peers    *peer.Client
	client   *control.Client
	entry    *entry
	replica  *replica
	metrics  *http.Server
	dropped  func() int // log lines
	ctx      context.Context
	cancel   context.CancelFunc
}

// New starts a process; dropped counts the log lines that were dropped.
func New(s Settings, a Adapter, dropped func() int) (*Process, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	}
	p := &Process{settings: s, adapter: a, dropped: dropped}
	p.ctx, p.cancel = context.WithCancel(context.Background())
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
		if err := p.startEntry(); err != nil {
			return errors.Wrap(err, "entry")
		}
	}
	return errors.Wrap(p.serveMetrics(), "metrics")
}

// siteName is what nodes of one site say to each other; sites do not share
// networks.
const siteName = "site"

// directory finds nodes whose names are their peer addresses.
type directory struct{}

// Address implements peer.Addresses.
func (directory) Address(node walnutramp.NodeName) (string, bool) { return string(node), node != "" }

// Times of connections between nodes: a link that was cut says nothing, so
// the kernel is told to give up.
const (
	peerDialTimeout   = 500 * time.Millisecond
	peerKeepAliveIdle = 1 * time.Second
)

func dialer() *net.Dialer {
	return &net.Dialer{Timeout: peerDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: peerKeepAliveIdle, Interval: peerKeepAliveIdle, Count: 2,
	}}
}

// Reload takes what may change while the process runs: the seeds.
func (p *Process) Reload() {
	s, err := p.adapter.Settings()
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded")
		return
	}
	klog.InfoS("Settings reloaded", "seeds", s.Seeds)
	if p.client != nil {
		p.client.SetSeeds(s.Seeds)
	}
}

// Stop ends the process as planned: what is under way is finished, as far as
// the grace lets it.
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
