package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const dutyLog = `I0807 10:00:01.000000 1 x.go:1] "Duty granted" why="another member led before" token=12 waits=true before="n2" recent=["n2","n1"]
I0807 10:00:04.000000 1 x.go:1] "Duty granted" why="a lease has passed since the first grant" token=15 waits=false before="n2" recent=["n1"]
I0807 10:00:04.100000 1 x.go:1] "Duty taken" token=15 before="n2" left_ms=2700
I0807 10:00:05.000000 1 x.go:1] "Duty call" subject="usage" content="7" token=15 outcome="done" ms=3
I0807 10:00:06.000000 1 x.go:1] "Duty call" subject="usage" content="8" token=15 outcome="unclear" ms=1500
I0807 10:00:07.000000 1 x.go:1] "Duty lost" token=15 leads=false left_ms=1800 released=false holder="n1"
`

func TestTraceToken(t *testing.T) {
	lines, err := Read(strings.NewReader(dutyLog), "member-1")
	require.NoError(t, err)
	trace, ok := TraceToken(lines, "15")
	require.True(t, ok)
	require.Equal(t, "granted to member-1 (a lease has passed since the first grant); calls: 1 done, 1 unclear; lost: the member no longer leads the control group", trace.Cause)
	var text strings.Builder
	trace.Write(&text)
	require.Contains(t, text.String(), "content=8")
	require.NotContains(t, text.String(), "waits=true", "line of another token")

	trace, ok = TraceToken(lines, "12")
	require.True(t, ok)
	require.Contains(t, trace.Cause, "first waits for a lease, as n2 may still act; calls: none; its end is not in these logs")
	_, ok = TraceToken(lines, "13")
	require.False(t, ok)
}

func TestDutyLossReason(t *testing.T) {
	for why, fields := range map[string]map[string]string{
		"it was released": {"released": "true", "leads": "true", "left_ms": "900"},
		"the member no longer leads the control group":        {"released": "false", "leads": "false", "left_ms": "900"},
		"no majority confirmed in time that the member leads": {"released": "false", "leads": "true", "left_ms": "-3"},
		"the platform refused it":                             {"released": "false", "leads": "true", "left_ms": "900"},
	} {
		require.Equal(t, why, lossReason(Line{Fields: fields}))
	}
}
