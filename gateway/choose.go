package gateway

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Bounds of the search for a target.
const (
	patience     = 0.5 // share of its aim that a request waits for a target to be there
	lookAgain    = 25 * time.Millisecond
	mostTurned   = 12 // targets that may turn one request away
	longestPause = 2 * time.Second

	// beginShare is the part of its aim within which a new request must be
	// predicted to begin: the rest bears mistakes of the prediction.
	beginShare = 0.9
)

// next returns the next target to ask, or nil. While there is none, a request
// that has time is held: targets come back, and the list is read again. A new
// request for which no engine has room is not held, nor one whose targets all rest
// for longer: refused at once, it can come back in time.
func (g *Gateway) next(ctx context.Context, c *call) *balance.Target {
	until := c.arrived.Add(min(time.Duration(float64(c.route.Aim)*patience), longestPause))
	for {
		if c.turns > mostTurned || !uptime.Now().Before(c.deadline) {
			return nil // the time may be over before its timer says so: the machine was suspended
		}
		if t := g.choose(c); t != nil {
			c.turns++
			g.watch(c, t)
			return t
		}
		if c.noRoom || c.reached {
			return nil
		}
		c.restLeft = g.restLeft(c)
		if !uptime.Now().Add(c.restLeft).Before(until) || !pause.For(ctx, lookAgain) {
			return nil
		}
		clear(c.turned)
	}
}

// restLeft returns how long all targets that a call may go to still rest; 0 if one
// does not.
func (g *Gateway) restLeft(c *call) time.Duration {
	leftOut := g.versions(c)
	return g.targets.RestLeft(c.service, func(t *balance.Target) bool { return c.tried[t] || leftOut != nil && leftOut(t) })
}

// choose picks the best target that has not had this request, of a version
// that it may go to.
func (g *Gateway) choose(c *call) *balance.Target {
	if g.drawNew(c) {
		if t := g.pick(c, g.newTargets(c)); t != nil {
			return t
		}
		g.cfg.Rollouts.Undo(c.service, c.route.Name)
	}
	return g.pick(c, g.versions(c))
}

// pick picks the best target that has not had this request and is not left out
// otherwise.
func (g *Gateway) pick(c *call, leftOut func(*balance.Target) bool) *balance.Target {
	choice := c.choice()
	choice.Exclude = func(t *balance.Target) bool { return c.tried[t] || c.turned[t] || leftOut != nil && leftOut(t) }
	t := g.targets.Pick(choice)
	if t != nil {
		g.noteRegion(c, t, func() balance.Reason { return g.targets.WhyLeft(choice) })
	}
	c.noRoom = false
	if t == nil && choice.Admission {
		choice.Admission = false
		c.noRoom = g.targets.Pick(choice) != nil
	}
	return t
}

// isNew reports whether a call has to be admitted: nothing of it has run yet,
// and its client has no part of the answer.
func (c *call) isNew() bool { return c.engine.Engine && !c.reached && !c.hasLast }

// choice says what the next target is wanted for. Once targets have failed the
// request, many others may look for new ones, too, so they had better part by
// node than by what they read.
func (c *call) choice() balance.Choice {
	key := c.key
	if len(c.failed) > 0 {
		key = ""
	}
	choice := balance.Choice{Service: c.service, Work: c.work, Key: key, Again: c.again && key != "", FailedHalls: c.failed}
	if c.isNew() {
		choice.Admission = true
		choice.Aim = c.route.Aim
		choice.Rank = c.rank
		choice.Within = uptime.Until(c.beginBy())
	}
	return choice
}

// beginBy returns when a new request must be predicted to begin.
func (c *call) beginBy() time.Time {
	return c.arrived.Add(time.Duration(beginShare * float64(c.route.Aim)))
}

// arrive notes that a target was reached. What never arrives, such as a
// connection that is refused, is no repeat.
func (c *call) arrive() {
	if c.asked && !c.paid.Taken() {
		klog.InfoS("Repeat that was not paid for", "request", c.id, "service", c.service, "sent", c.sent)
	}
	c.asked = true
	c.paid = balance.Repeat{}
}

// payRepeat takes what one more arrival costs from the budget; false if it is
// spent. What was paid before and has not arrived holds while it may be sent.
func (c *call) payRepeat(b *balance.Budget) bool {
	if !c.asked || c.paid.Taken() && uptime.Since(c.paid.At) < b.SendWithin() {
		return true
	}
	c.refund(b)
	var paid bool
	c.paid, paid = b.Spend()
	return paid
}

// refund gives a repeat back that was paid for and has not arrived.
func (c *call) refund(b *balance.Budget) {
	if c.paid.Taken() {
		b.Refund(c.paid)
	}
	c.paid = balance.Repeat{}
}

// ran notes that a target may have run the request.
func (c *call) ran(t *balance.Target) {
	c.arrive()
	c.tried[t] = true
	c.sent++
	c.reached = true
}
