package duty

import (
	"math/rand/v2"
	"time"
)

// Pauses after calls that the platform did not take or answer. They double from
// the first to the longest, and a part of each is drawn.
const (
	firstPause   = 100 * time.Millisecond // one lost answer hardly delays the next call
	longestPause = 2 * time.Second        // calls are paid for; due times are seconds away
)

// silentCalls is how many calls in a row have to stay without an answer before
// the platform counts as silent: one answer may be lost.
const silentCalls = 3

// Gate remembers what came of calls: which need a higher token, and when the
// next may be made. It is not safe for use by several tasks at a time.
type Gate struct {
	unclear map[Subject]attempt
	failed  int       // calls in a row that the platform did not take or answer
	pauseTo time.Time // no call before
	silent  int       // calls in a row without an answer
	since   time.Time // the first of these
	reached bool      // the newest call was answered
	pending time.Time // when the newest call ended unclear
}

// attempt is a call that may be carried out yet, or that must not come again
// under its token.
type attempt struct {
	content string
	token   Token
	refused bool // also an exact repeat needs a higher token
}

// NewGate returns a gate that has seen no call.
func NewGate() *Gate { return &Gate{unclear: map[Subject]attempt{}} }

// NeedsToken reports whether a call needs a higher token than the current one,
// since an earlier and different call on its subject may be carried out after
// it. An exact repeat goes under the same token: it changes nothing whichever
// of the two comes last, and a grant costs the group an entry.
func (g *Gate) NeedsToken(c Call, current Token) bool {
	a, ok := g.unclear[c.Subject]
	return ok && a.token >= current && (a.refused || a.content != c.Content)
}

// Pause returns for how long no call may be made.
func (g *Gate) Pause(now time.Time) time.Duration { return max(0, g.pauseTo.Sub(now)) }

// Silent returns for how long the platform has not answered; 0 where it did, or
// where too few calls were made to tell.
func (g *Gate) Silent(now time.Time) time.Duration {
	if g.silent < silentCalls {
		return 0
	}
	return now.Sub(g.since)
}

// Reached reports whether the platform answered the newest call.
func (g *Gate) Reached() bool { return g.reached }

// ForgetAnswers has the gate find out anew whether the platform answers.
func (g *Gate) ForgetAnswers() { g.silent, g.reached = 0, false }

// Pending reports whether a call may be carried out that ended unclear within a
// time.
func (g *Gate) Pending(now time.Time, within time.Duration) bool {
	return !g.pending.IsZero() && now.Sub(g.pending) < within
}

// Note takes what came of a call that was sent at a time.
func (g *Gate) Note(c Call, p Permission, o Outcome, sent, now time.Time) {
	g.prune(p.Token)
	if o == NotSent {
		return
	}
	g.noteSilence(o, sent)
	switch o {
	case Unclear:
		g.pending = now
		g.unclear[c.Subject] = attempt{content: c.Content, token: p.Token}
	case Conflict, Fenced:
		g.unclear[c.Subject] = attempt{content: c.Content, token: p.Token, refused: true}
	}
	if o == Done || o == Rejected || o == Conflict {
		g.failed = 0
		return
	}
	g.failed++
	g.pauseTo = now.Add(pauseAfter(g.failed))
}

// noteSilence counts calls without an answer.
func (g *Gate) noteSilence(o Outcome, sent time.Time) {
	g.reached = o != Unclear && o != Unreachable
	if g.reached {
		g.silent = 0
		return
	}
	if g.silent == 0 {
		g.since = sent
	}
	g.silent++
}

// prune forgets calls under lower tokens: what comes under this one or a later
// one can't be undone by them.
func (g *Gate) prune(current Token) {
	for subject, a := range g.unclear {
		if a.token < current {
			delete(g.unclear, subject)
		}
	}
}

// pauseAfter draws the pause after so many failures in a row.
func pauseAfter(failed int) time.Duration {
	pause := firstPause
	for i := 1; i < failed && pause < longestPause; i++ {
		pause *= 2
	}
	pause = min(pause, longestPause)
	return pause/2 + rand.N(pause/2)
}
