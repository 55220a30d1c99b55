package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The logs in testdata are excerpts of nodes' logs from failure tests; the first line
// of each names a failed request.
func TestTracesOfFailedRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			head, _, _ := strings.Cut(string(text), "\n")
			lines, err := Read(strings.NewReader(string(text)), "node")
			require.NoError(t, err)
			trace, ok := TraceRequest(lines, strings.TrimPrefix(head, "# request "))
			require.True(t, ok)
			var got strings.Builder
			trace.Write(&got)
			golden := strings.TrimSuffix(file, ".log") + ".txt"
			if os.Getenv("UPDATE_GOLDEN") != "" {
				require.NoError(t, os.WriteFile(golden, []byte(got.String()), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got.String())
		})
	}
}

func TestPlainKlogLines(t *testing.T) {
	text := `I0807 10:00:01.500000   13212 stream.go:10] "Run begins" request="a1" target="i-1" run=1
not a log line
I0807 10:00:02.250000   13212 stream.go:99] "Stream served" request="a1" route="r" first_ms=700 longest_pause_ms=31 last=9 runs=1 ms=750`
	lines, err := Read(strings.NewReader(text), "node-1.log")
	require.NoError(t, err)
	require.Len(t, lines, 2)
	require.Equal(t, "node-1.log", lines[0].Process)
	require.InDelta(t, 36001.5, lines[0].Time, 1e-6)
	trace, ok := TraceRequest(lines, "a1")
	require.True(t, ok)
	require.Contains(t, trace.Cause, "served completely: first event after 700 ms")
	_, ok = TraceRequest(lines, "a2")
	require.False(t, ok)
}

// The reason of a rejection can be in another request's line, here the target's
// earlier request for a cooldown.
func TestRequestRejectedWhileTargetsAreInCooldown(t *testing.T) {
	const text = `I0807 10:00:01.100000   13212 ask.go:90] "Target asks for rest" request="a0" target="i-1" status=503 rest_ms=3000
I0807 10:00:01.100100   13212 plain.go:99] "Target turned the request away" request="a1" target="i-1" status=503
I0807 10:00:01.100050   13212 ask.go:90] "Target asks for rest" request="a1" target="i-1" status=503 rest_ms=3000
I0807 10:00:01.101000   13212 refuse.go:99] "Request ended here" request="a1" code=3008 outcome="not-run" why="all targets asked for rest"
`
	lines, err := Read(strings.NewReader(text), "node-1.log")
	require.NoError(t, err)
	trace, ok := TraceRequest(lines, "a1")
	require.True(t, ok)
	require.Contains(t, trace.Cause, "target i-1 asked to back off for 3000 ms")
	require.Contains(t, trace.Advice, "had asked this node to back off")
	require.Len(t, trace.Context, 1)
}

// During an upgrade the trace must name the build that served the request, not that
// of an earlier or later process.
func TestTraceNamesBuildOfServingProcess(t *testing.T) {
	const text = `I0807 10:00:00.000000   13212 serve.go:99] "Process starts" name="n" build="aaa"
I0807 10:00:05.000000   13300 serve.go:99] "Process starts" name="n" build="bbb"
I0807 10:00:07.000000   13300 stream.go:99] "Stream served" request="a1" runs=1
I0807 10:00:09.000000   13400 serve.go:99] "Process starts" name="n" build="ccc"
`
	lines, err := Read(strings.NewReader(text), "node-1.log")
	require.NoError(t, err)
	trace, ok := TraceRequest(lines, "a1")
	require.True(t, ok)
	var output strings.Builder
	trace.Write(&output)
	require.Contains(t, output.String(), "build:  node-1.log ran bbb\n")
	require.NotContains(t, output.String(), "build:  node-1.log ran aaa")
}

func TestClientDisconnect(t *testing.T) {
	const begun = `I0807 10:00:01.500000   13212 stream.go:10] "Run begins" request="a1" target="i-1" run=1
I0807 10:00:02.250000   13212 stream.go:99] "Client left" request="a1" route="r" last=9 err="broken pipe"
`
	for text, want := range map[string]string{
		begun: "the client closed its connection after event 9",
		begun + `I0807 10:00:02.300000   13212 serve.go:99] "Process ends" name="n"`: "planned stop",
	} {
		lines, err := Read(strings.NewReader(text), "node-1.log")
		require.NoError(t, err)
		trace, ok := TraceRequest(lines, "a1")
		require.True(t, ok)
		require.Contains(t, trace.Cause, want)
	}
}

func TestStreamCutOffIsExplainedByItsReason(t *testing.T) {
	for why, want := range map[string]string{"no-attempt": "no further attempt", "quarantined": "is quarantined", "no-target": "no target was left", "stopping": "planned stop"} {
		lines, err := Read(strings.NewReader(`I0807 10:00:01.500000   13212 stream.go:10] "Run begins" request="a1" target="i-1" run=1
I0807 10:00:02.250000   13212 stream.go:99] "Stream given up" request="a1" route="r" last=9 sent=1 outcome="unknown" versionGone=false why="`+why+`" cause=null`), "node-1.log")
		require.NoError(t, err)
		trace, ok := TraceRequest(lines, "a1")
		require.True(t, ok)
		require.Contains(t, trace.Cause, want)
	}
}

func TestAnswerOfAStoppingNodeIsExplained(t *testing.T) {
	lines, err := Read(strings.NewReader(`I0807 10:00:02.250000   13212 refuse.go:48] "Request ended here" request="a1" route="r" code=5003 outcome="unknown" sent=1 why="this node is stopping, and no target has answered"`), "node-1.log")
	require.NoError(t, err)
	trace, ok := TraceRequest(lines, "a1")
	require.True(t, ok)
	require.Contains(t, trace.Cause, "planned stop")
}

func TestRequestCutOffIsExplained(t *testing.T) {
	for fields, want := range map[string]string{
		`why="client-left" cause="context canceled" err=null`: "the client closed its connection",
		`why="broken-answer" cause=null err="unexpected EOF"`: "broke off: unexpected EOF",
		`why="stopping" cause="the node stops" err=null`:      "planned stop",
		`why="client-left" cause="context canceled" stopping=true
I0807 10:00:02.300000   13212 serve.go:99] "Process ends" name="n"`: "planned stop",
	} {
		lines, err := Read(strings.NewReader(`I0807 10:00:01.000000   13212 serve.go:9] "Process stops" name="n" grace="3s"
I0807 10:00:02.250000   13212 cutoff.go:19] "Request cut off" request="a1" route="r" sent=1 outcome="unknown" `+fields), "node-1.log")
		require.NoError(t, err)
		trace, ok := TraceRequest(lines, "a1")
		require.True(t, ok)
		require.Contains(t, trace.Cause, want)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`  1.5 node I0807 10:00:01.500000 1 a.go:1] "Run begins" request="a" target="b c" list=["x","y"]`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text), "n")
		if err != nil {
			return
		}
		for _, l := range lines {
			if trace, ok := TraceRequest(lines, l.Fields["request"]); ok {
				trace.Write(&strings.Builder{})
			}
		}
	})
}

// A request that was rejected for a rate limit must be explained by the limit.
func TestRequestRejectedForARateLimit(t *testing.T) {
	const text = `I0807 10:00:01.100000   13212 limits.go:120] "Request rejected for a rate limit" request="a1" service="s" perSecond=2.3 limitAge_ms=400 ownSlots=1 permitsLeft="0.2" retryAfter_ms=900
I0807 10:00:01.100100   13212 refuse.go:46] "Request ended here" request="a1" code=3010 outcome="not-run" sent=0 why="all targets are at their rate limits"`
	lines, err := Read(strings.NewReader(text), "node")
	require.NoError(t, err)
	trace, ok := TraceRequest(lines, "a1")
	require.True(t, ok)
	require.Contains(t, trace.Cause, "a limit of 2.3 per second, known for 400 ms, of which this node owns 1 slots with 0.2 permits left")
}

// A request that went through another node names why, from a line of long before.
func TestRequestWithoutAPathOfItsNode(t *testing.T) {
	const text = `I0807 10:00:01.100000   1 monitor.go:191] "Path to targets lost" service="lookup" dialed=4 refused=4 err="connection refused"
I0807 10:00:01.200000   1 monitor.go:191] "Path to targets lost" service="draft" dialed=4 refused=4 err="connection refused"
I0807 10:00:02.100000   1 monitor.go:199] "Path to targets recovered" service="draft" lost_ms=900
I0807 10:00:09.100000   1 ingress.go:107] "Another node did not send the request" request="a1" egress="n-2" left=false reason="this node is stopping" err=null
I0807 10:00:09.200000   1 ingress.go:207] "Answered through another node" request="a1" egress="n-3" target="i-1" status=200
I0807 10:00:09.200100   1 plain.go:45] "Request served" request="a1" route="o" target="i-1" status=200 sent=1 ms=100
I0807 10:00:09.300000   1 refuse.go:46] "Request ended here" request="a2" route="o" code=3011 outcome="not-run" sent=0 why="no path"`
	lines, err := Read(strings.NewReader(text), "n-1")
	require.NoError(t, err)
	for _, request := range []string{"a1", "a2"} {
		trace, ok := TraceRequest(lines, request)
		require.True(t, ok)
		require.Len(t, trace.Context, 1)
		require.Equal(t, "lookup", trace.Context[0].Fields["service"])
	}
	served, _ := TraceRequest(lines, "a1")
	require.Contains(t, served.Cause, "through node n-3")
	rejected, _ := TraceRequest(lines, "a2")
	require.Contains(t, rejected.Advice, "lost its path to the targets")
}
