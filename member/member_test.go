package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
)

// cluster connects detectors; calls can be dropped in either direction.
type cluster struct {
	mu     sync.Mutex
	nodes  map[walnutramp.NodeName]*Detector
	lost   map[[2]walnutramp.NodeName]bool
	paused map[walnutramp.NodeName]bool
	calls  map[walnutramp.NodeName]int
}

func newCluster(n int) *cluster {
	w := &cluster{
		nodes: map[walnutramp.NodeName]*Detector{}, lost: map[[2]walnutramp.NodeName]bool{},
		paused: map[walnutramp.NodeName]bool{}, calls: map[walnutramp.NodeName]int{},
	}
	for i := range n {
		w.start(name(i), 1, n)
	}
	return w
}

func name(i int) walnutramp.NodeName { return walnutramp.NodeName(fmt.Sprintf("n%d", i)) }

func (w *cluster) start(n walnutramp.NodeName, run walnutramp.Incarnation, size int) {
	var seeds []Node
	for i := range size {
		seeds = append(seeds, Node{Name: name(i), Address: string(name(i))})
	}
	d := NewDetector(Node{Name: n, Address: string(n), Incarnation: run}, seeds, transport{w, n}, WithSeed(uint64(run)))
	w.mu.Lock()
	w.nodes[n] = d
	w.mu.Unlock()
	d.Start()
}

func (w *cluster) close() {
	for _, d := range w.nodes {
		d.Close()
	}
}

func (w *cluster) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *cluster) delivers(from, to walnutramp.NodeName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.lost[[2]walnutramp.NodeName{from, to}] && !w.paused[from] && !w.paused[to]
}

// transport makes the calls of one node.
type transport struct {
	cluster *cluster
	from    walnutramp.NodeName
}

func (v transport) Call(ctx context.Context, to walnutramp.NodeName, method string, args, reply any) error {
	v.cluster.mu.Lock()
	d := v.cluster.nodes[to]
	v.cluster.calls[v.from]++
	v.cluster.mu.Unlock()
	if d == nil || !v.cluster.delivers(v.from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	var err error
	switch a := args.(type) {
	case PingArgs:
		err = d.Handler().Ping(a, reply.(*PingReply))
	case IndirectArgs:
		err = d.Handler().Indirect(a, reply.(*IndirectReply))
	default:
		err = errors.Newf("unknown method %s", method)
	}
	if !v.cluster.delivers(to, v.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (w *cluster) statusOf(observer, n int) Status {
	for _, o := range w.nodes[name(observer)].All() {
		if o.Name == name(n) && o.Incarnation != 0 {
			return o.Status
		}
	}
	return Dead
}

// runCluster runs f in virtual time on n nodes that all know each other.
func runCluster(t *testing.T, n int, f func(t *testing.T, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(n)
		defer w.close()
		time.Sleep(10 * time.Second)
		for i := range n {
			require.Len(t, w.nodes[name(i)].Live(), n-1)
		}
		f(t, w)
	})
}

func TestDeadNodeIsDetectedByAll(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, w *cluster) {
		w.nodes[name(0)].Close()
		w.locked(func() { w.paused[name(0)] = true })
		time.Sleep(20 * time.Second)
		for i := 1; i < 8; i++ {
			require.Equal(t, Dead, w.statusOf(i, 0))
		}
	})
}

func TestAsymmetricLossDeclaresNoNodeDead(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, w *cluster) {
		w.locked(func() { w.lost[[2]walnutramp.NodeName{name(0), name(1)}] = true })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for i := 2; i < 8; i++ {
				require.NotEqual(t, Dead, w.statusOf(i, 0))
				require.NotEqual(t, Dead, w.statusOf(i, 1))
			}
		}
	})
}

func TestPausedNodeRecoversWithSameIncarnation(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, w *cluster) {
		w.locked(func() { w.paused[name(0)] = true })
		time.Sleep(30 * time.Second)
		require.Equal(t, Dead, w.statusOf(3, 0))
		w.locked(func() { w.paused[name(0)] = false })
		time.Sleep(30 * time.Second)
		for i := 1; i < 8; i++ {
			require.Equal(t, Alive, w.statusOf(i, 0))
		}
		n, _ := w.nodes[name(3)].list.get(name(0))
		require.EqualValues(t, 1, n.Incarnation, "a pause must not look like a restart")
		require.NotZero(t, n.Version, "it refuted that it is dead")
	})
}

func TestRestartAtSameAddressHasNewIncarnation(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, w *cluster) {
		w.nodes[name(0)].Close()
		w.start(name(0), 2, 8)
		time.Sleep(2 * time.Second)
		for i := 1; i < 8; i++ {
			n, _ := w.nodes[name(i)].list.get(name(0))
			require.EqualValues(t, 2, n.Incarnation)
			require.Equal(t, Alive, n.Status)
		}
	})
}

func TestPartitionHeals(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, w *cluster) {
		cut := func(on bool) {
			for i := range 4 {
				for j := 4; j < 8; j++ {
					w.lost[[2]walnutramp.NodeName{name(i), name(j)}] = on
					w.lost[[2]walnutramp.NodeName{name(j), name(i)}] = on
				}
			}
		}
		w.locked(func() { cut(true) })
		time.Sleep(30 * time.Second)
		require.Len(t, w.nodes[name(0)].Live(), 3)
		require.Len(t, w.nodes[name(7)].Live(), 3)
		w.locked(func() { cut(false) })
		time.Sleep(time.Minute)
		for i := range 8 {
			require.Len(t, w.nodes[name(i)].Live(), 7)
		}
	})
}

func TestLeavingNodeIsNotProbed(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, w *cluster) {
		w.nodes[name(0)].Leave(t.Context())
		w.nodes[name(0)].Close()
		time.Sleep(5 * time.Second)
		for i := 1; i < 5; i++ {
			require.Equal(t, Left, w.statusOf(i, 0))
		}
	})
}

// The number of probes a node sends per minute must not depend on the cluster size.
func TestProbeRateIsIndependentOfClusterSize(t *testing.T) {
	perMinute := func(n int) int {
		calls := 0
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(n)
			defer w.close()
			time.Sleep(10 * time.Second)
			before := w.calls[name(0)]
			time.Sleep(time.Minute)
			w.locked(func() { calls = w.calls[name(0)] - before })
		})
		return calls
	}
	small, large := perMinute(5), perMinute(40)
	require.InDelta(t, small, large, float64(small)/10, "5 members: %d, 40 members: %d", small, large)
}
