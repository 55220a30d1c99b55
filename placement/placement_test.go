package placement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/placement"
	"github.com/walnutramp/walnutramp/standin"
	"github.com/walnutramp/walnutramp/target"
)

// cluster simulates engines that several controllers send orders to over a lossy network.
type cluster struct {
	mu         sync.Mutex
	rng        *rand.Rand
	orderBooks map[walnutramp.TargetName]*standin.OrderBook
	bundle     *bundle.Bundle
	loss       float64
	maxDelay   time.Duration // longest delivery delay of an order
}

func newCluster(seed uint64, engines int, checks bool) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 17)), orderBooks: map[walnutramp.TargetName]*standin.OrderBook{}}
	c.bundle = &bundle.Bundle{
		Version: 1, Placement: bundle.Placement{Orders: true, Loads: 2},
		Models: []bundle.Model{{Name: "m", Context: 1, Version: "2", Canary: 25}},
	}
	for i := range engines {
		name := walnutramp.TargetName(fmt.Sprintf("e%d", i))
		c.orderBooks[name] = standin.NewOrderBook(checks, time.Second, "m@1")
		c.bundle.Targets = append(c.bundle.Targets, bundle.Target{
			Name: name, Kind: bundle.KindEngine, Models: []walnutramp.ModelName{"m"}, ChecksOrders: checks,
		})
	}
	return c
}

func (c *cluster) Orders(t bundle.Target) target.Orders { return &lossyOrders{c, c.orderBooks[t.Name]} }

func (c *cluster) drawFault() (lost bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < c.loss, time.Duration(c.rng.Int64N(int64(c.maxDelay) + 1))
}

type lossyOrders struct {
	c    *cluster
	book *standin.OrderBook
}

func (w *lossyOrders) Placed(context.Context) (target.Placed, error) { return w.book.Placed(), nil }

// Order loses, repeats and delays orders and answers.
func (w *lossyOrders) Order(ctx context.Context, o target.Order) error {
	lost, delay := w.c.drawFault()
	if !lost {
		go func() {
			time.Sleep(delay)
			w.book.Take(o)
			if again, more := w.c.drawFault(); again {
				time.Sleep(min(more, placement.OrderTimeout))
				w.book.Take(o)
			}
		}()
	}
	select {
	case <-time.After(delay):
		if lost {
			return errors.New("order lost")
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leadership tells which controller leads, in increasing terms.
type leadership struct {
	mu     sync.Mutex
	term   uint64
	leader int
}

func (t *leadership) elect(controller int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term++
	t.leader = controller
}

type candidate struct {
	leadership *leadership
	controller int
}

func (c candidate) Term() uint64 {
	c.leadership.mu.Lock()
	defer c.leadership.mu.Unlock()
	if c.leadership.leader != c.controller {
		return 0
	}
	return c.leadership.term
}

func (c candidate) Confirm(context.Context) bool { return c.Term() != 0 }

// converge runs three controllers through leader changes, checks the invariants
// throughout, and returns the time until all targets hold what they should.
func converge(t *testing.T, c *cluster, changes int) time.Duration {
	leaders := &leadership{}
	leaders.elect(0)
	var controllers []*placement.Controller
	for i := range 3 {
		ctl := placement.NewController(candidate{leaders, i}, c, func() *bundle.Bundle { return c.bundle }, placement.WithTakeoverDelay(3*time.Second))
		ctl.Start()
		controllers = append(controllers, ctl)
	}
	start := time.Now()
	for n := 0; !c.converged(); n++ {
		time.Sleep(250 * time.Millisecond)
		c.checkInvariants(t)
		if n%16 == 15 && n/16 < changes {
			leaders.elect((leaders.leader + 1) % 3)
		}
		require.Less(t, time.Since(start), 5*time.Minute, "targets do not converge")
	}
	took := time.Since(start)
	for _, ctl := range controllers {
		ctl.Close()
	}
	time.Sleep(10 * time.Second) // for delayed orders to arrive
	require.True(t, c.converged(), "a delayed order changed the final state")
	return took
}

func (c *cluster) converged() bool {
	for _, b := range c.orderBooks {
		copies := b.Placed().Copies
		if len(copies) != 1 || copies["m@2"] != target.CopyReady {
			return false
		}
	}
	return true
}

// checkInvariants checks that a ready copy remains, that at most one load above the limit
// is in progress, and that other engines load only once the canary share is ready.
func (c *cluster) checkInvariants(t *testing.T) {
	ready, loading, canary := 0, 0, 0
	first := (len(c.orderBooks) + 3) / 4
	for i := range len(c.orderBooks) {
		copies := c.orderBooks[walnutramp.TargetName(fmt.Sprintf("e%d", i))].Placed().Copies
		for _, s := range copies {
			if s == target.CopyReady {
				ready++
			} else {
				loading++
			}
		}
		if i < first && copies["m@2"] == target.CopyReady {
			canary++
		}
		if _, has := copies["m@2"]; has && i >= first {
			require.Equal(t, first, canary, "the rest started before the canary share was ready")
		}
	}
	require.NotZero(t, ready, "the last ready copy was unloaded")
	require.LessOrEqual(t, loading, c.bundle.Placement.Loads+1, "too many concurrent loads from the weight store")
}

func TestRolloutUnderLossAndLeaderChanges(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(seed, 8, true)
			c.loss, c.maxDelay = 0.2, 800*time.Millisecond
			converge(t, c, 4)
		})
	}
}

func TestRolloutToTargetsWithoutFencing(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(seed, 6, false)
			c.loss, c.maxDelay = 0.2, 800*time.Millisecond
			converge(t, c, 3)
		})
	}
}

// An older leader's order that arrives after a newer leader's must be refused.
func TestStaleLeaderIsRefused(t *testing.T) {
	book := standin.NewOrderBook(true, time.Second, "m@1", "m@2")
	newer := target.Order{Action: target.UnloadArtifact, Artifact: "m@1", Fence: target.Fence{Epoch: 3, Sequence: 1}}
	older := target.Order{Action: target.UnloadArtifact, Artifact: "m@2", Fence: target.Fence{Epoch: 2, Sequence: 9}}
	require.True(t, book.Take(newer))
	require.False(t, book.Take(older))
	require.Equal(t, map[string]target.CopyState{"m@2": target.CopyReady}, book.Placed().Copies)
}

func TestPlanKeepsTheLastReadyCopy(t *testing.T) {
	c := newCluster(1, 2, true)
	c.bundle.Targets[0].Models = nil
	placed := map[walnutramp.TargetName]target.Placed{
		"e0": {Copies: map[string]target.CopyState{"m@1": target.CopyReady}},
		"e1": {Copies: map[string]target.CopyState{"m@2": target.CopyLoading}},
	}
	require.Empty(t, placement.Plan(c.bundle, placed))
	placed["e1"].Copies["m@2"] = target.CopyReady
	steps := placement.Plan(c.bundle, placed)
	require.Len(t, steps, 1)
	require.Equal(t, target.UnloadArtifact, steps[0].Action)
	require.Equal(t, "m@1", steps[0].Artifact)
}
