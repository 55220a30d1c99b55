// Package origins remembers which service and which software version of its targets began a
// stream, so that a client that takes the stream up at any node is served by that version
// only. A node that forwards the first event of a stream sends a record to a few nodes, chosen
// by the stream's key; a node that a client comes back to asks these. What no node knows is
// not guessed: a stream without a record goes on only where all targets that could have begun
// it had one version.
package origins

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

// Key identifies the streams of one content: a hash of the client account and the request,
// which is the same whenever a client sends it again, whatever its route is called by then.
// It decides which nodes keep a record.
type Key [16]byte

// KeyOf returns the key of a request; fingerprint is a hash of its content.
func KeyOf(account string, fingerprint uint64) Key {
	return Key(hash(account, strconv.FormatUint(fingerprint, 16))[:len(Key{})])
}

// KeyWithRoute returns the key under which an older build keeps the origin of a stream.
func KeyWithRoute(account, route string, fingerprint uint64) Key {
	return Key(hash(account, route, strconv.FormatUint(fingerprint, 16))[:len(Key{})])
}

// Attempt identifies one stream among those of one Key: a hash of the client account and of
// the ID of the client's attempt that brought the first event.
type Attempt uint64

// AttemptOf returns the hash of an attempt; 0 if the client names none.
func AttemptOf(account, id string) Attempt {
	if id == "" {
		return 0
	}
	return Attempt(binary.BigEndian.Uint64(hash(account, id)) | 1)
}

// hash returns a hash of several texts.
func hash(texts ...string) []byte {
	var joined []byte
	for _, text := range texts {
		joined = binary.AppendUvarint(joined, uint64(len(text)))
		joined = append(joined, text...)
	}
	sum := sha256.Sum256(joined)
	return sum[:]
}

// Origin is what began a stream.
type Origin struct {
	Service  string
	Software string // version
}

// Record is the origin of a stream.
type Record struct {
	Key     Key
	Attempt Attempt
	Origin
	TTL time.Duration // how long a client may still come back
	// Restored says that the record was read from a disk, so that it is older than the latest
	// loss of records.
	Restored bool
}

// View is what a node has seen of the software versions of a service's targets.
type View struct {
	Versions []string      // listed at some time within a window
	Covered  time.Duration // how long the node has had a list
}

// merge adds what another node has seen.
func (v *View) merge(other View) {
	for _, version := range other.Versions {
		if !slices.Contains(v.Versions, version) {
			v.Versions = append(v.Versions, version)
		}
	}
	v.Covered = max(v.Covered, other.Covered)
}

// Versions is the history of the versions that this node has seen.
type Versions interface {
	// VersionsWithin returns the versions of a service that were listed within a window.
	VersionsWithin(service string, window time.Duration) (versions []string, covered time.Duration)
}

// Question asks for the origin of a stream. Without an Attempt, of a client that names none,
// all streams of the key must be known and have the same. If nobody knows it, the views of a
// service are used; Service is empty if several could have begun the stream.
type Question struct {
	Key     Key
	Attempt Attempt
	Service string
	Window  time.Duration // back to the oldest stream that may still be taken up
}

// Answer is a node's answer to a Question.
type Answer struct {
	Known    bool
	Conflict bool // records disagree, so that the origin is unknown
	Origin   Origin
	Restored bool // a record of the key is
	View     View
	// Kept says that the node has lost no record of the question's window, and Keeper that it
	// is a keeper of the key.
	Kept, Keeper bool
}

// Poll is what other nodes answer to a Question.
type Poll struct {
	Answers []Answer
	Asked   int  // number of nodes
	Keeper  bool // this node is a keeper of the key, too
	Left    int  // number of nodes that have left within the question's window
}

// Complete reports whether all streams of the key are known: a keeper has lost no record, and
// was a keeper when they began. kept says that this node has lost none.
func (p *Poll) Complete(kept bool) bool {
	keepers := 0
	if p.Keeper && kept {
		keepers++
	}
	for _, a := range p.Answers {
		if a.Keeper && a.Kept {
			keepers++
		}
	}
	return keepers > p.Left
}

// Network carries messages between nodes. They may be lost, late or duplicated. The keepers of a
// key are the nodes that get each of its records, whichever node begins the stream.
type Network interface {
	// Store sends a record to the nodes that keep it. With confirm it waits until one of
	// them has it; false if none confirmed in time.
	Store(ctx context.Context, r Record, confirm bool) bool
	// Find asks the nodes that keep a record, and others that did if the list of nodes
	// has changed. It returns once enough reports that no further answer is needed, once all
	// have answered or when none answers any more.
	Find(ctx context.Context, q Question, enough func(*Poll) bool) Poll
}

// noNetwork is the Network of a node without peers.
type noNetwork struct{}

func (noNetwork) Store(context.Context, Record, bool) bool              { return true }
func (noNetwork) Find(context.Context, Question, func(*Poll) bool) Poll { return Poll{Keeper: true} }
