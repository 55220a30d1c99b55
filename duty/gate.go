package duty

import (
	"math/rand/v2"
	"time"
)

// Backoff after calls that ended Fenced, Busy, Unclear or Unreachable. It doubles
// from minBackoff to maxBackoff, with jitter over its upper half.
const (
	minBackoff = 100 * time.Millisecond // a single lost answer hardly delays the next call
	maxBackoff = 2 * time.Second        // bounded, as calls are due again within seconds
)

// minUnanswered is the number of consecutive unanswered calls after which the
// platform counts as unresponsive.
const minUnanswered = 3

// Gate tracks the outcomes of calls, to decide which calls need a higher token
// and when the next call may be made. It is not safe for concurrent use.
type Gate struct {
	unclear         map[Subject]attempt
	failures        int       // consecutive calls that led to a backoff
	backoffUntil    time.Time // end of the backoff
	unanswered      int       // consecutive unanswered calls
	unansweredSince time.Time // send time of the first of these
	lastAnswered    bool      // the last call was answered
	lastUnclear     time.Time // time at which the last Unclear call ended
}

// attempt is a call that may still take effect, or that must not be retried
// under its token.
type attempt struct {
	content string
	token   Token
	refused bool // even a retry needs a higher token
}

// NewGate returns a gate with no recorded calls.
func NewGate() *Gate { return &Gate{unclear: map[Subject]attempt{}} }

// NeedsToken reports whether a call needs a higher token than the current one:
// the last call on its subject to end Unclear, Fenced or Conflict had no lower
// token, and it ended Unclear with other content, so that it may still take
// effect, or it ended Fenced or Conflict. A retry of an Unclear call keeps the
// token: it is idempotent, and a grant costs a log entry.
func (g *Gate) NeedsToken(c Call, current Token) bool {
	a, ok := g.unclear[c.Subject]
	return ok && a.token >= current && (a.refused || a.content != c.Content)
}

// BackoffLeft returns the remaining backoff.
func (g *Gate) BackoffLeft(now time.Time) time.Duration { return max(0, g.backoffUntil.Sub(now)) }

// Unresponsive returns the time since the first of the latest consecutive unanswered
// calls was sent; 0 if there are fewer than minUnanswered of them.
func (g *Gate) Unresponsive(now time.Time) time.Duration {
	if g.unanswered < minUnanswered {
		return 0
	}
	return now.Sub(g.unansweredSince)
}

// Reached reports whether the platform answered the last call.
func (g *Gate) Reached() bool { return g.lastAnswered }

// ForgetAnswers resets the state behind Unresponsive and Reached.
func (g *Gate) ForgetAnswers() { g.unanswered, g.lastAnswered = 0, false }

// Pending reports whether a call ended Unclear less than the given time ago, and
// so may still take effect.
func (g *Gate) Pending(now time.Time, within time.Duration) bool {
	return !g.lastUnclear.IsZero() && now.Sub(g.lastUnclear) < within
}

// RecordOutcome records the outcome of a call. NotSent changes nothing, except that calls
// under lower tokens are forgotten.
func (g *Gate) RecordOutcome(c Call, p Permission, o Outcome, sent, now time.Time) {
	g.prune(p.Token)
	if o == NotSent {
		return
	}
	g.countUnanswered(o, sent)
	switch o {
	case Unclear:
		g.lastUnclear = now
		g.unclear[c.Subject] = attempt{content: c.Content, token: p.Token}
	case Conflict, Fenced:
		g.unclear[c.Subject] = attempt{content: c.Content, token: p.Token, refused: true}
	}
	if o == Done || o == Rejected || o == Conflict {
		g.failures = 0
		return
	}
	g.failures++
	g.backoffUntil = now.Add(backoff(g.failures))
}

// countUnanswered counts consecutive unanswered calls.
func (g *Gate) countUnanswered(o Outcome, sent time.Time) {
	g.lastAnswered = o != Unclear && o != Unreachable
	if g.lastAnswered {
		g.unanswered = 0
		return
	}
	if g.unanswered == 0 {
		g.unansweredSince = sent
	}
	g.unanswered++
}

// prune removes calls under lower tokens, which can no longer override calls
// under the current one.
func (g *Gate) prune(current Token) {
	for subject, a := range g.unclear {
		if a.token < current {
			delete(g.unclear, subject)
		}
	}
}

// backoff returns the jittered backoff after a number of consecutive
// failures.
func backoff(failures int) time.Duration {
	d := minBackoff
	for i := 1; i < failures && d < maxBackoff; i++ {
		d *= 2
	}
	d = min(d, maxBackoff)
	return d/2 + rand.N(d/2)
}
