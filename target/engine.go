// Package target implements the clients of targets: of model engines, behind an interface
// with one adapter for each API dialect, and of plain services.
package target

import (
	"context"
	"encoding/json"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Engine is a model engine.
type Engine interface {
	// Start begins a stream, which lives until ctx ends or it is closed.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Attach continues a stream that the engine still runs, from token offset from.
	Attach(ctx context.Context, streamID string, from walnutramp.Offset) (Stream, error)
	// Cancel ends a stream. It is no error if the stream does not exist.
	Cancel(ctx context.Context, streamID string) error
	// Export offers the KV cache of a running stream for import by another engine.
	Export(ctx context.Context, streamID string) (KVHandle, error)
	// Load returns the engine's current load report.
	Load(ctx context.Context) (LoadReport, error)
}

// Order tells a target to load or unload an artifact. Targets reject orders with an older
// fence than the newest that they have seen.
type Order struct {
	Action   OrderAction `json:"action"`
	Artifact string      `json:"artifact"`
	Fence    Fence       `json:"fence"`
}

// OrderAction is the action of an order.
type OrderAction string

// The actions.
const (
	LoadArtifact   OrderAction = "load"
	UnloadArtifact OrderAction = "unload"
)

// Fence is a fencing token: it orders the orders of a leader after those of its
// predecessors.
type Fence struct {
	Epoch    uint64 `json:"epoch"` // term of the leader
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	if f.Epoch != g.Epoch {
		return f.Epoch < g.Epoch
	}
	return f.Sequence < g.Sequence
}

// CopyState is the state of an artifact's copy on a target.
type CopyState string

// The states of a copy.
const (
	CopyLoading CopyState = "loading"
	CopyReady   CopyState = "ready"
)

// Placed lists the artifacts on a target.
type Placed struct {
	Copies map[string]CopyState `json:"copies"` // by artifact
	Fence  Fence                `json:"fence"`  // of the newest order that was accepted
}

// Orders is a target that accepts orders.
type Orders interface {
	// Placed returns the artifacts on the target.
	Placed(ctx context.Context) (Placed, error)
	// Order sends an order. After an error it is unknown whether it was accepted.
	Order(ctx context.Context, o Order) error
}

// Stream is the token stream of one attempt.
type Stream interface {
	// Recv returns the next chunk. io.EOF without a preceding Finish means that the
	// stream was truncated.
	Recv() (Chunk, error)
	// Close releases the connection; the engine may continue for a while.
	Close() error
}

// Prompt is the input of an engine; exactly one field is set.
type Prompt struct {
	Text     string
	Messages json.RawMessage // chat messages in the caller's encoding
	Tokens   []walnutramp.TokenID
}

// Attempt is one execution of a generation on an engine.
type Attempt struct {
	StreamID  string // identifies the stream at the engine
	Model     walnutramp.ModelName
	Prompt    Prompt
	MaxTokens int
	Priority  int             // larger is more urgent
	Options   json.RawMessage // the caller's other options, a JSON object, forwarded unchanged
	KV        *KVHandle       // KV cache to import in place of a prefill
}

// Chunk is a sequence of tokens of one stream.
type Chunk struct {
	First        walnutramp.Offset // offset of Tokens[0] in the stream
	Tokens       []walnutramp.Token
	PromptTokens []walnutramp.TokenID // in the first chunk, if the engine provides them
	Finish       string               // finish reason; empty unless this is the last chunk
}

// KVHandle identifies an exported KV cache; its fields are opaque to this system.
type KVHandle struct {
	Address string `json:"remote_address"`
	Handle  string `json:"remote_handle"`
	Tokens  int    `json:"remote_tokens"` // number of tokens in the cache
}

// LoadReport is the load that an engine reports, with some delay.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waiting_tokens"` // prompt tokens not yet prefilled
	Slots         int     `json:"slots"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	Draining      bool    `json:"draining"`
	At            time.Time
}
