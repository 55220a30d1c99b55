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
	overloaded = 4 * time.Second
	restWanted = 3 * time.Second
)

// oneNode is a site of one node: a target asks each for rest by itself.
func oneNode(cfg *site.Config) {
	cfg.Nodes, cfg.Services, cfg.Guard.Replicas = 1, 3, 1
}

// An engine that has too much to do asks for rest. It gets none of the drafts that
// begin meanwhile, none that go on after their engines died, and no question for
// its load; all drafts are served by others.
func TestEngineThatAskedForRestIsLeftAlone(t *testing.T) {
	inSite(t, oneNode, func(t *testing.T, s running) {
		model := standin.DefaultEngineConfig().Model
		s.Engines[0].Overload(overloaded, restWanted)
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
		require.NotZero(t, s.Engines[0].Counts().Decoded, "it gets drafts again")
	})
}

// The same of plain services, for calls that may be repeated and those that may
// not; and while all of them rest, callers are told at once, as not run, when to
// come back.
func TestServiceThatAskedForRestIsLeftAlone(t *testing.T) {
	for _, way := range []struct {
		name, method, path string
		tired              int
	}{
		{"may be repeated", http.MethodGet, "/lookup/x", 1},
		{"runs once", http.MethodPost, "/bookings", 1},
		{"all rest", http.MethodGet, "/lookup/x", 3},
	} {
		t.Run(way.name, func(t *testing.T) {
			inSite(t, func(cfg *site.Config) { oneNode(cfg); cfg.Control = 1 }, func(t *testing.T, s running) {
				for _, svc := range s.Services[:way.tired] {
					svc.Overload(overloaded, restWanted)
				}
				refused := 0
				for i := range 140 {
					began := time.Now()
					_, err := s.client.Call(t.Context(), load.Call{
						APIKey: site.KeyOf("clerks"), Key: fmt.Sprintf("key %d", i), Method: way.method, Path: site.ServiceName + way.path, Body: "x",
					})
					var e *load.Refusal
					if errors.As(err, &e) && e.Code == walnutramp.CodeTargetsRest {
						refused++
						require.Equal(t, walnutramp.NotRun, e.Outcome)
						require.Positive(t, e.RetryAfter)
						require.LessOrEqual(t, e.RetryAfter, restWanted*5/4)
						require.Less(t, time.Since(began), 100*time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
				}
				for _, svc := range s.Services[:way.tired] {
					require.LessOrEqual(t, svc.Disturbances(), 2)
					require.NotEmpty(t, svc.Runs(), "it gets calls again")
				}
				if way.tired == len(s.Services) {
					require.NotZero(t, refused)
				}
			})
		})
	}
}
