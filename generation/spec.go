package generation

import (
	"encoding/json"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/target"
)

// Spec is a request as it is replicated when its generation opens.
type Spec struct {
	ID         walnutramp.GenerationID
	Account    walnutramp.ClientAccount
	Key        string // the caller's Idempotency-Key, or empty
	BodyDigest string // of the request body, to tell a reused key
	Chat       bool
	Model      walnutramp.ModelName
	Prompt     target.Prompt
	PromptKey  uint64 // hash of the prompt's beginning
	MaxTokens  int
	Priority   int
	Weight     int
	Options    json.RawMessage // passed on to engines unchanged
	Bound      []string        // options that no other engine can carry on from
	Content    quarantine.Fingerprint
}

// Source is the engine stream that now feeds a generation.
type Source struct {
	Target   walnutramp.TargetName
	StreamID string
	Base     walnutramp.Offset // the generation's offset at the stream's first token
	Seq      int               // grows with every attempt; 0 means none yet
}

// Final is how a generation ended.
type Final struct {
	Reason       string // the engine's finish reason
	PromptTokens int
}

// Member is one run of a node in a replica set.
type Member struct {
	Node        walnutramp.NodeName
	Incarnation walnutramp.Incarnation
}

// Epoch orders the owners of a generation. Two nodes never share one.
type Epoch struct {
	Number uint64
	Node   walnutramp.NodeName
}

// Less reports whether e is older than f.
func (e Epoch) Less(f Epoch) bool {
	if e.Number != f.Number {
		return e.Number < f.Number
	}
	return e.Node < f.Node
}

func majority(n int) int { return n/2 + 1 }
