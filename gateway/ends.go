package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
)

// errQuarantined is the cause for canceling a run that has had no event when its request
// is quarantined.
var errQuarantined = errors.New("request quarantined: targets crash when they run it")

// standing returns how far the current run had progressed at its target.
func (r *relay) standing() quarantine.Standing {
	if r.events > 0 && time.Since(r.firstEventAt) >= quarantine.Onset {
		return quarantine.Settled
	}
	return quarantine.Begun
}

// recordSettled reports a run as harmless once quarantine.Onset has passed since its
// first event; call it only after that event.
func (r *relay) recordSettled() {
	if r.settled || time.Since(r.firstEventAt) < quarantine.Onset {
		return
	}
	r.settled = true
	r.gateway.cfg.Quarantine.RecordSuccess(r.call.fingerprint)
}

// unansweredStanding returns how far an unanswered call had progressed at its target.
// A plain request begins when it is sent; a stream may still have been queued.
func (c *call) unansweredStanding() quarantine.Standing {
	if c.route.Kind == Stream {
		return quarantine.Waiting
	}
	return quarantine.Begun
}

// recordConnectionLoss records that a target's connection broke during a call. The loss
// does not count as a crash caused by the call if the target is shutting down.
func (g *Gateway) recordConnectionLoss(c *call, t *balance.Target, s quarantine.Standing) {
	if t.Draining() {
		return
	}
	c.crashProbe = g.cfg.Quarantine.StartProbe(quarantine.BrokenConn{
		Request: c.id, Content: c.fingerprint, Target: t.Incarnation(), Address: t.Address, Standing: s, Sent: c.sentAt,
		AtFault: func() bool { return g.atFault(t) },
	})
}

// connectionLost reports whether an exchange failed because the target closed its
// connection after it may have received the request.
func connectionLost(err error) bool {
	var f *targetconn.Failure
	ownEnd := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return errors.As(err, &f) && f.Reached() && !ownEnd && !isTimeout(err)
}
