// Package rollout decides how a service is brought to a new version of its
// targets: which requests the new version gets, what speaks against it, when
// all requests go to it, and when it is taken back. It knows no wire and no
// clock but the times that it is handed.
package rollout

import (
	"slices"
	"time"
)

// State says how far a roll-out has come.
type State string

// The states. Completed and RolledBack are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled-back"
)

// Stage is a part of a running roll-out.
type Stage int

// The stages.
const (
	StageCanary Stage = iota // a small share of the requests goes to the new version
	StageShift               // all new requests do; the old targets finish theirs
)

// Record is what the control group agrees on about the versions of a service.
type Record struct {
	Service string
	// InForce are the versions that requests may go to; none for any version
	// but Target.
	InForce []string
	// Number names the newest roll-out of the service; 0 for none.
	Number   uint64
	Target   string        // version that the roll-out leads to
	State    State         // empty for no roll-out
	Stage    Stage         // of a running one
	Duration time.Duration // within which it has to end
	Elapsed  time.Duration // since the order, when it was last noted
	Reason   string        // why it ended
}

// OrderedAs reports whether an order of a version, to be reached within a time, is the
// one that led to the record, or the same again.
func (r *Record) OrderedAs(version string, duration time.Duration) bool {
	return r.Number != 0 && r.Target == version && r.Duration == duration
}

// View is every record, as of a revision.
type View struct {
	Revision uint64 // grows with each change that nodes need to know
	Records  []Record
}

// Of returns the record of a service.
func (v *View) Of(service string) (Record, bool) {
	i := slices.IndexFunc(v.Records, func(r Record) bool { return r.Service == service })
	if i < 0 {
		return Record{}, false
	}
	return v.Records[i], true
}

// Running reports whether any roll-out is under way.
func (v *View) Running() bool {
	return slices.ContainsFunc(v.Records, func(r Record) bool { return r.State == Running })
}

// Bounds are a site's bounds on what a bad version may do.
type Bounds struct {
	// Share and Slack bound the requests that a new version gets before its
	// roll-out is over: Share of all requests of the service, and Slack more.
	Share float64
	Slack float64
	// StopWithin is the time after the fiftieth bad answer in which the new
	// version gets its last request.
	StopWithin time.Duration
}

// Enabled reports whether the site has roll-outs at all.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Permit lets a node send requests to a service's new version. It counts for
// a short while from when the node asked for it, on the node's steady clock.
type Permit struct {
	Service string
	Number  uint64             // of the roll-out
	Shares  map[string]float64 // of the requests, by route
	Other   float64            // of the requests of every other route
	Focus   Focus
	// Late is the time to the first event, by route, beyond which a request
	// counts as slow though it has not come yet.
	Late map[string]time.Duration
	For  time.Duration
}

// Focus names the targets that the new version's requests go to, so that each
// bears about the load that it would bear if it got all requests: a version
// that is bad only under load shows it while it gets a small share.
type Focus struct {
	Round uint64  // draws the targets anew
	Part  float64 // of the new version's targets
}

// PermitLife is how long a permit counts: a few of the reports that renew it,
// and a tenth of the time in which a version that is taken back has to be rid
// of requests.
const PermitLife = 500 * time.Millisecond
