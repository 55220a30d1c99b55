package gateway

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/metering"
)

// WithMetering sets what counts the requests of each account that begin to
// run.
func WithMetering(c *metering.Counter) Option { return func(cfg *Config) { cfg.Metering = c } }

// exchanges keep how long an exchange of each route takes whose request does
// not wait at its target, to tell when one that waited began to run.
type exchanges struct {
	mu       sync.Mutex
	shortest map[string]time.Duration // by route
}

// forgetShortest is by how much the shortest exchange grows with each one, so
// that it follows a target that has become slower within some hundred.
const forgetShortest = 1.01

// working returns for how long a request that took so long was at work.
func (e *exchanges) working(route string, took time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shortest == nil {
		e.shortest = map[string]time.Duration{}
	}
	before, known := e.shortest[route]
	grown := time.Duration(forgetShortest * float64(before))
	if !known || took < grown {
		e.shortest[route] = took
		return took
	}
	e.shortest[route] = grown
	return grown
}

// meterFirst counts a request at its first event. One whose client has part of
// the answer has begun before.
func (g *Gateway) meterFirst(c *call) {
	if !c.hasLast {
		g.meter(c, uptime.Now())
	}
}

// meterAnswer counts a request whose answer came now. It may have waited at
// its target first.
func (g *Gateway) meterAnswer(c *call) {
	if g.cfg.Metering == nil {
		return
	}
	answered := uptime.Now()
	g.meter(c, answered.Add(-g.exchanges.working(c.route.Name, answered.Sub(c.sentAt))))
}

// meter counts a request once, however many targets run it.
func (g *Gateway) meter(c *call, began time.Time) {
	if !c.metered {
		g.cfg.Metering.Count(c.account.Name, began)
		c.metered = true
	}
}
