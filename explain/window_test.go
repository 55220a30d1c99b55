package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const windowLog = `I0807 10:00:00.000000 1 x.go:1] "Members' times of day" agreed=true heard=6 of=6 spread_ms=3001 within_us=200
I0807 10:00:01.500000 1 x.go:1] "Window closed" window=7 late_ms=1500 requests=40 accounts=3 rows=9 nodes=5 silent=2 lastWord_ms=12
I0807 10:00:01.600000 1 x.go:1] "Window told" window=7 token=4 outcome="unclear" ms=700
I0807 10:00:01.700000 1 x.go:1] "Window told" window=8 token=4 outcome="done" ms=20
I0807 09:59:01.700000 1 x.go:1] "Process starts" name="m"
`

func TestTraceWindow(t *testing.T) {
	lines, err := Read(strings.NewReader(windowLog), "member-1")
	require.NoError(t, err)
	w, ok := TraceWindow(lines, "7")
	require.True(t, ok)
	require.Equal(t, "closed by member-1 1500 ms after its end with 40 requests of 3 accounts from 5 nodes, without the final reports of 2 nodes; "+
		"not reported according to these logs, after 1 failed calls", w.Cause)
	require.Len(t, w.Context, 1, "clock agreement, but no line of a minute before")

	later, err := Read(strings.NewReader(`I0807 10:00:04.000000 1 x.go:1] "Window told" window=7 token=5 outcome="done" ms=20
I0807 10:00:05.000000 1 x.go:1] "Window told" window=7 token=6 outcome="done" ms=20
`), "member-2")
	require.NoError(t, err)
	w, ok = TraceWindow(append(lines, later...), "7")
	require.True(t, ok)
	require.Contains(t, w.Cause, "reported by member-2 with token 5 after 1 failed calls")
	var text strings.Builder
	w.Write(&text)
	require.Contains(t, text.String(), "spread_ms=3001")
	require.NotContains(t, text.String(), "window=8")
	_, ok = TraceWindow(lines, "9")
	require.False(t, ok)

	abandoned, err := Read(strings.NewReader(`I0807 10:00:06.000000 1 x.go:1] "Window given up" window=9 why="the platform rejects it"
`), "member-2")
	require.NoError(t, err)
	w, ok = TraceWindow(abandoned, "9")
	require.True(t, ok)
	require.Contains(t, w.Cause, "given up: the platform rejects it")
}
