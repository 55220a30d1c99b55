package discovery

import "strconv"

// TargetState is the state of a target in the site's list.
type TargetState int

// The states of targets.
const (
	TargetReady    TargetState = iota
	TargetDraining             // finishes its requests and gets no new ones
)

// Target is an entry of the site's list of targets. It is identified by its ID; its
// address may be reused by another target after it has terminated.
type Target struct {
	ID       string
	Service  string
	Address  string // numeric IP:port
	DataHall string
	Slots    int // maximum concurrent requests
	State    TargetState
	Spot     bool   // may be preempted at short notice, together with all other spot targets of its data hall
	Version  string // software version; empty if unknown
	// Born is the target's start time in Unix milliseconds as reported by the site;
	// 0 if unknown. A target may restart under the same ID, without any state.
	Born int64
}

// Incarnation identifies this start of the target; it is the ID if the start time is
// unknown. State recorded for another start of the same target does not apply to it.
func (t *Target) Incarnation() string {
	if t.Born == 0 {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.Born, 10)
}
