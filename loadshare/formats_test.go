package loadshare

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/schema"
)

// TestFormats guards the encoding of datagrams and of the state file.
func TestFormats(t *testing.T) { schema.Check(t, message{}, savedState{}, savedOrigins{}) }

// storedDatagrams are the decoded files of testdata/kept. Each folder is named after
// the build that encoded it; all fields known to both builds are set.
func storedDatagrams() map[string]message {
	return map[string]message{
		"report": {
			Sequence: 9, Full: true, DataHall: "hall-1", Disk: true, Finished: []uint64{3}, Ended: []string{"i-1"}, Suspects: []string{"i-2"},
			Silent: []string{"i-3"}, Counts: map[string]balance.Count{"s": {Requests: 7, Retries: 2}},
			Runs: []run{{Number: 4, Target: "i-4", Read: 100, Hold: 200, AgeMS: 300, Key: "key", Copy: "i-5", CopyName: "name"}},
		},
		"feed": {Feed: &feedDatagram{
			Scope: scopeRegion, Region: "east", Sequence: 12, Part: 1, Parts: 2, Ended: []string{"i-1"},
			Counts: map[string]balance.Count{"s": {Requests: 7, Retries: 2}},
			Deltas: []nodeDelta{{Node: 77, Runs: []compactRun{{Number: 4, Target: 5, Read: 6, Hold: 7, AgeMS: 8, Copy: 9}}, Finished: []uint64{3}}},
		}},
		"ask":   {WantDataHall: true, Subscribe: &subscribeRequest{Scope: scopeSite, Snapshot: true, ResendFrom: 6}, Lookup: &lookupRequest{ID: 5, Key: "key"}},
		"found": {LookupReply: &lookupReply{ID: 5, Trace: &traceUpdate{Key: "key", CopyName: "name", Copy: "i-5", ReadAt: "i-6"}}, Traces: []traceUpdate{{Key: "k2", Finished: true}}},
	}
}

func TestStoredDatagramsDecode(t *testing.T) {
	files, err := filepath.Glob("testdata/kept/*/*")
	require.NoError(t, err)
	require.Len(t, files, 3*len(storedDatagrams()))
	for _, file := range files {
		datagram, err := os.ReadFile(file)
		require.NoError(t, err)
		got, err := decode(datagram)
		require.NoError(t, err, file)
		require.Equal(t, storedDatagrams()[filepath.Base(file)], got, file)
	}
}
