package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// A connection that breaks off does not say why: an answer was lost, a link was
// reset, or the target's process ended. Where nobody listens at its address
// any more, it ended.

// Times of the looks at a target whose connection broke off.
const (
	// lookPause is the wait before a second look: a process that ends closes
	// its connections, and what it listens on, within milliseconds.
	lookPause = 30 * time.Millisecond
	// lookTime bounds a look. A target's machine refuses at once; one that says
	// nothing was cut off or lost its power, which no request does.
	lookTime = 250 * time.Millisecond
	// onset is for how long after its first event a run counts as just begun:
	// what a request does to a process shows in the first steps over it.
	onset = 500 * time.Millisecond
)

// errHeldBack is why a run that has not begun is given up when its content is
// held back.
var errHeldBack = errors.New("targets end when they run this request")

// standing says how far the newest run had come at its target.
func (r *relay) standing() quarantine.Standing {
	if r.events > 0 && time.Since(r.begun) >= onset {
		return quarantine.Settled
	}
	return quarantine.Begun
}

// noteSettled notes that a run has gone on for a while.
func (r *relay) noteSettled() {
	if r.settled || time.Since(r.begun) < onset {
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

// noteBreak looks whether a target whose connection broke off under a call has
// ended. One that was to end anyway says nothing of the call.
func (g *Gateway) noteBreak(c *call, t *balance.Target, s quarantine.Standing) {
	if s == quarantine.Settled || t.Leaves() {
		return
	}
	broke := uptime.Now()
	note := quarantine.Note{Content: c.content, Target: balance.ShortName(t.ID), Standing: s, Ran: time.Since(c.sentAt)}
	id, looked := c.id, make(chan struct{})
	c.looked = looked
	go func() {
		defer close(looked)
		ended := g.hasEnded(t)
		klog.InfoS("Looked at a target that broke off", "request", id, "content", note.Content, "target", t.ID, "standing", s,
			"ended", ended, "ran_ms", note.Ran.Milliseconds())
		if ended {
			g.counters.ends.Inc()
			note.Age = uptime.Since(broke)
			g.cfg.Quarantine.Ended(note)
		}
	}()
}

// hasEnded reports whether a target's process has ended, by looking whether
// anybody listens at its address.
func (g *Gateway) hasEnded(t *balance.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*lookTime)
	defer cancel()
	return g.pool.Refuses(ctx, endpoint(t)) || pause.For(ctx, lookPause) && g.pool.Refuses(ctx, endpoint(t))
}

// brokeOff reports whether an exchange failed for the target's closing its
// connection after it may have had the request.
func brokeOff(err error) bool {
	var f *targetconn.Failure
	ownEnd := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return errors.As(err, &f) && f.Reached() && !ownEnd && !silence(err)
}

// heldBack returns the answer to a new call whose content is held back, nil for
// none. It is refused at once, with the time from which on it may be tried
// again: to come sooner is in vain.
func (g *Gateway) heldBack(c *call) *walnutramp.Error {
	left, held := g.cfg.Quarantine.Held(c.content)
	if !held {
		return nil
	}
	return walnutramp.NewError(walnutramp.CodeHeldBack, walnutramp.NotRun, "targets end when they run this request").WithRetryAfter(left)
}

// endsTargets reports whether a call that a target may have run is to go to no
// other one. Where targets ended under its content before, what became of the
// newest is waited for: a refused connection tells it in a round trip.
func (g *Gateway) endsTargets(c *call) bool {
	if c.looked != nil && g.cfg.Quarantine.Suspect(c.content) {
		<-c.looked
	}
	_, held := g.cfg.Quarantine.Held(c.content)
	return held
}
