package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/part"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/standin"
	"github.com/walnutramp/walnutramp/target"
	"go.yaml.in/yaml/v3"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: cost Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is the linear regression of a cost over a size.
type Slope struct {
	Name   string  `json:"name"`
	X      string  `json:"x_unit"`
	Y      string  `json:"y_unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`  // cost at size 0, according to the fit
	PerX   float64 `json:"per_x"` // increase of the cost per unit of size
	R2     float64 `json:"r2"`
	Spread float64 `json:"spread"` // largest absolute residual
}

// At returns the cost at size x according to the fit.
func (s *Slope) At(x float64) float64 { return s.Base + s.PerX*x }

func (s *Slope) fit() {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	s.Base, s.PerX = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Base, s.PerX)
	for _, p := range s.Points {
		s.Spread = max(s.Spread, max(p.Y-s.At(p.X), s.At(p.X)-p.Y))
	}
}

// Capacity is the result of a capacity measurement.
type Capacity struct {
	Machine string  `json:"machine"`
	Seconds float64 `json:"seconds"` // duration of each measurement
	// ReportBytes is the size of a load report request and response on the wire.
	ReportBytes float64 `json:"report_bytes"`
	Slopes      []Slope `json:"slopes"`
}

// Names of the slopes.
const (
	SlopeMembersCPU    = "control processor time per node, by members"
	SlopeMembersBytes  = "control bytes per node, by members"
	SlopeMembersMemory = "memory per node, by members"
	SlopeTargetsCPU    = "control processor time per node, by targets"
	SlopeChangesCPU    = "control processor time per node, by changes"
	SlopeChangesBytes  = "control bytes per node, by changes"
	SlopeInForce       = "time from accepted to in force on the last node, by members"
	SlopeParse         = "processor time to take a change, by targets in the bundle"
	SlopeDelta         = "bytes of a change of one target, by targets in the bundle"
	SlopeBundleMemory  = "memory of a bundle, by its targets"
)

// Meter measures how the cost of a site without clients grows with its size.
type Meter struct {
	Duration time.Duration // duration of each measurement
	Members  []int         // numbers of nodes to measure with
	Targets  []int         // numbers of targets to measure with
	Changes  []int         // bundle changes per second
	Progress io.Writer
}

// idleCost is the cost per node of a site without clients.
type idleCost struct {
	cpu     float64 // CPU time of control plane and replication, in ms per second
	bytes   float64 // bytes per second, sent and received
	memory  float64 // heap and stack in MB
	inForce time.Duration
}

// Run measures all slopes.
func (m *Meter) Run(ctx context.Context) (*Capacity, error) {
	c := &Capacity{Machine: fmt.Sprintf("%d processors, %s", runtime.NumCPU(), runtime.Version()), Seconds: m.Duration.Seconds()}
	for _, measure := range []func(context.Context) ([]Slope, error){m.measureByMembers, m.measureByTargets, m.measureByChanges, m.measureByBundle} {
		slopes, err := measure(ctx)
		if err != nil {
			return nil, err
		}
		c.Slopes = append(c.Slopes, slopes...)
	}
	for i := range c.Slopes {
		c.Slopes[i].fit()
	}
	var err error
	c.ReportBytes, err = reportBytes(ctx)
	return c, err
}

// reportBytes returns the mean bytes of a load report over a persistent connection.
func reportBytes(ctx context.Context) (float64, error) {
	e := standin.NewEngine()
	defer e.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	go e.Serve(l)
	var count atomic.Int64
	var d net.Dialer
	pool := target.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		return &countedConn{c, &count}, err
	})
	defer pool.Close()
	engine := pool.Engine(bundle.Target{Address: l.Addr().String()})
	const rounds = 20
	for range rounds {
		if _, err := engine.Load(ctx); err != nil {
			return 0, err
		}
	}
	return float64(count.Load()) / rounds, nil
}

// countedConn counts the bytes read and written.
type countedConn struct {
	net.Conn
	count *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// Time after the start of a site until membership gossip has settled.
const (
	settleBase    = 2 * time.Second
	settlePerNode = 150 * time.Millisecond
)

// Size of a measured site, except in the dimension that is varied.
const (
	capacityVoters  = 5 // members of the control group
	capacityTargets = 4
	capacityNodes   = 12
)

func (m *Meter) measureByMembers(ctx context.Context) ([]Slope, error) {
	cpu := Slope{Name: SlopeMembersCPU, X: "members", Y: "ms/s"}
	bytes := Slope{Name: SlopeMembersBytes, X: "members", Y: "bytes/s"}
	memory := Slope{Name: SlopeMembersMemory, X: "members", Y: "MB"}
	inForce := Slope{Name: SlopeInForce, X: "members", Y: "ms"}
	for _, n := range m.Members {
		cost, err := m.measureIdle(ctx, n, capacityTargets, 0)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		cpu.Points = append(cpu.Points, Point{x, cost.cpu})
		bytes.Points = append(bytes.Points, Point{x, cost.bytes})
		memory.Points = append(memory.Points, Point{x, cost.memory})
		inForce.Points = append(inForce.Points, Point{x, float64(cost.inForce.Microseconds()) / 1000})
	}
	return []Slope{cpu, bytes, memory, inForce}, nil
}

func (m *Meter) measureByTargets(ctx context.Context) ([]Slope, error) {
	cpu := Slope{Name: SlopeTargetsCPU, X: "targets", Y: "ms/s"}
	for _, n := range m.Targets {
		cost, err := m.measureIdle(ctx, capacityNodes, n, 0)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), cost.cpu})
	}
	return []Slope{cpu}, nil
}

func (m *Meter) measureByChanges(ctx context.Context) ([]Slope, error) {
	cpu := Slope{Name: SlopeChangesCPU, X: "changes/s", Y: "ms/s"}
	bytes := Slope{Name: SlopeChangesBytes, X: "changes/s", Y: "bytes/s"}
	for _, n := range m.Changes {
		cost, err := m.measureIdle(ctx, capacityNodes, capacityTargets, n)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), cost.cpu})
		bytes.Points = append(bytes.Points, Point{float64(n), cost.bytes})
	}
	return []Slope{cpu, bytes}, nil
}

// measureIdle starts a site without clients and measures its cost per node.
func (m *Meter) measureIdle(ctx context.Context, nodes, targets, changes int) (idleCost, error) {
	if m.Progress != nil {
		fmt.Fprintf(m.Progress, "%d nodes, %d targets, %d changes a second\n", nodes, targets, changes)
	}
	before := heapInUse()
	cfg := site.Default()
	cfg.Nodes, cfg.Engines, cfg.Control = nodes, targets, capacityVoters
	s, err := site.Start(cfg)
	if err != nil {
		return idleCost{}, err
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	if err := s.AwaitMembers(ctx); err != nil {
		return idleCost{}, err
	}
	pause.For(ctx, settleBase+time.Duration(nodes)*settlePerNode)
	inForce, err := m.applyChange(ctx, s)
	if err != nil {
		return idleCost{}, err
	}
	return m.measure(ctx, s, changes, before, inForce)
}

func (m *Meter) measure(ctx context.Context, s *site.Site, changes int, heapBefore uint64, inForce time.Duration) (idleCost, error) {
	sent, received := traffic(s)
	p, err := startProfile("")
	if err != nil {
		return idleCost{}, err
	}
	began := time.Now()
	if err := m.applyChanges(ctx, s, changes); err != nil {
		return idleCost{}, err
	}
	seconds := time.Since(began).Seconds()
	cpu, err := p.stop()
	if err != nil {
		return idleCost{}, err
	}
	sentNow, receivedNow := traffic(s)
	n := float64(len(s.Nodes))
	return idleCost{
		cpu:     float64((cpu[part.Control] + cpu[part.Guard]).Microseconds()) / 1000 / seconds / n,
		bytes:   float64(sentNow-sent+receivedNow-received) / seconds / n,
		memory:  float64(heapInUse()-min(heapBefore, heapInUse())) / (1 << 20) / n,
		inForce: inForce,
	}, nil
}

func traffic(s *site.Site) (sent, received int64) {
	for _, n := range s.Nodes {
		sent += n.Traffic().Sent.Load()
		received += n.Traffic().Received.Load()
	}
	return sent, received
}

// heapInUse returns the memory of the heap and the stacks in bytes, after a garbage
// collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// applyChange submits a new bundle version and returns the time from its acceptance
// until the last node has it in force.
func (m *Meter) applyChange(ctx context.Context, s *site.Site) (time.Duration, error) {
	b := *s.Bundle
	b.Version++
	if err := s.Submit(ctx, 0, &b); err != nil {
		return 0, err
	}
	s.Bundle = &b
	accepted := time.Now()
	for _, n := range s.Nodes {
		for n.BundleVersion() < b.Version {
			if !pause.For(ctx, 200*time.Microsecond) {
				return 0, errors.Newf("bundle %d is not in force on all nodes", b.Version)
			}
		}
	}
	return time.Since(accepted), nil
}

// applyChanges submits bundles for the measurement duration, at most perSecond of
// them: each waits until the previous one is in force. At 0 it only waits.
func (m *Meter) applyChanges(ctx context.Context, s *site.Site, perSecond int) error {
	if perSecond == 0 {
		pause.For(ctx, m.Duration)
		return nil
	}
	end := time.Now().Add(m.Duration)
	for time.Now().Before(end) {
		next := time.Now().Add(time.Second / time.Duration(perSecond))
		if _, err := m.applyChange(ctx, s); err != nil {
			return err
		}
		pause.For(ctx, time.Until(next))
	}
	return nil
}

// measureByBundle measures the cost per node of changing one target, over the number
// of targets in the bundle.
func (m *Meter) measureByBundle(context.Context) ([]Slope, error) {
	parse := Slope{Name: SlopeParse, X: "targets", Y: "ms"}
	delta := Slope{Name: SlopeDelta, X: "targets", Y: "bytes"}
	memory := Slope{Name: SlopeBundleMemory, X: "targets", Y: "MB"}
	for _, n := range []int{100, 400, 1600, 3200} {
		b := largeBundle(n)
		doc, err := yaml.Marshal(b)
		if err != nil {
			return nil, err
		}
		b.Version, b.Targets[n/2].Slots = 2, 17
		next, err := yaml.Marshal(b)
		if err != nil {
			return nil, err
		}
		d := bundle.NewDelta(1, doc, 2, next)
		took, parsed, err := measureApply(d, doc)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		parse.Points = append(parse.Points, Point{x, float64(took.Microseconds()) / 1000})
		delta.Points = append(delta.Points, Point{x, deltaBytes(d)})
		memory.Points = append(memory.Points, Point{x, (float64(len(doc)) + parsed) / (1 << 20)})
	}
	return []Slope{parse, delta, memory}, nil
}

// parseRounds is the number of times that a delta is applied to measure the mean time.
const parseRounds = 5

// measureApply applies a delta and decodes the new bundle as a node does. It returns
// the mean time and the memory of the decoded bundle in bytes.
func measureApply(d bundle.Delta, doc []byte) (time.Duration, float64, error) {
	before := heapInUse()
	began := time.Now()
	var parsed *bundle.Bundle
	for range parseRounds {
		next, err := d.Apply(doc)
		if err != nil {
			return 0, 0, err
		}
		if parsed, err = bundle.Decode(next); err != nil {
			return 0, 0, err
		}
	}
	took := time.Since(began) / parseRounds
	heapGrowth := float64(heapInUse()) - float64(before)
	runtime.KeepAlive(parsed)
	return took, max(heapGrowth, 0), nil
}

func deltaBytes(d bundle.Delta) float64 {
	encoded, err := json.Marshal(d)
	if err != nil {
		return 0
	}
	return float64(len(encoded))
}

// largeBundle returns a bundle with n engines.
func largeBundle(n int) *bundle.Bundle {
	b := &bundle.Bundle{
		Version: 1, Site: "capacity",
		Models: []bundle.Model{{Name: "draft-large", Context: 1 << 17}},
		Guard:  bundle.Guard{Replicas: 3},
		Resume: bundle.Resume{Leaning: bundle.PreferLatency},
	}
	for i := range n {
		b.Targets = append(b.Targets, bundle.Target{
			Name: walnutramp.TargetName(fmt.Sprintf("engine-%d", i)), DataHall: walnutramp.DataHall(fmt.Sprintf("hall-%02d", i%14)),
			Kind: bundle.KindEngine, Address: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255),
			Models: []walnutramp.ModelName{"draft-large"}, Slots: 16, ChecksOrders: true,
		})
	}
	return b
}

// Slope returns the slope with the given name, and false if there is none.
func (c *Capacity) Slope(name string) (*Slope, bool) {
	for i := range c.Slopes {
		if c.Slopes[i].Name == name {
			return &c.Slopes[i], true
		}
	}
	return nil, false
}

// WriteTable writes the slopes as a Markdown table.
func (c *Capacity) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "Measured on %s, %.0f s each.\n\n", c.Machine, c.Seconds)
	fmt.Fprintln(w, "| cost | measured | fit | R² | spread |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, s := range c.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.X, p.Y))
		}
		fmt.Fprintf(w, "| %s (%s) | %s | %.4g + %.4g per %s | %.2f | %.3g |\n",
			s.Name, s.Y, strings.Join(points, ", "), s.Base, s.PerX, strings.TrimSuffix(s.X, "s"), s.R2, s.Spread)
	}
}
