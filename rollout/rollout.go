// Package rollout decides how a service moves to a new version of its targets:
// which share of requests goes to the new version, whether its error rate or
// latency is worse than the old version's, and when to promote it or roll it
// back. The package does no I/O and reads no clock; callers pass in all times.
package rollout

import (
	"slices"
	"time"
)

// State is the state of a rollout.
type State string

// The rollout states. Completed and RolledBack are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled-back"
)

// Stage is a stage of a running rollout.
type Stage int

// The rollout stages.
const (
	StageCanary Stage = iota // a small share of requests goes to the new version
	StageShift               // all new requests go to the new version; the old targets drain
)

// Record is the replicated rollout state of one service.
type Record struct {
	Service string
	// InForce lists the versions that may receive requests. If it is empty,
	// every version except Target may.
	InForce []string
	// Number identifies the newest rollout of the service; 0 if there was none.
	Number   uint64
	Target   string        // version being rolled out
	State    State         // empty if there was no rollout
	Stage    Stage         // of a running rollout
	Duration time.Duration // deadline, measured from the order
	Elapsed  time.Duration // since the order, as of the last update
	Reason   string        // why the rollout ended
}

// OrderedAs reports whether an order for the version and duration repeats the
// order that created the record.
func (r *Record) OrderedAs(version string, duration time.Duration) bool {
	return r.Number != 0 && r.Target == version && r.Duration == duration
}

// View is a snapshot of all records at one revision.
type View struct {
	Revision uint64 // increases with each change that nodes need to see
	Records  []Record
}

// Of returns the record of a service, and whether there is one.
func (v *View) Of(service string) (Record, bool) {
	i := slices.IndexFunc(v.Records, func(r Record) bool { return r.Service == service })
	if i < 0 {
		return Record{}, false
	}
	return v.Records[i], true
}

// Running reports whether any rollout is in progress.
func (v *View) Running() bool {
	return slices.ContainsFunc(v.Records, func(r Record) bool { return r.State == Running })
}

// Bounds limit the exposure of requests to a bad version.
type Bounds struct {
	// Share and Slack limit the requests that a new version receives before its
	// rollout ends: Share of all requests to the service, plus Slack.
	Share float64
	Slack float64
	// StopWithin is the time after the new version's 50th bad answer within
	// which it must receive its last request.
	StopWithin time.Duration
}

// Enabled reports whether the site allows rollouts.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Permit is a short-lived lease that allows a node to send requests to a
// service's new version. It is valid for For, counted on the node's monotonic
// clock from the time of the node's request for it.
type Permit struct {
	Service string
	Number  uint64             // of the rollout
	Shares  map[string]float64 // share of requests by route
	Other   float64            // share of requests on all other routes
	Focus   Focus
	// Late is the time to first event, by route, after which a request counts
	// as slow even if it has not been answered yet.
	Late map[string]time.Duration
	For  time.Duration
}

// Focus selects a subset of the new version's targets, so that each selected
// target bears about its full production load. Otherwise, a version that fails
// only under load would look healthy during the canary stage.
type Focus struct {
	Round uint64  // changes the selection of targets
	Part  float64 // fraction of the new version's targets to select
}

// PermitLife is the validity of a permit. It spans several of the reports that
// renew permits, and is a tenth of the usual StopWithin.
const PermitLife = 500 * time.Millisecond
