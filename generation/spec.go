package generation

import (
	"encoding/json"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/target"
)

// Spec is the request of a generation, as replicated when the generation opens.
type Spec struct {
	ID         walnutramp.GenerationID
	Account    walnutramp.ClientAccount
	Key        string // the caller's Idempotency-Key, or empty
	BodyDigest string // of the request body, to detect a reused key
	Chat       bool
	Model      walnutramp.ModelName
	Prompt     target.Prompt
	PromptKey  uint64 // hash of the prompt prefix, for cache affinity
	MaxTokens  int
	Priority   int
	Weight     int
	Options    json.RawMessage // passed on to engines unchanged
	Bound      []string        // options whose state another engine can't restore
	Content    quarantine.Fingerprint
}

// Source is the engine stream that currently feeds a generation.
type Source struct {
	Target   walnutramp.TargetName
	StreamID string
	Base     walnutramp.Offset // offset in the generation of the stream's first token
	Seq      int               // attempt number; 0 before the first
	Software string            // version of the target's software; all sources of a generation's tokens have the same
}

// Final is the end of a generation.
type Final struct {
	Reason       string // the engine's finish reason
	PromptTokens int
}

// Member is one incarnation of a node in a replica set.
type Member struct {
	Node        walnutramp.NodeName
	Incarnation walnutramp.Incarnation
}

// Epoch orders the ownerships of a generation. No two nodes share one.
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
