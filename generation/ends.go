package generation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/target"
)

// content names what the generation's request asks for.
func (g *Generation) content() quarantine.Fingerprint {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Content
}

// standing says how far an attempt had come at its engine.
func (a *attempt) standing() quarantine.Standing {
	if !a.first.IsZero() && time.Since(a.first) >= quarantine.Onset {
		return quarantine.Settled
	}
	return quarantine.Begun
}

// noteSettled notes that tokens came, and with that whether the engine can run
// the request.
func (g *Generation) noteSettled(a *attempt) {
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	}
	if !a.settled && now.Sub(a.first) >= quarantine.Onset {
		a.settled = true
		g.m.cfg.Quarantine.Sound(g.content())
	}
}

// noteBreak notes that an engine's connection broke off under an attempt.
func (g *Generation) noteBreak(a *attempt, s quarantine.Standing) {
	g.look = g.m.cfg.Quarantine.Broke(quarantine.Break{
		Request: string(g.id), Content: g.content(), Target: string(a.grant.Target.Name), Address: a.grant.Target.Address,
		Standing: s, Sent: a.sent,
	})
}

// brokeOff reports whether an attempt was not opened since the engine broke the
// connection off after it may have had the request.
func brokeOff(ctx context.Context, err error) bool {
	var unsent *target.NotSentError
	var status *target.StatusError
	return err != nil && ctx.Err() == nil && !errors.As(err, &unsent) && !errors.As(err, &status)
}
