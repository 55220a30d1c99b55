package gateway

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/metering"
)

// WithMetering sets the counter of started requests of each client account.
func WithMetering(c *metering.Counter) Option { return func(cfg *Config) { cfg.Metering = c } }

// serviceTimes track the shortest exchange of each route, as an estimate of the
// service time without queueing at the target.
type serviceTimes struct {
	mu      sync.Mutex
	minimum map[string]time.Duration // by route
}

// minimumGrowth is the factor by which the minimum grows with each exchange that is not
// shorter, so that it adapts to slower targets.
const minimumGrowth = 1.01

// estimate records the duration of an exchange and returns its estimated service time
// without queueing: the route's minimum, which grows with each longer exchange.
func (e *serviceTimes) estimate(route string, took time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.minimum == nil {
		e.minimum = map[string]time.Duration{}
	}
	before, known := e.minimum[route]
	grown := time.Duration(minimumGrowth * float64(before))
	if !known || took < grown {
		e.minimum[route] = took
		return took
	}
	e.minimum[route] = grown
	return grown
}

// meterFirst counts a stream at its first event. One with a last event ID was counted
// when it began.
func (g *Gateway) meterFirst(c *call) {
	if !c.hasLast {
		g.meter(c, uptime.Now())
	}
}

// meterAnswer counts a plain request when the head of its answer arrives. It is dated to
// its estimated start, since it may have been queued at its target.
func (g *Gateway) meterAnswer(c *call) {
	if g.cfg.Metering == nil {
		return
	}
	answered := uptime.Now()
	g.meter(c, answered.Add(-g.serviceTimes.estimate(c.route.Name, answered.Sub(c.sentAt))))
}

// meter counts a request once, at the time at which it began, however many targets run it.
func (g *Gateway) meter(c *call, began time.Time) {
	if !c.metered {
		g.cfg.Metering.Count(c.account.Name, began)
		c.metered = true
	}
}
