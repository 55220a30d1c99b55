package route

import "math/rand/v2"

// Policy names a target selection algorithm. All but Predicted are baselines for
// comparison: they ignore capacity, so that requests queue at targets instead of at the
// node.
type Policy string

// Policies.
const (
	Predicted     Policy = "predicted" // lowest predicted wait among targets with capacity
	RandomChoice  Policy = "random"
	RoundRobin    Policy = "round-robin"
	LeastReported Policy = "least-reported" // lowest reported load
)

// WithPolicy sets the selection policy.
func WithPolicy(p Policy) Option { return func(c *Config) { c.Policy = p } }

// baseline selects by a policy other than Predicted.
func (r *Router) baseline(live []*targetState) *targetState {
	if len(live) == 0 {
		return nil
	}
	switch r.cfg.Policy {
	case RoundRobin:
		r.roundRobinSeq++
		return live[r.roundRobinSeq%len(live)]
	case LeastReported:
		return leastReported(r.rng, live)
	}
	return live[r.rng.IntN(len(live))]
}

// leastReported returns the target with the lowest reported load, with ties broken
// randomly.
func leastReported(rng *rand.Rand, live []*targetState) *targetState {
	best := live[rng.IntN(len(live))]
	for _, s := range live {
		if s.report.Running+s.report.Waiting < best.report.Running+best.report.Waiting {
			best = s
		}
	}
	return best
}
