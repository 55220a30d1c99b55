package gateway

import (
	"context"

	"k8s.io/klog/v2"
)

// abandonReason says why this node gave up a run whose target may keep working on it. Its value
// is a metric label.
type abandonReason string

// Reasons for abandoning a run.
const (
	abandonSilent   abandonReason = "silent"   // the target sent nothing in time, or its path is lost
	abandonBroken   abandonReason = "broken"   // its connection broke, its answer is malformed, or the request was quarantined
	abandonClient   abandonReason = "client"   // the client left, reads too slowly, or its deadline has passed
	abandonStopping abandonReason = "stopping" // this node stops
)

// abandonReason returns why the latest run has ended without a complete answer.
func (r *relay) abandonReason(ctx context.Context) abandonReason {
	switch why := contextReason(ctx); {
	case why == endStopping:
		return abandonStopping
	case why != "" || r.writeErr != nil:
		return abandonClient
	case r.silent:
		return abandonSilent
	}
	return abandonBroken
}

// recordAbandoned records that this node has given up the run and closed its connection, by
// which not every target ends it.
func (k *runCopy) recordAbandoned(ctx context.Context) {
	r := k.relay
	why := r.abandonReason(ctx)
	r.gateway.counters.runAbandoned(why)
	klog.InfoS("Run abandoned", "request", r.call.id, "target", k.target.ID, "run", r.runs, "events", r.events, "why", why)
}
