package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

// A node without a bundle knows no API keys and must not reject one as invalid.
func TestNodeWithoutBundleReportsNotInForce(t *testing.T) {
	h := New(WithBundle(func() *bundle.Bundle { return &bundle.Bundle{} }))
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer any")
	h.ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Contains(t, w.Body.String(), `"code":"3006","outcome":"not-run"`)
}

func FuzzParseRequest(f *testing.F) {
	b := &bundle.Bundle{Version: 1, Models: []bundle.Model{{Name: "m", Context: 100}}}
	h := New(WithBundle(func() *bundle.Bundle { return b }))
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":[1,2],"n":1,"seed":null}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		req, err := h.parse(body, "", bundle.Account{Name: "a"}, chat)
		if err != nil {
			if err.Outcome != walnutramp.NotRun {
				t.Fatalf("rejected body has outcome %s", err.Outcome)
			}
			return
		}
		if req.spec.Model != "m" || req.spec.MaxTokens < 1 || req.spec.MaxTokens > 100 {
			t.Fatalf("accepted: %+v", req.spec)
		}
	})
}
