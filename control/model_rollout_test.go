package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/rollout"
)

// The model check orders and reads roll-outs under the same schedules of
// crashes, lost disks, cuts and replacements, and holds the history to what an
// operator relies on.

const (
	modelService  = "s"
	modelDuration = 1500 * time.Millisecond
	modelVersions = 5 // that are ordered in turn
)

// rolloutOp is one call of an operator.
type rolloutOp struct {
	call, done time.Time
	order      bool
	record     rollout.Record
}

// rolloutHistory is what operators did and saw.
type rolloutHistory struct {
	mu  sync.Mutex
	ops []rolloutOp
}

func (h *rolloutHistory) note(op rolloutOp) {
	op.done = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// wrong returns what must not be: an order that was acknowledged and is
// forgotten, a roll-out that is older than one that was read before, an end
// that changed.
func (h *rolloutHistory) wrong() string {
	for _, a := range h.ops {
		for _, b := range h.ops {
			if b.order || !a.done.Before(b.call) {
				continue
			}
			if b.record.Number < a.record.Number {
				return fmt.Sprintf("roll-out %d was seen, then %d", a.record.Number, b.record.Number)
			}
			final := a.record.State == rollout.Completed || a.record.State == rollout.RolledBack
			if final && b.record.Number == a.record.Number && b.record.State != a.record.State {
				return fmt.Sprintf("roll-out %d was %s, then %s", a.record.Number, a.record.State, b.record.State)
			}
		}
	}
	return ""
}

// modelList lists a target of the version in force. No other comes, so each
// roll-out is taken back at its deadline.
func modelList() []discovery.Target {
	return []discovery.Target{{ID: "old", Service: modelService, Version: "v0", Slots: 1}}
}

func (m *model) orderRollout(h *rolloutHistory, n int) {
	c, _ := m.client()
	call := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	rec, err := c.StartRollout(ctx, modelService, fmt.Sprint("v", n%modelVersions+1), modelDuration)
	if err == nil {
		h.note(rolloutOp{call: call, order: true, record: rec})
	}
}

func (m *model) readRollout(h *rolloutHistory) {
	c, n := m.client()
	call := time.Now()
	if m.defect == readsAnywhere {
		view := n.state.versions()
		rec, _ := view.Of(modelService)
		h.note(rolloutOp{call: call, record: rec})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	reply, err := c.Rollout(ctx, modelService)
	if err == nil || walnutramp.HasCode(err, walnutramp.CodeRolloutUnknown) {
		h.note(rolloutOp{call: call, record: reply.Record})
	}
}

// playRollouts runs one schedule.
func playRollouts(t *testing.T, seed uint64, d defect, episodes int) *rolloutHistory {
	h := &rolloutHistory{}
	synctest.Test(t, func(*testing.T) {
		m := newModel(seed, d, func(m *model) { m.rollouts = true })
		time.Sleep(3 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		var operators sync.WaitGroup
		for i := range 3 {
			operators.Go(func() {
				for n := i; ctx.Err() == nil; n++ {
					if i == 0 {
						m.orderRollout(h, n)
					} else {
						m.readRollout(h)
					}
					time.Sleep(m.between(50*time.Millisecond, 700*time.Millisecond))
				}
			})
		}
		for range episodes {
			m.episode()
		}
		stop()
		operators.Wait()
		for name := range m.nodes {
			m.kill(name, false)
		}
	})
	return h
}

func TestModelOfRollouts(t *testing.T) {
	seeds := seedsFromEnvironment(120)
	for lane := range modelLanes {
		t.Run(fmt.Sprint("lane ", lane), func(t *testing.T) {
			t.Parallel()
			for seed := lane; seed < seeds; seed += modelLanes {
				h := playRollouts(t, uint64(seed), sound, 4)
				require.Empty(t, h.wrong(), "seed %d", seed)
				orders, ended := 0, 0
				for _, op := range h.ops {
					if op.order {
						orders++
					} else if op.record.State == rollout.RolledBack {
						ended++
					}
				}
				require.Positive(t, orders, "seed %d", seed)
				require.Positive(t, ended, "seed %d", seed)
			}
		})
	}
}

// What any member reads without a majority's word may be older than what was
// read before, which the check sees.
func TestModelOfRolloutsSeesAMistake(t *testing.T) {
	const most = 200
	for seed := range uint64(most) {
		if what := playRollouts(t, seed, readsAnywhere, 4).wrong(); what != "" {
			t.Logf("seen with seed %d: %s", seed, what)
			return
		}
	}
	t.Fatalf("not seen in %d seeds", most)
}

// A history with a mistake is seen.
func TestHistoriesOfRolloutsAreJudged(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	op := func(from int, order bool, number uint64, state rollout.State) rolloutOp {
		return rolloutOp{call: at(from), done: at(from + 1), order: order, record: rollout.Record{Number: number, State: state}}
	}
	for name, ops := range map[string][]rolloutOp{
		"forgotten":     {op(0, true, 7, rollout.Running), op(5, false, 0, "")},
		"older":         {op(0, false, 9, rollout.Running), op(5, false, 7, rollout.RolledBack)},
		"end that ends": {op(0, false, 7, rollout.RolledBack), op(5, false, 7, rollout.Running)},
	} {
		require.NotEmpty(t, (&rolloutHistory{ops: ops}).wrong(), name)
	}
	fine := []rolloutOp{op(0, true, 7, rollout.Running), op(0, false, 0, ""), op(5, false, 7, rollout.Completed), op(9, true, 11, rollout.Running)}
	require.Empty(t, (&rolloutHistory{ops: fine}).wrong())
}
