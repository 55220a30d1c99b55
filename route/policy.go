package route

import "math/rand/v2"

// Policy names a way to choose among live targets. The others than Predicted
// are baselines for measurement: they choose without regard to room, so that
// requests queue at targets instead of at the node.
type Policy string

// The policies.
const (
	Predicted     Policy = "predicted"      // this router's own
	RandomChoice  Policy = "random"         // any live target
	RoundRobin    Policy = "round-robin"    // one after the other
	LeastReported Policy = "least-reported" // the least load by report
)

// WithPolicy replaces the way targets are chosen, as a baseline.
func WithPolicy(p Policy) Option { return func(c *Config) { c.Policy = p } }

// baseline chooses by a policy that is not this router's own.
func (r *Router) baseline(live []*state) *state {
	if len(live) == 0 {
		return nil
	}
	switch r.cfg.Policy {
	case RoundRobin:
		r.turn++
		return live[r.turn%len(live)]
	case LeastReported:
		return leastReported(r.rng, live)
	}
	return live[r.rng.IntN(len(live))]
}

// leastReported returns the target with the least reported load, ties broken
// by chance.
func leastReported(rng *rand.Rand, live []*state) *state {
	best := live[rng.IntN(len(live))]
	for _, s := range live {
		if s.report.Running+s.report.Waiting < best.report.Running+best.report.Waiting {
			best = s
		}
	}
	return best
}
