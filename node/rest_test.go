package node_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/standin"
)

const (
	overloadDuration = 4 * time.Second
	cooldown         = 3 * time.Second
)

// oneNode configures a site with one node, since targets request a cooldown
// of each node separately.
func oneNode(cfg *site.Config) {
	cfg.Nodes, cfg.Services, cfg.Guard.Replicas = 1, 3, 1
}

// Guards against requests to an overloaded engine that requested a cooldown: it must get
// no new drafts, no resumed ones and no load queries, while others serve all drafts.
func TestEngineCooldownIsHonored(t *testing.T) {
	withSite(t, oneNode, func(t *testing.T, s runningSite) {
		model := standin.DefaultEngineConfig().Model
		s.Engines[0].Overload(overloadDuration, cooldown)
		s.Engines[1].SetFault(standin.Fault{Kind: standin.FaultDie, AtToken: 100})
		var drafts sync.WaitGroup
		for i := range 60 {
			drafts.Go(func() {
				d := s.client.Draft(t.Context(), load.Draft{
					APIKey: site.KeyOf("clerks"), Model: model, Prompt: fmt.Sprintf("log %d", i), MaxTokens: 120,
				})
				require.True(t, d.Complete && d.Verdict.OK(), "%+v", d.Refused)
			})
			time.Sleep(150 * time.Millisecond)
		}
		drafts.Wait()
		require.LessOrEqual(t, s.Engines[0].Disturbances(), 2)
		require.NotZero(t, s.Engines[0].Counts().Decoded, "engine gets no drafts after its cooldown")
	})
}

// The same for plain services, with idempotent and other calls. While all services
// are in cooldown, calls must be rejected at once as not run, with a Retry-After.
func TestServiceCooldownIsHonored(t *testing.T) {
	for _, tc := range []struct {
		name, method, path string
		numOverloaded      int
	}{
		{"idempotent", http.MethodGet, "/lookup/x", 1},
		{"not idempotent", http.MethodPost, "/bookings", 1},
		{"all overloaded", http.MethodGet, "/lookup/x", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSite(t, func(cfg *site.Config) { oneNode(cfg); cfg.Control = 1 }, func(t *testing.T, s runningSite) {
				for _, svc := range s.Services[:tc.numOverloaded] {
					svc.Overload(overloadDuration, cooldown)
				}
				refused := 0
				for i := range 140 {
					start := time.Now()
					_, err := s.client.Call(t.Context(), load.Call{
						APIKey: site.KeyOf("clerks"), Key: fmt.Sprintf("key %d", i), Method: tc.method, Path: site.ServiceName + tc.path, Body: "x",
					})
					var e *load.Refusal
					if errors.As(err, &e) && e.Code == walnutramp.CodeTargetsCooldown {
						refused++
						require.Equal(t, walnutramp.NotRun, e.Outcome)
						require.Positive(t, e.RetryAfter)
						require.LessOrEqual(t, e.RetryAfter, cooldown*5/4)
						require.Less(t, time.Since(start), 100*time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
				}
				for _, svc := range s.Services[:tc.numOverloaded] {
					require.LessOrEqual(t, svc.Disturbances(), 2)
					require.NotEmpty(t, svc.Runs(), "service gets no calls after its cooldown")
				}
				if tc.numOverloaded == len(s.Services) {
					require.NotZero(t, refused)
				}
			})
		})
	}
}
