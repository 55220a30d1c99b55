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

// TestRollingRestartFailsNoRequest guards against failed requests and broken streams
// while each node is restarted gracefully in turn. Requests rejected as not-run are
// sent to the next node, as a load balancer would do.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	withSite(t, func(cfg *site.Config) { cfg.Nodes, cfg.Control = 5, 3 }, func(t *testing.T, s runningSite) {
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
					require.Zero(t, d.Reconnects, "stream interrupted by a graceful stop")
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
		t.Logf("%d drafts and %d bookings served during five graceful restarts", drafts.Load(), calls.Load())
	})
}

// callUntilServed tries node after node while the outcome is not-run.
func callUntilServed(t *testing.T, client *load.Client, call load.Call) {
	var err error
	for range 20 {
		if _, err = client.Call(t.Context(), call); err == nil {
			return
		}
		if outcomeOf(err) != walnutramp.NotRun && !isConnectionError(err) {
			break
		}
		call.First++
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, err)
}

// isConnectionError reports whether err is no response of a node, such as a refused
// connection.
func isConnectionError(err error) bool {
	var refusal *load.Refusal
	return !errors.As(err, &refusal)
}

// TestCrashOfEngineWithManyGenerations kills an engine with about a hundred drafts and
// guards against lost drafts, and against new callers starved by the resumed ones.
func TestCrashOfEngineWithManyGenerations(t *testing.T) {
	withSite(t, func(cfg *site.Config) {
		cfg.Nodes, cfg.Engines = 4, 4
		cfg.Engine.Slots = 160
	}, func(t *testing.T, s runningSite) {
		client := s.client
		results := make([]load.Drafted, 400)
		var wg sync.WaitGroup
		draft := func(i, tokens int) load.Drafted {
			return client.Draft(t.Context(), load.Draft{
				APIKey: site.KeyOf("clerks"), Model: standin.DefaultEngineConfig().Model,
				Prompt: fmt.Sprintf("log %d", i), MaxTokens: tokens, First: i,
			})
		}
		for i := range results {
			wg.Go(func() { results[i] = draft(i, 120) })
		}
		time.Sleep(1500 * time.Millisecond)
		victim := s.Engines[0]
		lost := len(victim.Running())
		require.Greater(t, lost, 60)
		victim.Kill()
		newDraft := draft(1000, 5)
		require.True(t, newDraft.Complete)
		require.Less(t, newDraft.FirstToken, 2*time.Second, "new draft delayed by resumed ones")
		wg.Wait()
		var longest time.Duration
		for _, r := range results {
			require.True(t, r.Complete && r.Verdict.OK())
			longest = max(longest, r.LongestGap())
		}
		require.Less(t, longest, 4*time.Second)
		t.Logf("%d drafts resumed; longest pause %v, time to first token of a new draft %v", lost, longest, newDraft.FirstToken)
	})
}
