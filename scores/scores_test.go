package scores

import (
	"bytes"
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func journal(t *testing.T, entries ...string) string {
	t.Helper()
	folder := t.TempDir()
	for i, text := range entries {
		require.NoError(t, os.WriteFile(filepath.Join(folder, string(rune('a'+i))+".json"), []byte(text), 0o600))
	}
	return folder
}

const (
	olderRun = `{"id":"1","cmd":"score","at":["2026-01-01T00:00:00Z"],"head":"aaaaaaaaaa","site":"north","score":0.5,"days":[
	 {"name":"quiet","G":0.4,"top":0.6,"rules":{}},{"name":"trouble","G":-0.2,"top":0.5,"rules":{"LOST":1}},{"name":"fresh-1","G":0.3,"top":null}]}`
	newerRun = `{"id":"2","cmd":"score","at":["2026-02-01T00:00:00Z"],"head":"bbbbbbbbbb","site":"north","score":0.9,"days":[
	 {"name":"quiet","G":0.7,"top":0.6,"rules":{}},{"name":"trouble","G":0.45,"top":0.5,"rules":{}},{"name":"fresh-2","G":0.3,"top":null}]}`
	otherCommand = `{"id":"3","cmd":"hunt","at":["2026-03-01T00:00:00Z"],"head":"cc","site":"north","days":[{"name":"mix","G":0.1}]}`
)

func TestTable(t *testing.T) {
	sites, err := Read(journal(t, newerRun, olderRun, otherCommand))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, WriteTable(&out, sites))
	require.Equal(t, `| north | full | aaaaaaa | bbbbbbb |
|---|---|---|---|
| score | | 0.500 | 0.900 |
| quiet | 0.600 | 0.400 | 0.700 |
| trouble | 0.500 | -0.200* | 0.450 |

`, out.String())
}

func TestPlotIsWellFormed(t *testing.T) {
	sites, err := Read(journal(t, newerRun, olderRun))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, WritePlot(&out, sites))
	decoder := xml.NewDecoder(&out)
	lines := 0
	for {
		token, err := decoder.Token()
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "polyline" {
			lines++
		}
	}
	require.Equal(t, 2, lines, "one line for each day shared by all runs")
}

func TestReadNamesInvalidFile(t *testing.T) {
	_, err := Read(journal(t, "{"))
	require.ErrorContains(t, err, "a.json")
}
