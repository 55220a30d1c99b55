package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
)

// errHeldBack is why a run that has not begun is given up when its content is
// held back.
var errHeldBack = errors.New("targets end when they run this request")

// standing says how far the newest run had come at its target.
func (r *relay) standing() quarantine.Standing {
	if r.events > 0 && time.Since(r.begun) >= quarantine.Onset {
		return quarantine.Settled
	}
	return quarantine.Begun
}

// noteSettled notes that a run has gone on for a while.
func (r *relay) noteSettled() {
	if r.settled || time.Since(r.begun) < quarantine.Onset {
		return
	}
	r.settled = true
	r.gateway.cfg.Quarantine.Sound(r.call.content)
}

// waiting says how far a call had come at a target that did not answer it. A
// plain request begins when it is sent; a stream may still have waited.
func (c *call) waiting() quarantine.Standing {
	if c.route.Kind == Stream {
		return quarantine.Waiting
	}
	return quarantine.Begun
}

// noteBreak notes that a target's connection broke off under a call. A target
// that was to end anyway says nothing of the call.
func (g *Gateway) noteBreak(c *call, t *balance.Target, s quarantine.Standing) {
	if t.Leaves() {
		return
	}
	c.look = g.cfg.Quarantine.Broke(quarantine.Break{
		Request: c.id, Content: c.content, Target: t.Life(), Address: t.Address, Standing: s, Sent: c.sentAt,
	})
}

// brokeOff reports whether an exchange failed for the target's closing its
// connection after it may have had the request.
func brokeOff(err error) bool {
	var f *targetconn.Failure
	ownEnd := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return errors.As(err, &f) && f.Reached() && !ownEnd && !silence(err)
}
