package generation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/target"
)

// fingerprint identifies the content of the generation's request.
func (g *Generation) fingerprint() quarantine.Fingerprint {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Content
}

// standing returns how far an attempt had progressed at its engine.
func (a *attempt) standing() quarantine.Standing {
	if !a.firstTokenAt.IsZero() && time.Since(a.firstTokenAt) >= quarantine.Onset {
		return quarantine.Settled
	}
	return quarantine.Begun
}

// recordSettled records the arrival of tokens. An attempt that goes on for
// quarantine.Onset shows that the request is harmless.
func (g *Generation) recordSettled(a *attempt) {
	now := time.Now()
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = now
	}
	if !a.settled && now.Sub(a.firstTokenAt) >= quarantine.Onset {
		a.settled = true
		g.m.cfg.Quarantine.RecordSuccess(g.fingerprint())
	}
}

// recordConnectionLoss records that an engine's connection broke during an attempt.
func (g *Generation) recordConnectionLoss(a *attempt, s quarantine.Standing) {
	g.crashProbe = g.m.cfg.Quarantine.StartProbe(quarantine.BrokenConn{
		Request: string(g.id), Content: g.fingerprint(), Target: string(a.grant.Target.Name), Address: a.grant.Target.Address,
		Standing: s, Sent: a.sentAt,
	})
}

// connectionLost reports whether an attempt failed to open because the engine closed
// the connection after it may have received the request.
func connectionLost(ctx context.Context, err error) bool {
	var unsent *target.NotSentError
	var status *target.StatusError
	return err != nil && ctx.Err() == nil && !errors.As(err, &unsent) && !errors.As(err, &status)
}
