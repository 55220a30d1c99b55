package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/standin"
)

// TestRollingRestartFailsNoRequest stops and starts every node in turn, as
// planned, under drafts, lookups and bookings. A caller that is refused as
// not-run goes to the next node, as a balancer would send it; no request may
// fail and no stream may break.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	inSite(t, func(cfg *site.Config) { cfg.Nodes, cfg.Control = 5, 3 }, func(t *testing.T, s running) {
		client := s.client
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var drafts, calls atomic.Int64
		for i := range 6 {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					d := client.Draft(t.Context(), load.Draft{
						APIKey: site.KeyOf("clerks"), Model: standin.DefaultEngineConfig().Model,
						Prompt: fmt.Sprintf("log %d %d", i, n), MaxTokens: 60, First: i + n,
					})
					require.True(t, d.Complete && d.Verdict.OK(), "%+v", d.Refused)
					require.Zero(t, d.Reconnects, "a stream was cut off")
					drafts.Add(1)
				}
			})
		}
		for i := range 4 {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					callUntilServed(t, client, load.Call{
						APIKey: site.KeyOf("clerks"), Key: fmt.Sprintf("b-%d-%d", i, n), Method: http.MethodPost,
						Path: site.ServiceName + "/bookings", Body: "x", First: rng.IntN(5),
					})
					calls.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		for _, n := range s.Nodes {
			n.Stop(t.Context())
			if n.Disk != nil {
				n.Disk.Crash(0)
			}
			require.NoError(t, n.Start())
			time.Sleep(4 * time.Second)
		}
		stop()
		wg.Wait()
		for key, runs := range s.Services[0].Runs() {
			require.Equal(t, 1, runs, key)
		}
		t.Logf("%d drafts and %d bookings through five planned restarts", drafts.Load(), calls.Load())
	})
}

// callUntilServed goes from node to node while it is told not-run.
func callUntilServed(t *testing.T, client *load.Client, call load.Call) {
	var err error
	for range 20 {
		if _, err = client.Call(t.Context(), call); err == nil {
			return
		}
		if outcomeOf(err) != walnutramp.NotRun && !refusedConnection(err) {
			break
		}
		call.First++
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, err)
}

// refusedConnection reports whether the node was not there at all.
func refusedConnection(err error) bool {
	var refusal *load.Refusal
	return !errors.As(err, &refusal)
}

// TestEngineWithManyGenerationsDies kills an engine that carries about a
// hundred drafts. Every draft goes on, new callers are served meanwhile, and
// no surviving engine is asked for more prefills at once than its room.
func TestEngineWithManyGenerationsDies(t *testing.T) {
	inSite(t, func(cfg *site.Config) {
		cfg.Nodes, cfg.Engines = 4, 4
		cfg.Engine.Slots = 160
	}, func(t *testing.T, s running) {
		client := s.client
		results := make([]load.Drafted, 400)
		var wg sync.WaitGroup
		ask := func(i, tokens int) load.Drafted {
			return client.Draft(t.Context(), load.Draft{
				APIKey: site.KeyOf("clerks"), Model: standin.DefaultEngineConfig().Model,
				Prompt: fmt.Sprintf("log %d", i), MaxTokens: tokens, First: i,
			})
		}
		for i := range results {
			wg.Go(func() { results[i] = ask(i, 120) })
		}
		time.Sleep(1500 * time.Millisecond)
		victim := s.Engines[0]
		lost := len(victim.Running())
		require.Greater(t, lost, 60)
		victim.Kill()
		fresh := ask(1000, 5)
		require.True(t, fresh.Complete)
		require.Less(t, fresh.FirstToken, 2*time.Second, "a new caller starved behind the resumes")
		wg.Wait()
		var longest time.Duration
		for _, r := range results {
			require.True(t, r.Complete && r.Verdict.OK())
			longest = max(longest, r.LongestGap())
		}
		require.Less(t, longest, 4*time.Second)
		t.Logf("%d drafts lost their engine; longest pause %v, a new caller's first token %v", lost, longest, fresh.FirstToken)
	})
}
