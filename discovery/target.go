package discovery

import "strconv"

// State of a target as the site's list has it.
type TargetState int

// The states.
const (
	TargetReady TargetState = iota
	TargetDraining
)

// Target is one entry of a site's list of targets. ID is its identity; its
// address may go to another target once it has ended.
type Target struct {
	ID       string
	Service  string
	Address  string // numeric IP:port
	DataHall string
	Slots    int // requests worked on at once
	State    TargetState
	Spot     bool   // it may be taken away at short notice, with all such of its data hall
	Version  string // of what the target runs; empty if it is not told
	// Born is when the target was started, in Unix milliseconds by the site's word;
	// 0 if it is not told. A target may start again under its ID, and holds and
	// knows nothing of before then.
	Born int64
}

// Life names this start of the target: what is known of another life of it says
// nothing of this one.
func (t *Target) Life() string {
	if t.Born == 0 {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.Born, 10)
}
