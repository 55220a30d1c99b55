package caller

import (
	"testing"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
)

func FuzzParseRequest(f *testing.F) {
	b := &bundle.Bundle{Version: 1, Models: []bundle.Model{{Name: "m", Context: 100}}}
	h := New(WithBundle(func() *bundle.Bundle { return b }))
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":[1,2],"n":1,"seed":null}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		a, err := h.parse(body, "", bundle.Account{Name: "a"}, chat)
		if err != nil {
			if err.Outcome != walnutramp.NotRun {
				t.Fatalf("a refused body is told %s", err.Outcome)
			}
			return
		}
		if a.spec.Model != "m" || a.spec.MaxTokens < 1 || a.spec.MaxTokens > 100 {
			t.Fatalf("taken: %+v", a.spec)
		}
	})
}
