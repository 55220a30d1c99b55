package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/standin"
)

const fatalInput = "crashes the target that runs it"

// restartCrashed restarts the engines that no longer listen, and returns their number.
func (s runningSite) restartCrashed(t *testing.T) (crashed int) {
	for _, e := range s.Engines {
		c, err := s.net.Dialer("test")(t.Context(), "tcp", e.Target.Address)
		if err == nil {
			c.Close()
			continue
		}
		crashed++
		require.NoError(t, e.Start())
	}
	return crashed
}

// complete sends one completion request to a node.
func (s runningSite) complete(t *testing.T, node int, body string) (*http.Response, string) {
	address := s.Nodes[node%len(s.Nodes)].Callers
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+site.KeyOf("clerks"))
	resp, err := s.client.HTTP.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(answer)
}

// Guards against a prompt that crashes engine after engine: after three crashes it
// must be rejected as not run at every node, while other drafts complete.
func TestDraftThatCrashesEnginesIsQuarantined(t *testing.T) {
	withSite(t, func(cfg *site.Config) {
		cfg.Nodes, cfg.Engines = 3, 10
		cfg.Engine.FatalPrompt = fatalInput
	}, func(t *testing.T, s runningSite) {
		model := standin.DefaultEngineConfig().Model
		var others sync.WaitGroup
		for i := range 6 {
			others.Go(func() {
				d := s.client.Draft(t.Context(), load.Draft{
					APIKey: site.KeyOf("clerks"), Model: model, Prompt: fmt.Sprintf("log %d", i), MaxTokens: 300, First: i,
				})
				require.True(t, d.Complete && d.Verdict.OK(), "%+v", d.Refused)
			})
		}
		crashed := 0
		var last *http.Response
		var body string
		for i := range 6 {
			last, body = s.complete(t, i, fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":50}`, model, fatalInput))
			crashed += s.restartCrashed(t)
			time.Sleep(time.Second)
		}
		others.Wait()
		t.Logf("%d engines crashed", crashed)
		require.LessOrEqual(t, crashed, 3)
		require.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
		require.Contains(t, body, strconv.Itoa(int(walnutramp.CodeQuarantined)))
		require.Contains(t, body, string(walnutramp.NotRun))
		require.NotEmpty(t, last.Header.Get("Retry-After"))
	})
}

// Guards against a call that crashes service after service, both if the node retries
// it and if the caller sends it again with a new idempotency key.
func TestCallThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, tc := range []struct{ name, method, path string }{
		{"retried by the node", http.MethodGet, "/lookup/x"}, {"retried by the caller", http.MethodPost, "/bookings"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSite(t, func(cfg *site.Config) {
				cfg.Nodes, cfg.Control, cfg.Services = 3, 3, 8
				cfg.ServiceCfg = standin.ServiceConfig{Delay: 20 * time.Millisecond, FatalBody: fatalInput}
			}, func(t *testing.T, s runningSite) {
				var err error
				for i := range 6 {
					_, err = s.client.Call(t.Context(), load.Call{
						APIKey: site.KeyOf("clerks"), Key: fmt.Sprintf("key %d", i), Method: tc.method,
						Path: site.ServiceName + tc.path, Body: fatalInput, First: i,
					})
					require.Error(t, err)
					time.Sleep(500 * time.Millisecond)
				}
				runs := 0
				for _, svc := range s.Services {
					for _, n := range svc.Runs() {
						runs += n
					}
				}
				t.Logf("%d services crashed", runs)
				require.LessOrEqual(t, runs, 3)
				require.Equal(t, walnutramp.NotRun, outcomeOf(err))
			})
		})
	}
}
