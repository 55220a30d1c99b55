// Package consensus is the control group's replicated log: elections with
// pre-vote, check-quorum and a synced log with snapshots. One task keeps the
// election timer, one replicates to each peer, one applies; a mutex guards
// the state between them.
package consensus

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Identity names one disk's life: a node whose disk was emptied has another.
type Identity string

// Founder is the identity of every voter that the group was founded with.
const Founder Identity = "founder"

// Voter is a member of the group.
type Voter struct {
	Node     walnutramp.NodeName
	Identity Identity
	Learner  bool // receives the log but does not count yet
}

// Group is the set of members that a log entry puts in force.
type Group struct {
	Voters []Voter
}

// counted returns how many members count towards a majority.
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

// Nodes names the members.
func (g Group) Nodes() []walnutramp.NodeName {
	names := make([]walnutramp.NodeName, 0, len(g.Voters))
	for _, v := range g.Voters {
		names = append(names, v.Node)
	}
	return names
}

// Find returns the member at a node.
func (g Group) Find(node walnutramp.NodeName) (Voter, bool) { return g.find(node) }

// With returns the group with a voter added, or in place of the one at its
// node.
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

// Counted returns how many members count towards a majority.
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
	Group *Group // set where the entry changes the group
	Data  []byte // a command of the state machine; empty at the start of a term
}

// StateMachine is what the log's commands change.
type StateMachine interface {
	// Apply runs a committed command and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Peers calls other nodes.
type Peers interface {
	// Call runs a method of a node's service and fills reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// Service is the name under which members answer each other.
const Service = "Consensus"

// VoteArgs asks for a vote, or with Pre whether one would be given.
type VoteArgs struct {
	Pre       bool
	Transfer  bool // the leader hands over to the candidate: that it lives is no reason to refuse
	Term      uint64
	Candidate walnutramp.NodeName
	Identity  Identity // of the candidate
	To        Identity // of the voter that is meant
	LastIndex uint64
	LastTerm  uint64
}

// VoteReply answers VoteArgs.
type VoteReply struct {
	Term    uint64
	Granted bool
}

// AppendArgs replicates entries, or none as a heartbeat.
type AppendArgs struct {
	Term      uint64
	Leader    walnutramp.NodeName
	To        Identity
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Election  time.Duration // the shortest wait for a leader, by the distances that it measures
	Snapshot  *Snapshot     // in place of entries that the leader no longer has
	Part      *Part         // in place of entries or a snapshot that are too large for one call
}

// AppendReply answers AppendArgs.
type AppendReply struct {
	Term   uint64
	OK     bool
	Match  uint64        // last index that is the leader's, where OK
	Hint   uint64        // where to go on, where not OK
	Quorum time.Duration // the receiver's round trip to its nearest majority; 0 where not known
	Alien  bool          // the receiver has another identity
	// Partial answers a Part: the receiver holds the first Held bytes of the
	// whole, and nothing was changed yet.
	Partial bool
	Held    int
}

// Snapshot is the state up to an index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	State []byte
}

// ProposeArgs hands a command to the leader.
type ProposeArgs struct {
	Command []byte
	Group   *Group
}

// ProposeReply holds the command's result.
type ProposeReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName // where to ask instead, if known
	Result []byte
}

// Config sets how a Member works.
type Config struct {
	Heartbeat    time.Duration
	Election     time.Duration // shortest wait for a leader; the longest is twice that
	CompactBytes int64         // log size at which a snapshot replaces it
	CallBytes    int           // of entries or a snapshot in one call to a follower
	// UncheckedChanges takes any change of the members at any time. It is there
	// for tests that show what the checks prevent.
	UncheckedChanges bool
	NoteCommits      bool // leave word on the disk of how far the log is committed
	Seed             uint64
	OnFatal          func(error) // the disk failed: the process must end
}

// Option sets a field of Config.
type Option func(*Config)

// WithTiming sets the heartbeat and the shortest election timeout.
func WithTiming(heartbeat, election time.Duration) Option {
	return func(c *Config) { c.Heartbeat, c.Election = heartbeat, election }
}

// WithSeed makes election timeouts repeatable.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

// WithCompaction sets the log size at which a snapshot replaces it.
func WithCompaction(bytes int64) Option { return func(c *Config) { c.CompactBytes = bytes } }

// WithCallBytes sets how much of entries or a snapshot one call carries.
func WithCallBytes(n int) Option { return func(c *Config) { c.CallBytes = n } }

// WithCommitNotes lets a restarted member know, before any leader is elected,
// what it knew to be committed.
func WithCommitNotes() Option { return func(c *Config) { c.NoteCommits = true } }

// WithUncheckedChanges takes any change of the members at any time, for tests
// that show what the checks prevent.
func WithUncheckedChanges() Option { return func(c *Config) { c.UncheckedChanges = true } }

// WithOnFatal gives who is told that the disk failed.
func WithOnFatal(f func(error)) Option { return func(c *Config) { c.OnFatal = f } }

// callBytes passes a link of 10 Mbit/s to seven followers in 0.18 s, within an
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
