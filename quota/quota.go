// Package quota parts an amount that all nodes of a site together may use within any
// span of time, so that what nodes use of it never adds up to more, whoever is killed,
// started, silent or told late.
//
// The control group keeps the set of nodes that may hold a part in its log. Its leader
// tells a node of the set how many are in it, and for a while the node may use one part of
// as many. A node that comes in waits until every smaller number that others were told
// has run out, and a span more. A node that falls silent stays in the set until it has
// long ceased to hold a part. So of the nodes that use a part within one span, each
// was told a number no lower than theirs: docs/design/repeats.md has the proof.
package quota

import "time"

// Times that all nodes of a site must agree on.
const (
	// WordLife is how long a node goes by a word after it asked for it.
	WordLife = 4 * time.Second
	// AskLimit is how long after the question an answer counts.
	AskLimit = 2500 * time.Millisecond
	// AwayTime is for how long a node may be without a word and take its part up again
	// at the next one.
	AwayTime = 30 * time.Second
)

// joinTime is how long a node that comes in waits before it uses its part of an amount
// for a span.
func joinTime(span time.Duration) time.Duration { return WordLife + span }

// keepTime is how long a silent node stays in the set.
func keepTime(span time.Duration) time.Duration { return AwayTime + AskLimit + WordLife + span }

// Word is what the group's leader tells a node of the set.
type Word struct {
	Nodes int    // in the set; 0 for no word
	Epoch uint64 // names the set; another one has nothing to do with it
	// First says that the node's process was in the set before it was opened.
	First bool
	Age   time.Duration // since the leader was asked, where another node passes it on
}
