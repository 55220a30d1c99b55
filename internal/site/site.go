package site

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/member"
	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/standin"
	"go.yaml.in/yaml/v3"
)

// Config describes a site.
type Config struct {
	Name       string
	Halls      []walnutramp.DataHall
	Nodes      int
	Engines    int
	Services   int
	Engine     standin.EngineConfig
	Software   []string // software versions of the engines, in turn; nil for none
	ServiceCfg standin.ServiceConfig
	Accounts   []bundle.Account // KeyOf returns the API key of each
	Guard      bundle.Guard
	Leaning    bundle.ResumePreference
	Patience   time.Duration // admission timeout; 0 for the node's default
	Objectives []bundle.Objective
	Network    Network
	NodeOpt    []node.Option
	Control    int // number of nodes that have a disk and form the initial control group
	Seed       uint64
}

// Default returns the configuration of a small site: three nodes, four engines and
// one service, without a control group.
func Default() Config {
	return Config{
		Name:     "demo",
		Halls:    []walnutramp.DataHall{"hall-a", "hall-b", "hall-c"},
		Nodes:    3,
		Engines:  4,
		Services: 1,
		Engine:   standin.DefaultEngineConfig(),
		Accounts: []bundle.Account{{Name: "clerks", Weight: 1}},
		Guard:    bundle.Guard{Replicas: 3},
		Leaning:  bundle.PreferLatency,
		Network:  &Loopback{},
	}
}

// ServiceName is the name of the site's plain service. Only requests under /lookup
// are idempotent.
const ServiceName = "desk"

// KeyOf returns the API key of a client account.
func KeyOf(a walnutramp.ClientAccount) string { return "key-" + string(a) }

// Site is a running site.
type Site struct {
	operatorKey string
	operators   bundle.Operators
	cfg         Config
	Bundle      *bundle.Bundle
	Nodes       []*Node
	Engines     []*Engine
	Services    []*Service
}

// Node is a node that can be restarted.
type Node struct {
	*node.Node
	Name    walnutramp.NodeName
	Hall    walnutramp.DataHall
	Callers string // address for clients
	Peers   string // address for peers
	site    *Site
	runs    int // number of starts

	Disk       *memfs.FS // nil if the node has none
	SentBefore int64     // bytes sent to peers before the last restart
}

// Engine is a stand-in engine that can be restarted.
type Engine struct {
	*standin.Engine
	Software string // version of the next start
	Target   bundle.Target
	site     *Site
	runs     int // number of starts

	DecodedBefore int // tokens decoded before the last restart
}

// Service is a stand-in service.
type Service struct {
	*standin.Service
	Target bundle.Target
}

// Start starts a site and, with a control group, submits its first bundle.
func Start(cfg Config) (*Site, error) {
	s := &Site{cfg: cfg}
	if err := s.reserveAddresses(); err != nil {
		return nil, err
	}
	s.Bundle = s.makeBundle()
	if err := s.initControlGroup(); err != nil {
		return nil, err
	}
	for _, e := range s.Engines {
		if err := e.Start(); err != nil {
			return nil, err
		}
	}
	for _, svc := range s.Services {
		l, err := cfg.Network.Listen(string(svc.Target.Name), svc.Target.Address)
		if err != nil {
			return nil, err
		}
		go svc.Serve(l)
	}
	for _, n := range s.Nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	if cfg.Control == 0 {
		return s, nil
	}
	return s, s.Submit(context.Background(), 0, s.Bundle)
}

// operatorName is the operator that signs the site's bundles.
const operatorName = "operator"

// initControlGroup creates the operator's key and the disks of the initial control
// group.
func (s *Site) initControlGroup() error {
	public, private, err := bundle.NewOperatorKey()
	if err != nil {
		return err
	}
	s.operatorKey = private
	if s.operators, err = bundle.ParseOperators([]byte(operatorName + " " + public)); err != nil {
		return err
	}
	for _, n := range s.Nodes[:s.cfg.Control] {
		n.Disk = memfs.New()
		if err := control.WriteFounderIdentity(n.Disk); err != nil {
			return err
		}
	}
	return nil
}

// Submit signs a bundle and submits it through the node with index through. It
// retries until the bundle is accepted, is rejected as invalid, or 20 s have passed.
func (s *Site) Submit(ctx context.Context, through int, b *bundle.Bundle) error {
	doc, err := yaml.Marshal(b)
	if err != nil {
		return err
	}
	sig, err := bundle.Sign(doc, operatorName, s.operatorKey)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		r, err := s.Nodes[through].Control().Submit(ctx, doc, sig)
		if err == nil && r.Code == walnutramp.CodeOK {
			return nil
		}
		if err == nil || walnutramp.HasCode(err, walnutramp.CodeBundleInvalid) || ctx.Err() != nil {
			return errors.Newf("submit bundle %d: code %v: %v", b.Version, r.Code, err)
		}
	}
}

// founders returns the names of the initial control group.
func (s *Site) founders() []walnutramp.NodeName {
	var names []walnutramp.NodeName
	for _, n := range s.Nodes[:s.cfg.Control] {
		names = append(names, n.Name)
	}
	return names
}

func (s *Site) hall(i int) walnutramp.DataHall { return s.cfg.Halls[i%len(s.cfg.Halls)] }

// reserveAddresses creates the engines, services and nodes, and assigns their names
// and addresses.
func (s *Site) reserveAddresses() error {
	for i := range s.cfg.Engines {
		t := bundle.Target{
			Name: walnutramp.TargetName(fmt.Sprintf("engine-%d", i+1)), DataHall: s.hall(i), Kind: bundle.KindEngine,
			Models: []walnutramp.ModelName{s.cfg.Engine.Model}, Slots: s.cfg.Engine.Slots, ChecksOrders: true,
		}
		if err := s.assignAddress(&t); err != nil {
			return err
		}
		e := &Engine{Target: t, site: s}
		if n := len(s.cfg.Software); n > 0 {
			e.Software = s.cfg.Software[i%n]
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range s.cfg.Services {
		t := bundle.Target{
			Name: walnutramp.TargetName(fmt.Sprintf("desk-%d", i+1)), DataHall: s.hall(i), Kind: bundle.KindService,
			Slots: serviceSlots,
		}
		if err := s.assignAddress(&t); err != nil {
			return err
		}
		s.Services = append(s.Services, &Service{Service: standin.NewService(s.cfg.ServiceCfg), Target: t})
	}
	for i := range s.cfg.Nodes {
		n := &Node{Name: walnutramp.NodeName(fmt.Sprintf("node-%d", i+1)), Hall: s.hall(i), site: s}
		var err error
		if n.Callers, err = s.cfg.Network.Reserve(string(n.Name), string(n.Hall)); err != nil {
			return err
		}
		if n.Peers, err = s.cfg.Network.Reserve(string(n.Name), string(n.Hall)); err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
	}
	return nil
}

const serviceSlots = 64

func (s *Site) assignAddress(t *bundle.Target) error {
	address, err := s.cfg.Network.Reserve(string(t.Name), string(t.DataHall))
	t.Address = address
	return err
}

// makeBundle returns the site's first bundle.
func (s *Site) makeBundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Version:    1,
		Site:       s.cfg.Name,
		Models:     []bundle.Model{{Name: s.cfg.Engine.Model, Context: 1 << 17}},
		Guard:      s.cfg.Guard,
		Resume:     bundle.Resume{Leaning: s.cfg.Leaning},
		Admission:  bundle.Admission{Patience: s.cfg.Patience},
		Objectives: s.cfg.Objectives,
	}
	for _, e := range s.Engines {
		b.Targets = append(b.Targets, e.Target)
	}
	service := bundle.Service{Name: ServiceName, Routes: []bundle.Route{{Path: "/lookup", Repeatable: true}}}
	for _, svc := range s.Services {
		b.Targets = append(b.Targets, svc.Target)
		service.Targets = append(service.Targets, svc.Target.Name)
	}
	if len(s.Services) > 0 {
		b.Services = []bundle.Service{service}
	}
	for _, a := range s.cfg.Accounts {
		a.Keys = []string{bundle.HashKey(KeyOf(a.Name))}
		b.Accounts = append(b.Accounts, a)
	}
	return b
}

// Start starts the engine. It may be called again after Kill.
func (e *Engine) Start() error {
	cfg := e.site.cfg.Engine
	cfg.Software = e.Software
	cfg.Seed = e.site.cfg.Seed<<16 + uint64(len(e.Target.Name))<<8 + hashName(string(e.Target.Name)) + uint64(e.runs)
	if e.Engine != nil {
		e.DecodedBefore += e.Counts().Decoded
	}
	e.runs++
	e.Engine = standin.NewEngine(standin.WithEngineConfig(cfg))
	l, err := e.site.cfg.Network.Listen(string(e.Target.Name), e.Target.Address)
	if err != nil {
		return err
	}
	go e.Engine.Serve(l)
	return nil
}

func hashName(s string) uint64 {
	var h uint64
	for _, c := range s {
		h = h*31 + uint64(c)
	}
	return h
}

// Kill stops the engine without draining it.
func (e *Engine) Kill() { e.Engine.Close() }

// Start starts the node. After Kill or Stop it starts a new incarnation.
func (n *Node) Start() error {
	if n.Node != nil {
		n.SentBefore += n.Traffic().Sent.Load()
	}
	n.runs++
	var peers []member.Node
	for _, o := range n.site.Nodes {
		peers = append(peers, member.Node{Name: o.Name, DataHall: o.Hall, Address: o.Peers})
	}
	opts := append([]node.Option{
		node.WithName(n.Name, n.Hall),
		node.WithSite(n.site.cfg.Name),
		node.WithPeers(n.Peers, peers),
		node.WithDial(n.site.cfg.Network.Dialer(string(n.Name))),
		node.WithSeed(n.site.cfg.Seed + hashName(string(n.Name))),
		node.WithIncarnation(walnutramp.Incarnation(n.runs)),
	}, n.site.cfg.NodeOpt...)
	opts = append(opts, n.controlOptions()...)
	var err error
	if n.Node, err = node.New(opts...); err != nil {
		return err
	}
	callers, err := n.site.cfg.Network.Listen(string(n.Name), n.Callers)
	if err != nil {
		return err
	}
	peerListener, err := n.site.cfg.Network.Listen(string(n.Name), n.Peers)
	if err != nil {
		return err
	}
	return n.Node.Start(callers, peerListener)
}

func (n *Node) controlOptions() []node.Option {
	if n.site.cfg.Control == 0 {
		return []node.Option{node.WithBundle(n.site.Bundle)}
	}
	opts := []node.Option{node.WithControl(n.site.founders(), n.site.operators)}
	if n.Disk != nil {
		opts = append(opts, node.WithDisk(n.Disk))
	}
	return opts
}

// Kill stops the node without draining it and discards unsynced data of its disk.
func (n *Node) Kill() {
	n.Node.Close()
	if n.Disk != nil {
		n.Disk.Crash(0)
	}
}

// Close stops all nodes and targets without draining them.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		n.Node.Close()
	}
	for _, e := range s.Engines {
		e.Engine.Close()
	}
	for _, svc := range s.Services {
		svc.Service.Close()
	}
}

// Transport returns an HTTP transport for clients of the site.
func (s *Site) Transport() *http.Transport {
	return &http.Transport{
		DialContext:         s.cfg.Network.Dialer(ClientHost),
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
}

// AwaitMembers waits until each node sees all others as live and has a bundle.
func (s *Site) AwaitMembers(ctx context.Context) error {
	for {
		if s.allReady() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for nodes to see each other and have a bundle")
		}
	}
}

func (s *Site) allReady() bool {
	for _, n := range s.Nodes {
		if len(n.Members().Live()) < len(s.Nodes)-1 || n.BundleVersion() == 0 {
			return false
		}
	}
	return true
}
