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

// Messages between nodes and members, except those of Piece.

// Service is the name of the control group's RPC service.
const Service = "Control"

// NewestArgs requests the newest bundle and the confirmation that it is the newest.
type NewestArgs struct {
	Have uint64        // version that the requester holds
	Wait time.Duration // how long to wait for a newer one
	// Unconfirmed accepts an unconfirmed reply from any member.
	Unconfirmed bool
	// Roster is the version of the target list that the requester holds.
	Roster uint64
	// Entry is the address for calls by other entry nodes; empty if the requester is
	// not an entry node.
	Entry string
	// Life identifies the process of an entry node.
	Life uint64
	// Entries is the version of the directory of entry nodes that the requester holds.
	Entries uint64
	// Directory is set if the requester understands DirectoryReply.
	Directory bool
	// Disk is set if the entry node's files survive a power loss. RelayedDisks lists
	// those of Relayed to which this applies.
	Disk         bool
	RelayedDisks []string
	// Versions is the revision of the view of service versions that the requester
	// holds; anyVersions if it needs none.
	Versions uint64
	// DataHall is the requester's data hall.
	DataHall string
	// Relay is the requester's address if it relays the leader's replies to the entry
	// nodes of its data hall. Relayed are the entry nodes that asked it recently.
	Relay   string
	Relayed []string
	// Ownership is set if the requester wants the list of nodes that share the quota.
	// Sharers is the version that it holds.
	Ownership bool
	Sharers   uint64
}

// anyVersions is at least as high as any revision, so that no view is sent.
const anyVersions = math.MaxUint64

// NewestReply is the leader's reply, confirmed by a majority after the request
// arrived; or that of a relay, confirmed Age earlier, or an unconfirmed one.
type NewestReply struct {
	Code    walnutramp.Code
	Leader  walnutramp.NodeName // node to ask instead, if known
	Version uint64
	Digest  string
	// Update turns the requester's document into the newest; empty if it is that.
	Update Payload
	// Source is the node to read long payloads from; empty for the one that replies.
	Source walnutramp.NodeName
	// Group lists the members as known to the node that replies.
	Group []walnutramp.NodeName
	// Unconfirmed is set if no majority confirmed the reply, so that a newer version may
	// be in force.
	Unconfirmed bool
	// Entries are the addresses of the live entry nodes, for a requester of an older
	// build that holds another EntriesVersion. EntriesVersion is 0 if none are sent.
	Entries        []string
	EntriesVersion uint64
	// Directory lists the entry nodes by data hall, if the requester understands it.
	Directory DirectoryReply
	// Roster is the leader's target list, if the requester holds another version.
	Roster TargetListReply
	// Versions is the view of service versions, if the requester holds an older
	// revision.
	Versions *rollout.View
	// Age is the time since the leader was asked; 0 in the leader's own replies.
	Age time.Duration
	// Relay is the node that an entry node should ask from now on: a member of its data
	// hall that relays the leader's replies. Empty for the leader itself.
	Relay walnutramp.NodeName
	// Time is the group's time when the reply was sent; nil if unknown.
	Time *groupclock.Stamp
	// Near is the member of the requester's data hall that takes its reports; empty for
	// the leader itself.
	Near walnutramp.NodeName
	// Share is the requester's share of the quotas that all entry nodes divide.
	Share quota.Assignment
	// Sharers lists the nodes that have a share, if the requester wants them.
	Sharers DirectoryReply
}

// TimeArgs requests a member's wall clock.
type TimeArgs struct{}

// TimeReply holds the wall clock as time since the Unix epoch.
type TimeReply struct {
	Unix time.Duration
}

// TellArgs reports what a node has counted since its process started.
type TellArgs struct {
	Node   string
	Life   uint64 // identifies the node's process
	Usage  []metering.Row
	Demand []fleet.Demand
}

// PassArgs forwards reports that a member received from nodes to the leader.
type PassArgs struct {
	Reports []NodeReport
}

// NodeReport is a report that a member received from a node.
type NodeReport struct {
	Node   string
	Life   uint64 // identifies the node's process
	Usage  []metering.Row
	Demand []fleet.Demand
}

// TellReply acknowledges a report.
type TellReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName
	To     uint64 // instance ID of the process that received the report
	// Closed is the newest window whose counts are final.
	Closed metering.Window
}

// DoArgs proposes a command.
type DoArgs struct {
	Command Command
}

// DoReply returns the result of a command.
type DoReply struct {
	Code   walnutramp.Code // CodeOK if Result is valid, else the reason
	Leader walnutramp.NodeName
	Result Result
}

// wantsTargets reports whether the requester uses the target list.
func (a *NewestArgs) wantsTargets() bool { return a.Entry != "" || a.Relay != "" }

// OfferArgs submits a document on a site without signatures.
type OfferArgs struct {
	Submit Submit
}

// JoinArgs requests membership.
type JoinArgs struct {
	Node     walnutramp.NodeName
	Identity consensus.Identity
}

// JoinReply acknowledges a request to join, or names the leader if this member does not
// lead.
type JoinReply struct {
	Code   walnutramp.Code
	Leader walnutramp.NodeName
	Group  []walnutramp.NodeName
}

// RolloutArgs requests the newest roll-out of a service.
type RolloutArgs struct {
	Service string
}

// RolloutReply is the leader's reply, confirmed by a majority after the request
// arrived.
type RolloutReply struct {
	Code    walnutramp.Code // CodeRolloutUnknown if there was none
	Leader  walnutramp.NodeName
	Record  rollout.Record
	Elapsed time.Duration // since the order
	// Sums are the nodes' observations since the order, as far as this leader received
	// them. Verdict is their evaluation.
	Sums    []rollout.Cell
	Verdict rollout.Verdict
}

// OrderArgs orders a roll-out.
type OrderArgs struct {
	Service  string
	Version  string
	Duration time.Duration
}

// ReportArgs reports a node's observations of the targets of services with a
// roll-out in progress.
type ReportArgs struct {
	Node  string
	Life  uint64 // identifies the node's process
	Judge uint64 // evaluation that the previous reply named; 0 for none
	Cells []rollout.Cell
}

// ReportReply returns permits for the new versions, or names the leader.
type ReportReply struct {
	Code    walnutramp.Code
	Leader  walnutramp.NodeName
	Judge   uint64 // the leader's present evaluation; 0 for none
	Permits []rollout.Permit
}

// HistoryArgs requests the accepted bundles.
type HistoryArgs struct{}

// HistoryReply lists the accepted bundles that this member has applied, oldest
// first.
type HistoryReply struct {
	Accepted []Accepted
	Group    consensus.Status
}

// SubmitArgs submits a signed bundle.
type SubmitArgs struct {
	Doc       []byte
	Signature bundle.Signature
}
