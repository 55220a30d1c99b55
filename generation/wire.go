package generation

import (
	"context"

	"github.com/walnutramp/walnutramp"
)

// Service is the name under which replicas answer peers.
const Service = "Generation"

// Peers calls other nodes.
type Peers interface {
	// Call runs a method of a node's service and fills reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// ReplicateArgs carries appends of many generations to one replica.
type ReplicateArgs struct {
	From    Member
	To      walnutramp.Incarnation // the run of the replica that is meant
	Appends []Append               // those that hold more than tokens
	Plain   Columns                // all others
}

// Handle names one epoch of one generation between an owner's run and its
// replicas, so that appends need not repeat longer names.
type Handle uint64

// ReplicateReply answers each append in order.
type ReplicateReply struct {
	Acks  []Ack
	Plain []int64 // for each plain append what is held, or a code below 0
}

// Append extends one generation at a replica.
type Append struct {
	Handle       Handle
	Open         *Opening          // starts an epoch; then Tokens is the whole log
	From         walnutramp.Offset // place of Tokens[0]
	Tokens       []walnutramp.Token
	PromptTokens []walnutramp.TokenID
	Source       *Source
	Final        *Final
}

// Opening starts an epoch with its replica set; Members[0] is the owner.
type Opening struct {
	Spec    Spec
	Epoch   Epoch
	Members []Member
}

// Ack says what a replica holds after an append.
type Ack struct {
	Code      walnutramp.Code // CodeOK, or why nothing was taken
	Held      walnutramp.Offset
	Prompt    bool
	SourceSeq int
	Final     bool
}

// PrepareArgs asks a replica to promise an epoch to a candidate.
type PrepareArgs struct {
	ID    walnutramp.GenerationID
	Epoch Epoch
	To    walnutramp.Incarnation
}

// PrepareReply holds the promise, or why there is none, and how far the
// replica is.
type PrepareReply struct {
	Code     walnutramp.Code
	Promised Epoch // the newest epoch the replica has promised
	Epoch    Epoch // of the replica set below
	Members  []Member
	Tokens   int
	Source   int  // attempts known
	Prompt   bool // the prompt's tokens are known
	Final    bool
}

// FetchArgs asks for a replica's whole state under an epoch it has promised.
type FetchArgs struct {
	ID    walnutramp.GenerationID
	Epoch Epoch // the promised one
	To    walnutramp.Incarnation
}

// FetchReply holds the state.
type FetchReply struct {
	Code  walnutramp.Code
	State State
}

// State is everything a replica holds of a generation.
type State struct {
	Spec         Spec
	Epoch        Epoch // of the replica set below
	Members      []Member
	PromptTokens []walnutramp.TokenID
	Tokens       []walnutramp.Token
	Source       Source
	Final        *Final
}

// FindArgs asks whether a node holds a generation, by identity or by the
// caller's account and key.
type FindArgs struct {
	ID      walnutramp.GenerationID
	Account walnutramp.ClientAccount
	Key     string
}

// FindReply says what the node holds.
type FindReply struct {
	Held       bool
	ID         walnutramp.GenerationID
	Epoch      Epoch
	Members    []Member
	BodyDigest string
}
