package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/standin"
)

// One body may be valid as a completion and as a chat, which are two requests.
func TestKeyOfACompletionIsNotThatOfAChat(t *testing.T) {
	withSite(t, func(cfg *site.Config) { cfg.Nodes, cfg.Engines = 3, 2 }, func(t *testing.T, s runningSite) {
		body := `{"model":"` + string(standin.DefaultEngineConfig().Model) + `","max_tokens":8,"prompt":"x","messages":[{"role":"user","content":"y"}]}`
		for _, c := range []struct {
			path, key string
			status    int
			answer    string
		}{
			{"/v1/completions", "k-1", 200, `"object":"text_completion"`},
			{"/v1/chat/completions", "k-1", 422, "key-reused"},
			{"/v1/chat/completions", "k-2", 200, `"object":"chat.completion"`},
			{"/v1/completions", "k-2", 422, "key-reused"},
			{"/v1/completions", "k-1", 200, `"object":"text_completion"`},
		} {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Nodes[0].Callers+c.path, strings.NewReader(body))
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer "+site.KeyOf("clerks"))
			r.Header.Set("Idempotency-Key", c.key)
			resp, err := s.client.HTTP.Do(r)
			require.NoError(t, err)
			answer, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, c.status, resp.StatusCode, "%s %s: %s", c.path, c.key, answer)
			require.Contains(t, string(answer), c.answer)
		}
	})
}
