package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func call(subject Subject, content string) Call { return Call{Subject: subject, Content: content} }

func recordOutcome(g *Gate, subject Subject, content string, token Token, o Outcome, now time.Time) {
	g.RecordOutcome(call(subject, content), Permission{Token: token}, o, now, now)
}

func TestUnclearCallNeedsHigherTokenForOtherContent(t *testing.T) {
	g := NewGate()
	recordOutcome(g, "s", "x", 5, Unclear, start)
	require.False(t, g.NeedsToken(call("s", "x"), 5), "a repeat")
	require.True(t, g.NeedsToken(call("s", "y"), 5))
	require.False(t, g.NeedsToken(call("s", "y"), 6))
	require.False(t, g.NeedsToken(call("other", "y"), 5))

	recordOutcome(g, "s", "x", 5, Done, start)
	require.True(t, g.NeedsToken(call("s", "y"), 5), "the first of the two may still take effect")
	recordOutcome(g, "s", "y", 6, Done, start)
	require.Empty(t, g.unclear)
}

func TestOtherOutcomesNeedNoHigherToken(t *testing.T) {
	for _, o := range []Outcome{Done, Rejected, Busy, NotSent, Unreachable} {
		g := NewGate()
		recordOutcome(g, "s", "x", 5, o, start)
		require.False(t, g.NeedsToken(call("s", "y"), 5), o)
	}
}

func TestRejectedTokenIsNotReused(t *testing.T) {
	for _, o := range []Outcome{Fenced, Conflict} {
		g := NewGate()
		recordOutcome(g, "s", "x", 5, o, start)
		require.True(t, g.NeedsToken(call("s", "x"), 5), "even a repeat")
		require.False(t, g.NeedsToken(call("s", "x"), 6))
	}
}

func TestBackoffGrowsAndResets(t *testing.T) {
	g := NewGate()
	limits := []time.Duration{100, 200, 400, 800, 1600, 2000, 2000}
	for _, limit := range limits {
		recordOutcome(g, "s", "x", 5, Busy, start)
		pause := g.BackoffLeft(start)
		require.GreaterOrEqual(t, pause, limit*time.Millisecond/2)
		require.LessOrEqual(t, pause, limit*time.Millisecond)
		require.Zero(t, g.BackoffLeft(start.Add(pause)))
	}
	recordOutcome(g, "s", "x", 5, Done, start)
	recordOutcome(g, "s", "x", 5, Unclear, start)
	require.LessOrEqual(t, g.BackoffLeft(start), minBackoff)
}

func TestUnresponsivePlatform(t *testing.T) {
	g := NewGate()
	recordOutcome(g, "s", "x", 5, Unclear, at(0))
	recordOutcome(g, "s", "x", 5, Unreachable, at(500))
	require.Zero(t, g.Unresponsive(at(9000)), "fewer than minUnanswered calls")
	recordOutcome(g, "s", "x", 5, NotSent, at(600))
	recordOutcome(g, "s", "x", 5, Unclear, at(1000))
	require.Equal(t, 2*time.Second, g.Unresponsive(at(2000)))
	require.False(t, g.Reached())
	recordOutcome(g, "s", "x", 5, Busy, at(2000))
	require.Zero(t, g.Unresponsive(at(3000)), "Busy is an answer")
	require.True(t, g.Reached())
	g.ForgetAnswers()
	require.False(t, g.Reached())
}

func TestPendingCalls(t *testing.T) {
	g := NewGate()
	require.False(t, g.Pending(start, time.Second))
	recordOutcome(g, "s", "x", 5, Unclear, start)
	require.True(t, g.Pending(at(999), time.Second))
	require.False(t, g.Pending(at(1000), time.Second))
}
