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

const fatal = "ends the target that runs it"

// restartEnded counts targets whose address nobody listens at any more, and starts
// the engines again.
func (s running) restartEnded(t *testing.T) (ended int) {
	for _, e := range s.Engines {
		c, err := s.net.Dialer("test")(t.Context(), "tcp", e.Target.Address)
		if err == nil {
			c.Close()
			continue
		}
		ended++
		require.NoError(t, e.Start())
	}
	return ended
}

// complete asks a node for a completion once.
func (s running) complete(t *testing.T, node int, body string) (*http.Response, string) {
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

// A draft whose prompt ends its engines, again and again and at every node: it
// ends three engines, and is then refused as not run. Drafts beside it are
// served whole.
func TestDraftThatEndsItsEnginesIsHeldBack(t *testing.T) {
	inSite(t, func(cfg *site.Config) {
		cfg.Nodes, cfg.Engines = 3, 10
		cfg.Engine.FatalPrompt = fatal
	}, func(t *testing.T, s running) {
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
		ended := 0
		var last *http.Response
		var told string
		for i := range 6 {
			last, told = s.complete(t, i, fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":50}`, model, fatal))
			ended += s.restartEnded(t)
			time.Sleep(time.Second)
		}
		others.Wait()
		t.Logf("%d engines ended", ended)
		require.LessOrEqual(t, ended, 3)
		require.Equal(t, http.StatusServiceUnavailable, last.StatusCode)
		require.Contains(t, told, strconv.Itoa(int(walnutramp.CodeHeldBack)))
		require.Contains(t, told, string(walnutramp.NotRun))
		require.NotEmpty(t, last.Header.Get("Retry-After"))
	})
}

// A plain call that ends its targets: one that may be repeated, and one that
// runs once under a new key each time.
func TestCallThatEndsItsTargetsIsHeldBack(t *testing.T) {
	for _, way := range []struct{ name, method, path string }{
		{"repeated by the system", http.MethodGet, "/lookup/x"}, {"repeated by its caller", http.MethodPost, "/bookings"},
	} {
		t.Run(way.name, func(t *testing.T) {
			inSite(t, func(cfg *site.Config) {
				cfg.Nodes, cfg.Control, cfg.Services = 3, 3, 8
				cfg.ServiceCfg = standin.ServiceConfig{Delay: 20 * time.Millisecond, FatalBody: fatal}
			}, func(t *testing.T, s running) {
				var err error
				for i := range 6 {
					_, err = s.client.Call(t.Context(), load.Call{
						APIKey: site.KeyOf("clerks"), Key: fmt.Sprintf("key %d", i), Method: way.method,
						Path: site.ServiceName + way.path, Body: fatal, First: i,
					})
					require.Error(t, err)
					time.Sleep(500 * time.Millisecond)
				}
				ran := 0
				for _, svc := range s.Services {
					for _, n := range svc.Runs() {
						ran += n
					}
				}
				t.Logf("%d services ended", ran)
				require.LessOrEqual(t, ran, 3)
				require.Equal(t, walnutramp.NotRun, outcomeOf(err))
			})
		})
	}
}
