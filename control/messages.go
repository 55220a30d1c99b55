package control

import (
	"math"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/quota"
	"github.com/walnutramp/walnutramp/rollout"
)

// What nodes and members say to each other, beside pieces (see Piece).

// Service is the name under which the control group answers nodes.
const Service = "Control"

// NewestArgs asks for the newest bundle and a word that it is the newest.
type NewestArgs struct {
	Have uint64        // version the asker holds
	Wait time.Duration // how long to wait for a newer one
	// Unconfirmed asks any member for what it holds.
	Unconfirmed bool
	// Roster is the version of the list of targets that the asker holds.
	Roster uint64
	// Entry is the address at which the asker hears other entries; empty if it
	// is none.
	Entry string
	// Life names the asker's process, where it is an entry.
	Life uint64
	// Entries is the version of the directory of entries that the asker holds.
	Entries uint64
	// Directory says that the asker takes changes of the directory, and places.
	Directory bool
	// Disk says that the entry keeps files over a loss of power; RelayedDisks names
	// those of the relayed entries that do.
	Disk         bool
	RelayedDisks []string
	// Versions is the revision of the view of versions that the asker holds;
	// anyVersions where it needs none.
	Versions uint64
	// DataHall is the asker's.
	DataHall string
	// Relay is the asker's own address, if it answers entries of its data hall
	// with the leader's word; Relayed are those that asked it lately.
	Relay   string
	Relayed []string
}

// anyVersions is held to be the newest revision of a view.
const anyVersions = math.MaxUint64

// NewestReply is the leader's word, confirmed by a majority after it was
// asked.
type NewestReply struct {
	Code    walnutramp.Code
	Leader  walnutramp.NodeName // where to ask instead, if known
	Version uint64
	Digest  string
	// Update leads from the asker's document to this one.
	Update Content
	// Source is where to read long contents; who answers, where it is empty.
	Source walnutramp.NodeName
	// Group names the members, as far as the one who answers knows.
	Group []walnutramp.NodeName
	// Unconfirmed says that a newer one may be in force.
	Unconfirmed bool
	// Entries are the addresses of entries that asked lately, for an asker of an
	// older build that holds another version of them; 0 where none are told.
	Entries        []string
	EntriesVersion uint64
	// Directory tells of the entries in their place, where the asker takes that.
	Directory DirectoryReply
	// Roster is the leader's list of targets, where the asker holds another.
	Roster RosterReply
	// Versions is the view of the services' versions, where the asker holds an
	// older one.
	Versions *rollout.View
	// Age is how long ago the leader was asked; 0 from the leader itself.
	Age time.Duration
	// Relay is whom an entry should ask from now on: a member of its data
	// hall that relays the leader's word. Empty for the leader itself.
	Relay walnutramp.NodeName
	// Time is the group's, read as the answer was given; nil where it is not
	// known.
	Time *groupclock.Stamp
	// Near is a member of the asker's data hall that takes its reports; empty
	// for the leader itself.
	Near walnutramp.NodeName
	// Share is the word on the asker's part of the site's bound on repeats.
	Share quota.Word
}

// TimeArgs asks a member for its time of day.
type TimeArgs struct{}

// TimeReply holds it, since the start of 1970.
type TimeReply struct {
	Unix time.Duration
}

// TellArgs tells a member what a node has counted since its process started.
type TellArgs struct {
	Node   string
	Life   uint64 // names the node's process
	Usage  []metering.Row
	Demand []fleet.Demand
}

// PassArgs hands the leader what a member heard from nodes.
type PassArgs struct {
	Reports []NodeReport
}

// NodeReport is what a node told a member.
type NodeReport struct {
	Node   string
	Life   uint64
	Usage  []metering.Row
	Demand []fleet.Demand
}

// TellReply answers a report.
type TellReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName
	To     uint64 // who has the reports now, as its process names itself
	// Closed is the newest window of which the counts are settled.
	Closed metering.Window
}

// DoArgs hands over a command.
type DoArgs struct {
	Command Command
}

// DoReply answers a command.
type DoReply struct {
	Code   walnutramp.Code // CodeOK where Result holds; else why not
	Leader walnutramp.NodeName
	Result Result
}

// wantsRoster reports whether the asker uses the list of targets.
func (a *NewestArgs) wantsRoster() bool { return a.Entry != "" || a.Relay != "" }

// OfferArgs is a document of a site that asks for no signature.
type OfferArgs struct {
	Submit Submit
}

// JoinArgs asks to become a member.
type JoinArgs struct {
	Node     walnutramp.NodeName
	Identity consensus.Identity
}

// JoinReply says where to ask instead, if this member does not lead.
type JoinReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName
	Group  []walnutramp.NodeName
}

// RolloutArgs asks for the newest roll-out of a service.
type RolloutArgs struct {
	Service string
}

// RolloutReply is the leader's word on it, confirmed by a majority after it was
// asked.
type RolloutReply struct {
	Code    walnutramp.Code // CodeRolloutUnknown where there was none
	Leader  walnutramp.NodeName
	Record  rollout.Record
	Elapsed time.Duration // since the order
	// Sums are what nodes saw since then, as far as they told this leader, and
	// Verdict is what that says.
	Sums    []rollout.Cell
	Verdict rollout.Verdict
}

// OrderArgs is an operator's order of a roll-out.
type OrderArgs struct {
	Service  string
	Version  string
	Duration time.Duration
}

// ReportArgs tells the leader what a node saw of the targets of services that
// have a roll-out under way.
type ReportArgs struct {
	Node  string
	Life  uint64 // names the node's process
	Judge uint64 // who had the reports before; 0 for nobody
	Cells []rollout.Cell
}

// ReportReply answers with permits for the new versions.
type ReportReply struct {
	Code    walnutramp.Code
	Leader  walnutramp.NodeName
	Judge   uint64 // who has the reports now
	Permits []rollout.Permit
}

// HistoryArgs asks for the accepted bundles.
type HistoryArgs struct{}

// HistoryReply holds them, oldest first, as this member has applied them.
type HistoryReply struct {
	Accepted []Accepted
	Group    consensus.Status
}

// SubmitArgs is an operator's signed bundle.
type SubmitArgs struct {
	Doc       []byte
	Signature bundle.Signature
}
