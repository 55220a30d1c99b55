// Package quarantine keeps requests away from targets that end whenever they
// run them.
//
// A request that ends the process that runs it is sent on like one whose target
// crashed by chance, and its client sends it again. So nodes keep a Ledger of
// which contents were under way at targets when these ended, tell each other,
// and hold a content back once three ends speak against it. Most of those that
// were under way at such a target only shared it. They are told apart by how far
// they had come, by who was at more of these ends, and by their having gone on
// well anywhere since.
package quarantine

import "time"

// Standing says how far a run had come at a target when the target ended.
type Standing int

// The standings, from the one that speaks least against the run.
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

// Onset is for how long after its first output a run counts as just begun: what
// a request does to a process shows in the first steps over it.
const Onset = 500 * time.Millisecond

// What ends count.
const (
	begunWeight = 2
	// waitingWeight is less: most of those that wait at a target that ends have
	// not begun, and so can't have ended it.
	waitingWeight = 1
	// heldWeight is that of three runs that had begun: one or two such ends may be
	// bad luck, and each further one costs all others at a target their runs.
	heldWeight = 3 * begunWeight
	// tiedWeight holds a content back even though another one was at all the
	// same ends, so that none of both could be cleared.
	tiedWeight = 5 * begunWeight
	// leastEnds is how many ends weigh heldWeight at least.
	leastEnds = heldWeight / begunWeight
)

var weights = map[Standing]int{Waiting: waitingWeight, Begun: begunWeight}

// Times of what is known.
const (
	// memoryTime is how long an end speaks against a content. So a content ends
	// three targets an hour at most, until whoever runs the targets has mended
	// them, and is tried again by itself then.
	memoryTime = time.Hour
	// sameEnd is within what time two words of a target that ended are of the same
	// end: a target needs longer to start and to begin a run.
	sameEnd = time.Second
	// oneCause is within what time ends are held to have one cause, such as the
	// loss of a data hall, if the later run did not begin after the earlier end.
	oneCause = 250 * time.Millisecond
	// blur is by what times that two nodes told may be off against each other: what
	// their datagrams were held up by.
	blur = 20 * time.Millisecond
	// hearTime is how old an end must be to hold a content back: by then a node has
	// heard of the others that were there, through relays and from other regions.
	// Without it a request that had shared three targets with one that ended them
	// was refused by the node that had seen its own part only.
	hearTime = 250 * time.Millisecond
)

// Bounds of what is kept.
const (
	mostContents = 4096 // some 300 bytes each
	forgotten    = 8    // one in so many contents goes when there are too many
	mostEnds     = 16   // of one content
	mostNews     = 256  // own notes that are kept to be told
)

// Note is a piece of what nodes tell each other.
type Note struct {
	Content  Fingerprint
	Target   uint32        // short name of the target that ended
	Standing Standing      // of the run there; Settled says that a run went on well instead
	Age      time.Duration // of the end, or of the good run
	Ran      time.Duration // from the sending of the request to the end
	// Later says that the request was sent after all ends of its content that its
	// node knew of: the node's own word for what times that passed between nodes
	// may blur.
	Later bool
}

// Config sets how a Ledger works.
type Config struct {
	Now    func() time.Time  // a clock that goes on while the machine is suspended
	OnNews func()            // there are own notes to be told
	OnHeld func(Fingerprint) // a content is held back from now on
	Hear   time.Duration     // how old an end must be to hold a content back
}

// Option sets a field of Config.
type Option func(*Config)

// WithHear sets how old an end must be to hold a content back.
func WithHear(d time.Duration) Option { return func(c *Config) { c.Hear = d } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(c *Config) { c.Now = now } }
