package discovery

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
}
