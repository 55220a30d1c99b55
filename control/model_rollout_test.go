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

// The roll-out model check starts and reads roll-outs under the schedules of
// model_test.go, and verifies the history of the operators' calls.

const (
	modelService  = "s"
	modelDuration = 1500 * time.Millisecond // deadline of each roll-out
	modelVersions = 5                       // started in turn
)

// rolloutOp is a call of an operator with its result.
type rolloutOp struct {
	call, done time.Time
	order      bool
	record     rollout.Record
}

// rolloutHistory is the history of the operators' calls.
type rolloutHistory struct {
	mu  sync.Mutex
	ops []rolloutOp
}

func (h *rolloutHistory) record(op rolloutOp) {
	op.done = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// violation describes the first violation found: a roll-out that was acknowledged or
// read and then lost, or an end state that changed. It is empty if there is none.
func (h *rolloutHistory) violation() string {
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

// modelList returns a target of the version in force. There are none of other versions,
// so each roll-out is rolled back at its deadline.
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
		h.record(rolloutOp{call: call, order: true, record: rec})
	}
}

func (m *model) readRollout(h *rolloutHistory) {
	c, n := m.client()
	call := time.Now()
	if m.defect == unconfirmedReads {
		view := n.state.versions()
		rec, _ := view.Of(modelService)
		h.record(rolloutOp{call: call, record: rec})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	// An unknown roll-out is recorded as number 0, which reveals a lost one.
	reply, err := c.Rollout(ctx, modelService)
	if err == nil || walnutramp.HasCode(err, walnutramp.CodeRolloutUnknown) {
		h.record(rolloutOp{call: call, record: reply.Record})
	}
}

// runRolloutSchedule runs one schedule and returns its history.
func runRolloutSchedule(t *testing.T, seed uint64, d defect, episodes int) *rolloutHistory {
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
	for shard := range modelShards {
		t.Run(fmt.Sprint("shard ", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < seeds; seed += modelShards {
				h := runRolloutSchedule(t, uint64(seed), noDefect, 4)
				require.Empty(t, h.violation(), "seed %d", seed)
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

// Reads that are not confirmed by a majority may be stale, which the check must detect.
func TestModelOfRolloutsDetectsStaleReads(t *testing.T) {
	const most = 200
	for seed := range uint64(most) {
		if violation := runRolloutSchedule(t, seed, unconfirmedReads, 4).violation(); violation != "" {
			t.Logf("detected with seed %d: %s", seed, violation)
			return
		}
	}
	t.Fatalf("not detected in %d seeds", most)
}

func TestRolloutHistoryViolations(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	op := func(from int, order bool, number uint64, state rollout.State) rolloutOp {
		return rolloutOp{call: at(from), done: at(from + 1), order: order, record: rollout.Record{Number: number, State: state}}
	}
	for name, ops := range map[string][]rolloutOp{
		"forgotten":   {op(0, true, 7, rollout.Running), op(5, false, 0, "")},
		"older":       {op(0, false, 9, rollout.Running), op(5, false, 7, rollout.RolledBack)},
		"end revoked": {op(0, false, 7, rollout.RolledBack), op(5, false, 7, rollout.Running)},
	} {
		require.NotEmpty(t, (&rolloutHistory{ops: ops}).violation(), name)
	}
	valid := []rolloutOp{op(0, true, 7, rollout.Running), op(0, false, 0, ""), op(5, false, 7, rollout.Completed), op(9, true, 11, rollout.Running)}
	require.Empty(t, (&rolloutHistory{ops: valid}).violation())
}
