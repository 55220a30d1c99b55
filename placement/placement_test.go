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

// yard is a set of order books that several controllers order at.
type yard struct {
	mu    sync.Mutex
	rng   *rand.Rand
	books map[walnutramp.TargetName]*standin.OrderBook
	b     *bundle.Bundle
	loss  float64
	late  time.Duration // longest an order may be on its way
}

func newYard(seed uint64, engines int, checks bool) *yard {
	y := &yard{rng: rand.New(rand.NewPCG(seed, 17)), books: map[walnutramp.TargetName]*standin.OrderBook{}}
	y.b = &bundle.Bundle{
		Version: 1, Placement: bundle.Placement{Orders: true, Loads: 2},
		Models: []bundle.Model{{Name: "m", Context: 1, Version: "2", Canary: 25}},
	}
	for i := range engines {
		name := walnutramp.TargetName(fmt.Sprintf("e%d", i))
		y.books[name] = standin.NewOrderBook(checks, time.Second, "m@1")
		y.b.Targets = append(y.b.Targets, bundle.Target{
			Name: name, Kind: bundle.KindEngine, Models: []walnutramp.ModelName{"m"}, ChecksOrders: checks,
		})
	}
	return y
}

func (y *yard) Orders(t bundle.Target) target.Orders { return &way{y, y.books[t.Name]} }

func (y *yard) draw() (lost bool, delay time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.rng.Float64() < y.loss, time.Duration(y.rng.Int64N(int64(y.late) + 1))
}

type way struct {
	y    *yard
	book *standin.OrderBook
}

func (w *way) Placed(context.Context) (target.Placed, error) { return w.book.Placed(), nil }

// Order loses orders and answers, repeats some, and delivers late.
func (w *way) Order(ctx context.Context, o target.Order) error {
	lost, delay := w.y.draw()
	if !lost {
		go func() {
			time.Sleep(delay)
			w.book.Take(o)
			if again, more := w.y.draw(); again {
				time.Sleep(min(more, placement.OrderLife))
				w.book.Take(o)
			}
		}()
	}
	select {
	case <-time.After(delay):
		if lost {
			return errors.New("lost")
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// throne says who leads; terms grow.
type throne struct {
	mu   sync.Mutex
	term uint64
	who  int
}

func (t *throne) move(who int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.term++
	t.who = who
}

type claimant struct {
	t  *throne
	id int
}

func (c claimant) Term() uint64 {
	c.t.mu.Lock()
	defer c.t.mu.Unlock()
	if c.t.who != c.id {
		return 0
	}
	return c.t.term
}

func (c claimant) Confirm(context.Context) bool { return c.Term() != 0 }

// settle runs three controllers while leaders change, checking at each moment
// that no rule is broken, and returns how long until all targets hold what
// they should.
func settle(t *testing.T, y *yard, changes int) time.Duration {
	th := &throne{}
	th.move(0)
	var cs []*placement.Controller
	for i := range 3 {
		c := placement.NewController(claimant{th, i}, y, func() *bundle.Bundle { return y.b }, placement.WithInherit(3*time.Second))
		c.Start()
		cs = append(cs, c)
	}
	began := time.Now()
	for n := 0; !y.done(); n++ {
		time.Sleep(250 * time.Millisecond)
		y.check(t)
		if n%16 == 15 && n/16 < changes {
			th.move((th.who + 1) % 3)
		}
		require.Less(t, time.Since(began), 5*time.Minute, "orders never settle")
	}
	took := time.Since(began)
	for _, c := range cs {
		c.Close()
	}
	time.Sleep(10 * time.Second) // late orders arrive
	require.True(t, y.done(), "a late order undid the end state")
	return took
}

func (y *yard) done() bool {
	for _, b := range y.books {
		copies := b.Placed().Copies
		if len(copies) != 1 || copies["m@2"] != target.CopyReady {
			return false
		}
	}
	return true
}

// check holds the rules that must hold at every moment.
func (y *yard) check(t *testing.T) {
	ready, loading, canary := 0, 0, 0
	first := (len(y.books) + 3) / 4
	for i := range len(y.books) {
		copies := y.books[walnutramp.TargetName(fmt.Sprintf("e%d", i))].Placed().Copies
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
			require.Equal(t, first, canary, "the rest began before the canary share was ready")
		}
	}
	require.NotZero(t, ready, "the last ready copy was unloaded")
	require.LessOrEqual(t, loading, y.b.Placement.Loads+1, "the weight store is asked for too much")
}

func TestRolloutUnderLossAndLeaderChanges(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			y := newYard(seed, 8, true)
			y.loss, y.late = 0.2, 800*time.Millisecond
			settle(t, y, 4)
		})
	}
}

func TestRolloutToTargetsThatDoNotCheck(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			y := newYard(seed, 6, false)
			y.loss, y.late = 0.2, 800*time.Millisecond
			settle(t, y, 3)
		})
	}
}

// TestStaleLeaderIsRefused delivers an older leader's order after a newer's.
func TestStaleLeaderIsRefused(t *testing.T) {
	book := standin.NewOrderBook(true, time.Second, "m@1", "m@2")
	newer := target.Order{Action: target.UnloadArtifact, Artifact: "m@1", Fence: target.Fence{Epoch: 3, Sequence: 1}}
	older := target.Order{Action: target.UnloadArtifact, Artifact: "m@2", Fence: target.Fence{Epoch: 2, Sequence: 9}}
	require.True(t, book.Take(newer))
	require.False(t, book.Take(older))
	require.Equal(t, map[string]target.CopyState{"m@2": target.CopyReady}, book.Placed().Copies)
}

func TestPlanKeepsTheLastReadyCopy(t *testing.T) {
	y := newYard(1, 2, true)
	y.b.Targets[0].Models = nil
	placed := map[walnutramp.TargetName]target.Placed{
		"e0": {Copies: map[string]target.CopyState{"m@1": target.CopyReady}},
		"e1": {Copies: map[string]target.CopyState{"m@2": target.CopyLoading}},
	}
	require.Empty(t, placement.Plan(y.b, placed))
	placed["e1"].Copies["m@2"] = target.CopyReady
	steps := placement.Plan(y.b, placed)
	require.Len(t, steps, 1)
	require.Equal(t, target.UnloadArtifact, steps[0].Action)
	require.Equal(t, "m@1", steps[0].Artifact)
}
