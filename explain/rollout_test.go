package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const rolloutLog = `I0807 10:00:01.000000 1 x.go:1] "Roll-out ordered" service="desk" version="v1" duration_s=12
I0807 10:00:02.000000 1 x.go:1] "Roll-out goes on" service="desk" number=7 version="v1" state="completed" elapsed_ms=900 why="no evidence against the version"
I0807 10:01:01.000000 1 x.go:1] "Roll-out ordered" service="desk" version="v2" duration_s=12
I0807 10:01:02.000000 1 x.go:1] "Answer against a new version" request="a1" service="desk" route="berth" version="v2" target="i-9" how="failed"
I0807 10:01:02.500000 1 x.go:1] "Answer against a new version" request="a2" service="desk" route="berth" version="v2" target="i-8" how="lost"
I0807 10:01:02.600000 1 x.go:1] "Answer against a new version" request="b1" service="other" route="r" version="v2" target="i-7" how="lost"
I0807 10:01:03.000000 1 x.go:1] "Roll-out weighed" service="desk" number=9 version="v2" stage=0 score=8.1
`

func TestTraceRollout(t *testing.T) {
	lines, err := Read(strings.NewReader(rolloutLog), "member-1")
	require.NoError(t, err)
	r, ok := TraceRollout(lines, "desk")
	require.True(t, ok)
	require.Equal(t, "version v2 is in progress according to these logs", r.Cause)

	ended, err := Read(strings.NewReader(rolloutLog+`I0807 10:01:03.100000 1 x.go:1] "Roll-out goes on" service="desk" number=9 version="v2" state="rolled-back" elapsed_ms=2100 why="bad: answers failed on route berth" answers=31 excess=4.5 score=8.1
`), "member-1")
	require.NoError(t, err)
	r, ok = TraceRollout(ended, "desk")
	require.True(t, ok)
	require.Contains(t, r.Cause, "version v2 is rolled-back after 2100 ms: bad: answers failed on route berth")
	require.Contains(t, r.Cause, "2 answers against it")
	var text strings.Builder
	r.Write(&text)
	require.Contains(t, text.String(), "request=a1")
	require.NotContains(t, text.String(), "version=v1", "line of an earlier roll-out")
	require.NotContains(t, text.String(), "request=b1", "line of another service")
	_, ok = TraceRollout(lines, "none")
	require.False(t, ok)
}
