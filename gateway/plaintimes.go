package gateway

import (
	"maps"
	"sync"
	"time"
)

// plainTimes estimate how long the plain requests of each route take, as TCP estimates round-trip
// times: from their mean and mean deviation.
type plainTimes struct {
	mu      sync.Mutex
	byRoute map[string]*timeEstimate
}

// timeEstimate is the estimate for a route.
type timeEstimate struct {
	mean, deviation time.Duration
}

// Weights of the latest observation, and the number of mean deviations above the mean that few
// requests exceed.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	manyDeviations  = 4
)

// observe records how long a request of a route took.
func (p *plainTimes) observe(route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byRoute[route]
	if e == nil {
		if p.byRoute == nil {
			p.byRoute = map[string]*timeEstimate{}
		}
		p.byRoute[route] = &timeEstimate{mean: took}
		return
	}
	off := took - e.mean
	e.mean += time.Duration(meanWeight * float64(off))
	e.deviation += time.Duration(deviationWeight * float64(off.Abs()-e.deviation))
}

// upper returns a time that few requests of a route exceed; false if none was observed.
func (p *plainTimes) upper(route string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byRoute[route]
	if e == nil {
		return 0, false
	}
	return e.mean + manyDeviations*e.deviation, true
}

// keepOnly drops the estimates of routes that a table does not have.
func (p *plainTimes) keepOnly(t *Table) {
	names := t.routeNames()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.byRoute, func(name string, _ *timeEstimate) bool { return !names[name] })
}
