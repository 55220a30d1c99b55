package loadshare

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/schema"
)

// What is sent and stored.
func TestFormats(t *testing.T) { schema.Check(t, message{}, memory{}) }

// keptDatagrams are what the files in testdata/kept hold: made by the encoder of the
// build that names their folder, each with every field set that both builds know.
func keptDatagrams() map[string]message {
	return map[string]message{
		"report": {
			Sequence: 9, Full: true, DataHall: "hall-1", Disk: true, Over: []uint64{3}, Ended: []string{"i-1"}, Suspects: []string{"i-2"},
			Silent: []string{"i-3"}, Counts: map[string]balance.Count{"s": {Requests: 7, Repeats: 2}},
			Runs: []run{{Number: 4, Target: "i-4", Read: 100, Hold: 200, AgeMS: 300, Key: "key", Copy: "i-5", CopyName: "name"}},
		},
		"feed": {Feed: &feedPart{
			Scope: scopeRegion, Region: "east", Number: 12, Part: 1, Parts: 2, Ended: []string{"i-1"},
			Counts:   map[string]balance.Count{"s": {Requests: 7, Repeats: 2}},
			Sections: []section{{Node: 77, Runs: []shortRun{{Number: 4, Target: 5, Read: 6, Hold: 7, AgeMS: 8, Copy: 9}}, Over: []uint64{3}}},
		}},
		"ask":   {Asks: true, Subscribe: &subscribe{Scope: scopeSite, Whole: true, From: 6}, Lookup: &lookup{ID: 5, Key: "key"}},
		"found": {Found: &found{ID: 5, Trace: &traceNote{Key: "key", CopyName: "name", Copy: "i-5", ReadAt: "i-6"}}, Traces: []traceNote{{Key: "k2", Over: true}}},
	}
}

func TestKeptDatagramsAreRead(t *testing.T) {
	files, err := filepath.Glob("testdata/kept/*/*")
	require.NoError(t, err)
	require.Len(t, files, 2*len(keptDatagrams()))
	for _, file := range files {
		datagram, err := os.ReadFile(file)
		require.NoError(t, err)
		got, err := decode(datagram)
		require.NoError(t, err, file)
		require.Equal(t, keptDatagrams()[filepath.Base(file)], got, file)
	}
}
