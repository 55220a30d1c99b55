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

// Config says what the site has.
type Config struct {
	Name       string
	Halls      []walnutramp.DataHall
	Nodes      int
	Engines    int
	Services   int
	Engine     standin.EngineConfig
	ServiceCfg standin.ServiceConfig
	Accounts   []bundle.Account // each has the key that KeyOf gives
	Guard      bundle.Guard
	Leaning    bundle.Leaning
	Patience   time.Duration // of admission; 0 for the node's own
	Objectives []bundle.Objective
	Network    Network
	NodeOpt    []node.Option
	Control    int // how many of the nodes have a disk and found the control group
	Seed       uint64
}

// Default is a small site: three nodes, four engines and a service.
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
		Leaning:  bundle.LeanLatency,
		Network:  &Loopback{},
	}
}

// ServiceName is the site's one plain service; calls under /lookup may be
// repeated, others not.
const ServiceName = "desk"

// KeyOf is the API key of an account.
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

// Node is one entry node and how to start it again.
type Node struct {
	*node.Node
	Name    walnutramp.NodeName
	Hall    walnutramp.DataHall
	Callers string // address for callers
	Peers   string // address for peers
	site    *Site
	runs    int

	Disk       *memfs.FS // nil on nodes without one
	SentBefore int64     // bytes that earlier runs sent to peers
}

// Engine is one stand-in engine and how to start it again.
type Engine struct {
	*standin.Engine
	Target bundle.Target
	site   *Site
	runs   int

	DecodedBefore int // tokens that earlier runs decoded
}

// Service is one stand-in service.
type Service struct {
	*standin.Service
	Target bundle.Target
}

// Start runs a site.
func Start(cfg Config) (*Site, error) {
	s := &Site{cfg: cfg}
	if err := s.reserve(); err != nil {
		return nil, err
	}
	s.Bundle = s.makeBundle()
	if err := s.found(); err != nil {
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

// operatorName signs the site's bundles.
const operatorName = "operator"

// found makes the operator's key and the control group's disks.
func (s *Site) found() error {
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
		if err := control.FoundIdentity(n.Disk); err != nil {
			return err
		}
	}
	return nil
}

// Submit signs a bundle and submits it through a node, until it is accepted
// or refused for good.
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
			return errors.Newf("bundle %d: %v, %v", b.Version, r.Code, err)
		}
	}
}

func (s *Site) founders() []walnutramp.NodeName {
	var names []walnutramp.NodeName
	for _, n := range s.Nodes[:s.cfg.Control] {
		names = append(names, n.Name)
	}
	return names
}

func (s *Site) hall(i int) walnutramp.DataHall { return s.cfg.Halls[i%len(s.cfg.Halls)] }

// reserve names everything and gives it addresses.
func (s *Site) reserve() error {
	for i := range s.cfg.Engines {
		t := bundle.Target{
			Name: walnutramp.TargetName(fmt.Sprintf("engine-%d", i+1)), DataHall: s.hall(i), Kind: bundle.KindEngine,
			Models: []walnutramp.ModelName{s.cfg.Engine.Model}, Slots: s.cfg.Engine.Slots, ChecksOrders: true,
		}
		if err := s.place(&t); err != nil {
			return err
		}
		s.Engines = append(s.Engines, &Engine{Target: t, site: s})
	}
	for i := range s.cfg.Services {
		t := bundle.Target{
			Name: walnutramp.TargetName(fmt.Sprintf("desk-%d", i+1)), DataHall: s.hall(i), Kind: bundle.KindService,
			Slots: serviceSlots,
		}
		if err := s.place(&t); err != nil {
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

func (s *Site) place(t *bundle.Target) error {
	address, err := s.cfg.Network.Reserve(string(t.Name), string(t.DataHall))
	t.Address = address
	return err
}

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
	desk := bundle.Service{Name: ServiceName, Routes: []bundle.Route{{Path: "/lookup", Repeatable: true}}}
	for _, svc := range s.Services {
		b.Targets = append(b.Targets, svc.Target)
		desk.Targets = append(desk.Targets, svc.Target.Name)
	}
	if len(s.Services) > 0 {
		b.Services = []bundle.Service{desk}
	}
	for _, a := range s.cfg.Accounts {
		a.Keys = []string{bundle.HashKey(KeyOf(a.Name))}
		b.Accounts = append(b.Accounts, a)
	}
	return b
}

// Start runs the engine, afresh after Kill.
func (e *Engine) Start() error {
	cfg := e.site.cfg.Engine
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

// Kill ends the engine at once.
func (e *Engine) Kill() { e.Engine.Close() }

// Start runs the node, as a new incarnation after Kill or Stop.
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

// Kill ends the node at once; what its disk had not synced is lost.
func (n *Node) Kill() {
	n.Node.Close()
	if n.Disk != nil {
		n.Disk.Crash(0)
	}
}

// Close ends everything at once.
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

// Transport returns how callers reach the site.
func (s *Site) Transport() *http.Transport {
	return &http.Transport{
		DialContext:         s.cfg.Network.Dialer(ClientHost),
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
}

// AwaitMembers waits until every node sees every other.
func (s *Site) AwaitMembers(ctx context.Context) error {
	for {
		if s.allSeen() {
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "nodes did not find each other")
		}
	}
}

func (s *Site) allSeen() bool {
	for _, n := range s.Nodes {
		if len(n.Members().Live()) < len(s.Nodes)-1 || n.BundleVersion() == 0 {
			return false
		}
	}
	return true
}
