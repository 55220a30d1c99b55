package generation

import (
	"context"

	"github.com/walnutramp/walnutramp"
)

// Service is the name of the RPC service.
const Service = "Generation"

// Peers calls other nodes.
type Peers interface {
	// Call invokes a method of a node's service and fills in reply.
	Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error
}

// ReplicateArgs carries appends of many generations to one replica.
type ReplicateArgs struct {
	From    Member
	To      walnutramp.Incarnation // incarnation of the replica
	Appends []Append               // those with more than tokens
	Plain   Columns                // token-only appends
}

// Handle is a short ID for one epoch of one generation, scoped to an incarnation of its
// owner.
type Handle uint64

// ReplicateReply acknowledges each append in order.
type ReplicateReply struct {
	Acks  []Ack
	Plain []int64 // for each token-only append the offset held, or a negated result code
}

// Append extends one generation at a replica.
type Append struct {
	Handle       Handle
	Open         *Opening          // starts an epoch; Tokens is then the whole log
	From         walnutramp.Offset // offset of Tokens[0]
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

// Ack is what a replica holds after an append.
type Ack struct {
	Code      walnutramp.Code // CodeOK, or why the append was rejected
	Held      walnutramp.Offset
	Prompt    bool
	SourceSeq int
	Final     bool
}

// PrepareArgs requests the promise of an epoch.
type PrepareArgs struct {
	ID    walnutramp.GenerationID
	Epoch Epoch
	To    walnutramp.Incarnation
}

// PrepareReply is the promise or the reason for its rejection, and the progress of the
// replica.
type PrepareReply struct {
	Code     walnutramp.Code
	Promised Epoch // newest epoch that the replica has promised
	Epoch    Epoch // of Members
	Members  []Member
	Tokens   int
	Source   int  // number of attempts known
	Prompt   bool // whether the prompt's token IDs are known
	Final    bool
}

// FetchArgs requests a replica's whole state under an epoch that it has promised.
type FetchArgs struct {
	ID    walnutramp.GenerationID
	Epoch Epoch // the promised epoch
	To    walnutramp.Incarnation
}

// FetchReply holds the state.
type FetchReply struct {
	Code  walnutramp.Code
	State State
}

// State is the replicated state of a generation.
type State struct {
	Spec         Spec
	Epoch        Epoch // of Members
	Members      []Member
	PromptTokens []walnutramp.TokenID
	Tokens       []walnutramp.Token
	Source       Source
	Final        *Final
}

// FindArgs looks up a generation by ID, or by the caller's account and key.
type FindArgs struct {
	ID      walnutramp.GenerationID
	Account walnutramp.ClientAccount
	Key     string
}

// FindReply is the result of a lookup at one node.
type FindReply struct {
	Held       bool
	ID         walnutramp.GenerationID
	Epoch      Epoch
	Members    []Member
	BodyDigest string
}
