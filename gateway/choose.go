package gateway

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// Bounds of the search for a target.
const (
	patience     = 0.5 // share of its aim that a request waits for a target to be there
	lookAgain    = 25 * time.Millisecond
	mostTurned   = 12 // targets that may turn one request away
	longestPause = 2 * time.Second
)

// next returns the next target to ask, or nil. While there is none, a request
// that has time is held: targets come back, and the list is read again.
func (g *Gateway) next(ctx context.Context, c *call) *balance.Target {
	until := c.arrived.Add(min(time.Duration(float64(c.route.Aim)*patience), longestPause))
	for {
		if c.turns > mostTurned {
			return nil
		}
		if t := g.choose(c); t != nil {
			c.turns++
			return t
		}
		if c.reached || !time.Now().Before(until) || !pause.For(ctx, lookAgain) {
			return nil
		}
		clear(c.turned)
	}
}

// choose picks the best target that has not had this request.
func (g *Gateway) choose(c *call) *balance.Target {
	choice := c.choice()
	choice.Exclude = func(t *balance.Target) bool { return c.tried[t] || c.turned[t] }
	return g.targets.Pick(choice)
}

func (c *call) choice() balance.Choice {
	return balance.Choice{Service: c.service, Work: c.work, Key: c.key, Again: c.again}
}

// ran notes that a target may have run the request.
func (c *call) ran(t *balance.Target) {
	c.tried[t] = true
	c.sent++
	c.reached = true
}
