// Package consensus implements the control group's replicated log in the manner
// of Raft: elections with pre-vote, check-quorum, leadership transfer, and a
// synced log with snapshots. Separate goroutines run the election timer,
// replicate to each peer and apply entries; a mutex guards their shared state.
package consensus

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Identity identifies a node's disk: a node with an emptied disk gets a new
// identity.
type Identity string

// Founder is the identity of every voter of the founding group.
const Founder Identity = "founder"

// Voter is a member of the group.
type Voter struct {
	Node     walnutramp.NodeName
	Identity Identity
	Learner  bool // receives the log but does not vote
}

// Group is a membership configuration, changed by log entries.
type Group struct {
	Voters []Voter
}

// counted returns the number of voting members.
func (g Group) counted() int {
	n := 0
	for _, v := range g.Voters {
		if !v.Learner {
			n++
		}
	}
	return n
}

func (g Group) majority() int { return g.counted()/2 + 1 }

// Nodes returns the members' node names.
func (g Group) Nodes() []walnutramp.NodeName {
	names := make([]walnutramp.NodeName, 0, len(g.Voters))
	for _, v := range g.Voters {
		names = append(names, v.Node)
	}
	return names
}

// Find returns the member at a node.
func (g Group) Find(node walnutramp.NodeName) (Voter, bool) { return g.find(node) }

// With returns the group with v added, replacing any member at its node.
func (g Group) With(v Voter) Group {
	next := g.Without(v.Node)
	next.Voters = append(next.Voters, v)
	return next
}

// Without returns the group without the member at a node.
func (g Group) Without(node walnutramp.NodeName) Group {
	var next Group
	for _, v := range g.Voters {
		if v.Node != node {
			next.Voters = append(next.Voters, v)
		}
	}
	return next
}

// Counted returns the number of voting members.
func (g Group) Counted() int { return g.counted() }

func (g Group) find(node walnutramp.NodeName) (Voter, bool) {
	for _, v := range g.Voters {
		if v.Node == node {
			return v, true
		}
	}
	return Voter{}, false
}

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Group *Group // set if the entry changes the group
	Data  []byte // state machine command; empty at the start of a term
}

// StateMachine is the replicated state machine.
type StateMachine interface {
	// Apply runs a committed command and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Peers sends calls to other nodes.
type Peers interface {
	// Call calls a method of a node's service and fills reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// Service is the RPC service name of members.
const Service = "Consensus"

// VoteArgs is a vote request, or a pre-vote request with Pre.
type VoteArgs struct {
	Pre       bool
	Transfer  bool // leadership transfer: granted even though the leader is alive
	Term      uint64
	Candidate walnutramp.NodeName
	Identity  Identity // identity of the candidate
	To        Identity // identity of the intended voter
	LastIndex uint64
	LastTerm  uint64
}

// VoteReply is the reply to VoteArgs.
type VoteReply struct {
	Term    uint64
	Granted bool
}

// AppendArgs carries entries, a snapshot or a part; it is a heartbeat if empty.
type AppendArgs struct {
	Term      uint64
	Leader    walnutramp.NodeName
	To        Identity
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Election  time.Duration // minimum election timeout derived from the leader's round trips
	Snapshot  *Snapshot     // replaces entries that the leader has compacted
	Part      *Part         // replaces entries or a snapshot too large for one call
}

// AppendReply is the reply to AppendArgs.
type AppendReply struct {
	Term   uint64
	OK     bool
	Match  uint64        // last index that matches the leader's log, if OK
	Hint   uint64        // index to retry from, if not OK
	Quorum time.Duration // receiver's round trip to its nearest majority; 0 if unknown
	Alien  bool          // the receiver has another identity than AppendArgs.To, has failed, or has a full disk
	// Partial means that the receiver holds the first Held bytes of the payload
	// and has not applied it yet.
	Partial bool
	Held    int
}

// Snapshot is the state machine's state up to a log index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	State []byte
}

// ProposeArgs carries a command or group change to the leader.
type ProposeArgs struct {
	Command []byte
	Group   *Group
}

// ProposeReply is the result of a proposal.
type ProposeReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName // current leader, if known
	Result []byte
}

// Config configures a Member.
type Config struct {
	Heartbeat    time.Duration
	Election     time.Duration // minimum election timeout; the maximum is twice that
	CompactBytes int64         // log size in bytes that triggers a snapshot
	CallBytes    int           // maximum payload bytes in one call to a follower
	// UncheckedChanges disables the safety checks of group changes, for tests
	// that show what the checks prevent.
	UncheckedChanges bool
	PersistCommits   bool // persist the commit index
	Seed             uint64
	OnFatal          func(error) // called after a disk failure; the process must exit
}

// Option sets a field of Config.
type Option func(*Config)

// WithTiming sets the heartbeat interval and the minimum election timeout.
func WithTiming(heartbeat, election time.Duration) Option {
	return func(c *Config) { c.Heartbeat, c.Election = heartbeat, election }
}

// WithSeed seeds the random election timeouts.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithCompaction sets the log size in bytes that triggers a snapshot.
func WithCompaction(bytes int64) Option { return func(c *Config) { c.CompactBytes = bytes } }

// WithCallBytes sets the maximum payload bytes in one call to a follower.
func WithCallBytes(n int) Option { return func(c *Config) { c.CallBytes = n } }

// WithPersistedCommits persists the commit index, so that a restarted member applies
// committed entries before a leader is elected.
func WithPersistedCommits() Option { return func(c *Config) { c.PersistCommits = true } }

// WithUncheckedChanges disables the safety checks of group changes, for tests.
func WithUncheckedChanges() Option { return func(c *Config) { c.UncheckedChanges = true } }

// WithOnFatal sets the function called after a disk failure.
func WithOnFatal(f func(error)) Option { return func(c *Config) { c.OnFatal = f } }

// callBytes reaches seven followers over a 10 Mbit/s link in 0.18 s, within an
// election timeout.
const callBytes = 32 << 10

func defaultConfig() Config {
	return Config{
		Heartbeat:    100 * time.Millisecond,
		Election:     500 * time.Millisecond,
		CompactBytes: 4 << 20,
		CallBytes:    callBytes,
		OnFatal:      func(error) {},
	}
}
