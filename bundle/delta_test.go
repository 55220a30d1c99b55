package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// jsonDocument returns a single-line document with the given number of routes;
// the routes with the changed indexes have a different timeout.
func jsonDocument(t *testing.T, routes int, changed ...int) []byte {
	t.Helper()
	type route struct {
		Name    string `json:"name"`
		Prefix  string `json:"path_prefix"`
		Timeout int    `json:"timeout_ms"`
	}
	list := make([]route, routes)
	for i := range list {
		list[i] = route{Name: fmt.Sprint("r-", i), Prefix: fmt.Sprintf("/p%d/", i), Timeout: 25000}
	}
	for _, i := range changed {
		list[i].Timeout = 9000
	}
	doc, err := json.Marshal(map[string]any{"routes": list, "version": 3 + len(changed)})
	require.NoError(t, err)
	return doc
}

func TestDeltaOfSingleLineIsSmall(t *testing.T) {
	from, to := jsonDocument(t, 300), jsonDocument(t, 300, 0, 150, 299)
	d := NewDelta(3, from, 6, to)
	got, err := d.Apply(from)
	require.NoError(t, err)
	require.Equal(t, string(to), string(got))
	require.Less(t, d.Size(), 600)
	require.Greater(t, len(to), 15000)
}

func TestChunksReproduceDocument(t *testing.T) {
	for _, text := range []string{"", "\n", "a", "a\n", "a\nb", "},", "{},{}", "},\n},", "a},b\n\nc,"} {
		all := splitChunks([]byte(text))
		var joined bytes.Buffer
		for _, p := range all {
			require.NotEmpty(t, p)
			joined.WriteString(p)
		}
		require.Equal(t, text, joined.String())
	}
	require.Len(t, splitChunks(jsonDocument(t, 300)), 300)
}
