package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func call(subject Subject, content string) Call { return Call{Subject: subject, Content: content} }

func noted(g *Gate, subject Subject, content string, token Token, o Outcome, now time.Time) {
	g.Note(call(subject, content), Permission{Token: token}, o, now, now)
}

func TestUnclearCallNeedsAHigherTokenForOtherContent(t *testing.T) {
	g := NewGate()
	noted(g, "s", "x", 5, Unclear, start)
	require.False(t, g.NeedsToken(call("s", "x"), 5), "an exact repeat")
	require.True(t, g.NeedsToken(call("s", "y"), 5))
	require.False(t, g.NeedsToken(call("s", "y"), 6))
	require.False(t, g.NeedsToken(call("other", "y"), 5))

	noted(g, "s", "x", 5, Done, start)
	require.True(t, g.NeedsToken(call("s", "y"), 5), "the first of the two may be carried out yet")
	noted(g, "s", "y", 6, Done, start)
	require.Empty(t, g.unclear)
}

func TestAnsweredCallsNeedNoHigherToken(t *testing.T) {
	for _, o := range []Outcome{Done, Rejected, Busy, NotSent, Unreachable} {
		g := NewGate()
		noted(g, "s", "x", 5, o, start)
		require.False(t, g.NeedsToken(call("s", "y"), 5), o)
	}
}

func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	for _, o := range []Outcome{Fenced, Conflict} {
		g := NewGate()
		noted(g, "s", "x", 5, o, start)
		require.True(t, g.NeedsToken(call("s", "x"), 5), "an exact repeat, too")
		require.False(t, g.NeedsToken(call("s", "x"), 6))
	}
}

func TestPausesGrowAndEnd(t *testing.T) {
	g := NewGate()
	limits := []time.Duration{100, 200, 400, 800, 1600, 2000, 2000}
	for _, limit := range limits {
		noted(g, "s", "x", 5, Busy, start)
		pause := g.Pause(start)
		require.GreaterOrEqual(t, pause, limit*time.Millisecond/2)
		require.LessOrEqual(t, pause, limit*time.Millisecond)
		require.Zero(t, g.Pause(start.Add(pause)))
	}
	noted(g, "s", "x", 5, Done, start)
	noted(g, "s", "x", 5, Unclear, start)
	require.LessOrEqual(t, g.Pause(start), firstPause)
}

func TestSilenceOfThePlatform(t *testing.T) {
	g := NewGate()
	noted(g, "s", "x", 5, Unclear, at(0))
	noted(g, "s", "x", 5, Unreachable, at(500))
	require.Zero(t, g.Silent(at(9000)), "too few calls to tell")
	noted(g, "s", "x", 5, NotSent, at(600))
	noted(g, "s", "x", 5, Unclear, at(1000))
	require.Equal(t, 2*time.Second, g.Silent(at(2000)))
	require.False(t, g.Reached())
	noted(g, "s", "x", 5, Busy, at(2000))
	require.Zero(t, g.Silent(at(3000)), "a refusal is an answer")
	require.True(t, g.Reached())
	g.ForgetAnswers()
	require.False(t, g.Reached())
}

func TestPendingCalls(t *testing.T) {
	g := NewGate()
	require.False(t, g.Pending(start, time.Second))
	noted(g, "s", "x", 5, Unclear, start)
	require.True(t, g.Pending(at(999), time.Second))
	require.False(t, g.Pending(at(1000), time.Second))
}
