package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/generation"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/node"
	"github.com/walnutramp/walnutramp/standin"
)

// Parameters of the random failure schedules.
const (
	chaosSeeds      = 120
	brokenRuleSeeds = 60 // for runs with a safety rule disabled
	chaosDrafts     = 6
	chaosEvents     = 14
	chaosDelay      = 15 * time.Millisecond // one way, between nodes
)

// chaos runs a seeded random schedule of failures on a site in virtual time.
type chaos struct {
	t    *testing.T
	rng  *rand.Rand
	site *site.Site
	net  *site.Memory
	down map[int]bool // nodes
}

// chaosOutcome sums up the results that the callers of one schedule received.
type chaosOutcome struct {
	verdict  standin.Verdict
	complete int
	refused  map[walnutramp.Code]int
}

// runChaos runs the schedule of a seed.
func runChaos(t *testing.T, seed uint64, change func(*site.Config)) chaosOutcome {
	cfg := site.Default()
	c := &chaos{t: t, rng: rand.New(rand.NewPCG(seed, 9)), net: site.NewMemory(), down: map[int]bool{}}
	cfg.Network = c.net
	cfg.Nodes = 5
	c.net.Delay = func(a, b string) time.Duration {
		if strings.HasPrefix(a, "node") && strings.HasPrefix(b, "node") {
			return chaosDelay
		}
		return 0
	}
	cfg.Engine.HoldEvery = 3
	cfg.Seed = seed
	if change != nil {
		change(&cfg)
	}
	var err error
	c.site, err = site.Start(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	require.NoError(t, c.site.AwaitMembers(ctx))
	time.Sleep(time.Second)
	rt := c.site.Transport()
	addresses := callerAddresses(c.site)
	out := c.runDrafts(ctx, load.NewClient(rt, addresses))
	rt.CloseIdleConnections()
	c.site.Close()
	return out
}

func (c *chaos) runDrafts(ctx context.Context, client *load.Client) chaosOutcome {
	results := make([]load.Drafted, chaosDrafts)
	var wg sync.WaitGroup
	for i := range results {
		d := load.Draft{
			APIKey: site.KeyOf("clerks"), Model: standin.DefaultEngineConfig().Model,
			Prompt: fmt.Sprintf("Harbour log %d", i), MaxTokens: 40 + c.rng.IntN(160), First: c.rng.IntN(5),
		}
		wg.Go(func() { results[i] = client.Draft(ctx, d) })
	}
	for range chaosEvents {
		time.Sleep(time.Duration(50+c.rng.IntN(600)) * time.Millisecond)
		c.event()
	}
	c.recover()
	wg.Wait()
	out := chaosOutcome{refused: map[walnutramp.Code]int{}}
	for _, r := range results {
		out.verdict.Add(r.Verdict)
		if r.Complete {
			out.complete++
		} else if r.Refused != nil {
			out.refused[r.Refused.Code]++
		}
	}
	return out
}

// event injects one random failure, or repairs one.
func (c *chaos) event() {
	engine := c.site.Engines[c.rng.IntN(len(c.site.Engines))]
	a, b := c.rng.IntN(5), c.rng.IntN(5)
	nameA, nameB := string(c.site.Nodes[a].Name), string(c.site.Nodes[b].Name)
	switch c.rng.IntN(9) {
	case 0:
		engine.Kill()
		require.NoError(c.t, engine.Start())
	case 1:
		engine.SetFault(standin.Fault{Kind: standin.FaultStall, For: time.Second})
	case 2:
		engine.SetFault(standin.Fault{Kind: standin.FaultPause, For: time.Second})
	case 3:
		engine.SetFault(standin.Fault{Kind: standin.FaultDouble})
	case 4:
		c.net.Reset(string(engine.Target.Name))
	case 5, 6:
		c.toggle(a)
	case 7:
		c.net.Cut(nameA, nameB)
	case 8:
		c.net.Heal(nameA, nameB)
	}
}

// toggle kills a node or restarts it; at most two are down at once.
func (c *chaos) toggle(i int) {
	if c.down[i] {
		require.NoError(c.t, c.site.Nodes[i].Start())
		delete(c.down, i)
		return
	}
	if len(c.down) < 2 {
		c.site.Nodes[i].Kill()
		c.down[i] = true
	}
}

func (c *chaos) recover() {
	for i := range c.site.Nodes {
		if c.down[i] {
			c.toggle(i)
		}
		for j := range i {
			c.net.Heal(string(c.site.Nodes[i].Name), string(c.site.Nodes[j].Name))
		}
	}
}

// allowedCodes are the error codes with which a draft may fail under chaos.
var allowedCodes = []walnutramp.Code{
	walnutramp.CodeNotProvable, walnutramp.CodeGenerationUnknown, walnutramp.CodeOutOfTargets,
	walnutramp.CodeNoTarget, walnutramp.CodeResumeRefused,
}

// violation describes the violated guarantee, or returns "" if there is none.
func (o chaosOutcome) violation() string {
	if !o.verdict.OK() {
		return fmt.Sprintf("token errors: %+v", o.verdict)
	}
	for code := range o.refused {
		if !slices.Contains(allowedCodes, code) {
			return fmt.Sprintf("unexpected error code %v", code)
		}
	}
	return ""
}

// runSchedules runs the schedules of the seeds below seeds in parallel and returns
// their outcomes.
func runSchedules(t *testing.T, seeds int, change func(*site.Config)) []chaosOutcome {
	outcomes := make([]chaosOutcome, seeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range outcomes {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { outcomes[seed] = runChaos(t, uint64(seed), change) })
			})
		}
	})
	return outcomes
}

// TestChaosKeepsTokenSequenceExact guards against missing, repeated or mixed tokens
// while engines and nodes crash, pause and restart and links are cut. A draft that
// fails must end with one of allowedCodes.
func TestChaosKeepsTokenSequenceExact(t *testing.T) {
	complete := 0
	for seed, out := range runSchedules(t, chaosSeeds, nil) {
		require.Empty(t, out.violation(), "seed %d", seed)
		complete += out.complete
	}
	t.Logf("%d of %d drafts completed", complete, chaosSeeds*chaosDrafts)
	require.Greater(t, complete, chaosSeeds*chaosDrafts*9/10, "too few drafts completed")
}

// requireViolationDetected runs the schedules with a safety rule disabled and checks
// that at least one detects it.
func requireViolationDetected(t *testing.T, change func(*site.Config)) {
	violations := 0
	for seed, out := range runSchedules(t, brokenRuleSeeds, change) {
		if v := out.violation(); v != "" {
			violations++
			t.Logf("seed %d: %s", seed, v)
		}
	}
	require.NotZero(t, violations, "no schedule detected the disabled rule")
}

// TestChaosDetectsEarlyRelease releases tokens before a majority has replicated them.
func TestChaosDetectsEarlyRelease(t *testing.T) {
	requireViolationDetected(t, func(c *site.Config) {
		c.NodeOpt = append(c.NodeOpt, node.WithGenerationOptions(generation.WithBrokenRule(generation.BreakRelease)))
	})
}

// TestSessionDetectsReplicaAmnesia checks that the replica_forgets session detects a
// violation: with the rule disabled its transcript differs from the golden one.
func TestSessionDetectsReplicaAmnesia(t *testing.T) {
	doc, err := os.ReadFile("testdata/sessions/replica_forgets.txt")
	require.NoError(t, err)
	script, want, _ := strings.Cut(string(doc), divider)
	var got string
	synctest.Test(t, func(t *testing.T) {
		got = runSession(t, script, node.WithGenerationOptions(generation.WithBrokenRule(generation.BreakPromise)))
	})
	require.NotEqual(t, want, got)
	t.Log(got)
}
