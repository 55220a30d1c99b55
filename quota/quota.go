// Package quota divides a quota per span of time among all nodes of a site so that the
// nodes together never exceed it, even if nodes crash, start, are partitioned or receive
// assignments late.
//
// The control group keeps the set of nodes that may hold a share in its log. Its leader
// tells each of them the size of the set, n, and for a limited time the node may use
// 1/n of the quota. A node that joins waits until all assignments of a smaller n have
// expired, and one span more. A node that becomes unresponsive stays in the set until its share
// has certainly expired. So if k nodes use a share within one span, each of them was told
// an n of at least k, and their shares add up to at most the quota;
// docs/design/repeats.md has the proof.
package quota

import "time"

// Times that must be the same on all nodes of a site.
const (
	// ShareTTL is how long an assigned share is valid, from the request for it.
	ShareTTL = 4 * time.Second
	// AnswerTimeout is how long after the request an answer is accepted.
	AnswerTimeout = 2500 * time.Millisecond
	// MaxAbsence is the longest time between the requests of two successive assignments
	// after which a node uses its share again without waiting for joinDelay.
	MaxAbsence = 30 * time.Second
)

// joinDelay is how long a node that joins waits before it uses its share.
func joinDelay(span time.Duration) time.Duration { return ShareTTL + span }

// evictDelay is how long an unresponsive node stays in the set: until it can no longer
// resume its share (MaxAbsence) by an answer that is under way (AnswerTimeout), that
// share has expired (ShareTTL), and a span has passed.
func evictDelay(span time.Duration) time.Duration {
	return MaxAbsence + AnswerTimeout + ShareTTL + span
}

// Assignment is the assignment of a share that the control group's leader sends to a
// node in the set.
type Assignment struct {
	Nodes int    // in the set; 0 for no assignment
	Epoch uint64 // identifies the set; assignments of different sets are unrelated
	// First says that the node's process joined the set before the set was opened, when no
	// node had a share. The process need not wait for joinDelay before its first share.
	First bool
	Age   time.Duration // since the leader was asked, if relayed by another node
	// Members identifies the list of the set's nodes; 0 if unknown, as from an older build.
	Members uint64
}
