package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// Peers makes RPC calls to other nodes.
type Peers interface {
	// Call invokes a method at a node and stores the result in reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// Config configures a Detector.
type Config struct {
	Period         time.Duration // between probes
	Timeout        time.Duration // of a direct probe
	Indirect       int           // nodes asked to probe an unresponsive one
	SuspectTimeout time.Duration // after which a suspect is declared dead
	DeadRetention  time.Duration // how long dead nodes are kept in the list
	Seed           uint64
	OnChange       func(Node) // called on every change of a node's status
}

// Option sets a field of Config.
type Option func(*Config)

// WithPeriod sets the time between probes, and scales the probe timeout and the suspect
// timeout with it.
func WithPeriod(d time.Duration) Option {
	return func(c *Config) {
		c.Period = d
		c.Timeout = d / 2
		c.SuspectTimeout = 4 * d
	}
}

// WithSeed makes the probe order reproducible.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithOnChange sets the callback for status changes.
func WithOnChange(f func(Node)) Option { return func(c *Config) { c.OnChange = f } }

func defaultConfig() Config {
	c := Config{Indirect: 3, DeadRetention: 10 * time.Minute, OnChange: func(Node) {}}
	WithPeriod(500 * time.Millisecond)(&c)
	return c
}

// Detector probes other nodes and maintains the membership list.
type Detector struct {
	cfg   Config
	list  *list
	peers Peers

	mu  sync.Mutex
	rng *rand.Rand

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewDetector returns a detector for one incarnation of a node; seeds are the
// configured nodes, of which this node may be one.
func NewDetector(self Node, seeds []Node, peers Peers, opts ...Option) *Detector {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	d := &Detector{cfg: cfg, peers: peers, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
	d.list = newList(self, d.notify)
	for _, s := range seeds {
		if s.Name != self.Name {
			d.list.seed(s)
		}
	}
	return d
}

func (d *Detector) notify(n Node) {
	klog.V(1).InfoS("Node status changed", "node", n.Name, "status", n.Status, "incarnation", n.Incarnation)
	d.cfg.OnChange(n)
}

// Start begins probing; Close stops it.
func (d *Detector) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		d.run(ctx)
	}()
}

// Close stops probing.
func (d *Detector) Close() {
	if d.cancel != nil {
		d.cancel()
	}
	d.tasks.Wait()
}

// Leave announces to a few live nodes that this one is shutting down, and returns when
// they have answered or timed out.
func (d *Detector) Leave(ctx context.Context) {
	d.list.setStatus(Left)
	nodes := d.Live()
	d.mu.Lock()
	d.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	d.mu.Unlock()
	for _, n := range nodes[:min(len(nodes), d.cfg.Indirect)] {
		d.ping(ctx, n.Name)
	}
}

// Self returns this node.
func (d *Detector) Self() Node { return d.list.local() }

// Live returns the other nodes believed alive, suspects included, sorted by name. Seeds
// that have not been heard of are left out.
func (d *Detector) Live() []Node {
	return d.list.others(func(n Node) bool { return n.Status <= Suspect && n.Incarnation != 0 })
}

// All returns all other known nodes, sorted by name: also seeds that have not been heard
// of, and nodes that are dead or have left.
func (d *Detector) All() []Node { return d.list.others(func(Node) bool { return true }) }

// Address implements peer.Addresses.
func (d *Detector) Address(name walnutramp.NodeName) (string, bool) {
	n, ok := d.list.get(name)
	return n.Address, ok && n.Address != ""
}

// AddSeeds adds nodes from the platform's list that are not known yet. It does not
// change those that are known.
func (d *Detector) AddSeeds(nodes []Node) {
	for _, n := range nodes {
		if n.Name != d.list.self {
			d.list.seed(n)
		}
	}
}

// join announces this node to a few others, from which it spreads to the rest.
func (d *Detector) join(ctx context.Context) {
	nodes := d.All()
	d.mu.Lock()
	d.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	d.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range nodes[:min(len(nodes), joinFanout)] {
		wg.Go(func() { d.ping(ctx, n.Name) })
	}
	wg.Wait()
}

// joinFanout is how many nodes a node pings when it starts.
const joinFanout = 8

func (d *Detector) run(ctx context.Context) {
	d.join(ctx)
	for {
		d.probe(ctx)
		now := time.Now()
		for _, n := range d.list.expiredSuspects(now, d.cfg.SuspectTimeout) {
			n.Status = Dead
			d.list.merge([]Node{n}, now)
		}
		d.list.prune(now, d.cfg.DeadRetention)
		t := time.NewTimer(d.jitteredPeriod())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

func (d *Detector) jitteredPeriod() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(d.cfg.Period) * (0.9 + 0.2*d.rng.Float64()))
}

func (d *Detector) shuffle(names []walnutramp.NodeName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// probe pings one node directly and, if it was alive so far, through others. It marks it
// as suspect if neither succeeds.
func (d *Detector) probe(ctx context.Context) {
	n, ok := d.list.probeNext(d.shuffle)
	if !ok {
		return
	}
	if d.ping(ctx, n.Name) || ctx.Err() != nil {
		return
	}
	if n.Status != Alive || n.Incarnation == 0 || d.indirectPing(ctx, n) || ctx.Err() != nil {
		return
	}
	n.Status = Suspect
	d.list.merge([]Node{n}, time.Now())
}

func (d *Detector) ping(ctx context.Context, name walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Timeout)
	defer cancel()
	args := PingArgs{From: d.list.local(), To: name, Updates: d.list.updatesFor(name)}
	var reply PingReply
	if d.peers.Call(ctx, name, Service+".Ping", args, &reply) != nil {
		return false
	}
	d.list.merge(append(reply.Updates, reply.From), time.Now())
	return true
}

func (d *Detector) indirectPing(ctx context.Context, n Node) bool {
	helpers := d.list.others(func(o Node) bool { return o.Status == Alive && o.Name != n.Name && o.Incarnation != 0 })
	d.mu.Lock()
	d.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	d.mu.Unlock()
	helpers = helpers[:min(len(helpers), d.cfg.Indirect)]
	ctx, cancel := context.WithTimeout(ctx, 2*d.cfg.Timeout)
	defer cancel()
	var wg sync.WaitGroup
	replies := make([]IndirectReply, len(helpers))
	for i, h := range helpers {
		wg.Go(func() {
			args := IndirectArgs{Target: n.Name, Updates: d.list.updates()}
			var reply IndirectReply
			if d.peers.Call(ctx, h.Name, Service+".Indirect", args, &reply) == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	for _, a := range replies {
		if a.Answered {
			d.list.merge([]Node{a.From}, time.Now())
			return true
		}
	}
	return false
}

// Handler serves probes; it is registered under Service.
type Handler struct {
	d *Detector
}

// Handler returns the RPC handler of this detector.
func (d *Detector) Handler() *Handler { return &Handler{d: d} }

// Ping answers a probe.
func (h *Handler) Ping(args PingArgs, reply *PingReply) error {
	h.d.list.merge(append(args.Updates, args.From), time.Now())
	reply.From = h.d.list.local()
	reply.Updates = h.d.list.updatesFor(args.From.Name)
	return nil
}

// Indirect pings another node on behalf of the caller. If that fails, the reply says so
// and the error is nil.
func (h *Handler) Indirect(args IndirectArgs, reply *IndirectReply) error {
	h.d.list.merge(args.Updates, time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), h.d.cfg.Timeout)
	defer cancel()
	if !h.d.ping(ctx, args.Target) {
		return nil
	}
	n, ok := h.d.list.get(args.Target)
	reply.Answered = ok
	reply.From = n
	return nil
}
