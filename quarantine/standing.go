package quarantine

// Standing says how far a run had come at a target when the target ended.
type Standing int

// The standings, from the one that says least for the run being the cause.
const (
	// Settled runs had gone on for a while: the target could run them.
	Settled Standing = iota
	// Waiting runs had got no answer: they may not have begun.
	Waiting
	// Begun runs had just begun, or may have, as far as can be told.
	Begun
)

var standingNames = map[Standing]string{Settled: "settled", Waiting: "waiting", Begun: "begun"}

// String names the standing.
func (s Standing) String() string { return standingNames[s] }
