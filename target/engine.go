// Package target speaks to the back ends: model engines, through a narrow
// interface with one adapter for each engine dialect, and plain services.
package target

import (
	"context"
	"encoding/json"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Engine is one model engine as the system uses it.
type Engine interface {
	// Start begins a stream; the stream lives until ctx ends or Close.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Attach continues a stream the engine still runs, from its token `from`.
	Attach(ctx context.Context, streamID string, from walnutramp.Offset) (Stream, error)
	// Cancel ends a stream; ending one that is gone is no error.
	Cancel(ctx context.Context, streamID string) error
	// Export offers the KV cache of a running stream to another engine.
	Export(ctx context.Context, streamID string) (KVHandle, error)
	// Load asks for the engine's newest load report.
	Load(ctx context.Context) (LoadReport, error)
}

// Order tells a target to load or unload an artifact. Targets that check
// orders refuse one whose fence is older than the newest they have seen.
type Order struct {
	Action   OrderAction `json:"action"`
	Artifact string      `json:"artifact"`
	Fence    Fence       `json:"fence"`
}

// OrderAction is what an order does.
type OrderAction string

// The actions.
const (
	LoadArtifact   OrderAction = "load"
	UnloadArtifact OrderAction = "unload"
)

// Fence orders the orders of one leader after those of older ones.
type Fence struct {
	Epoch    uint64 `json:"epoch"` // the leader's term
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is older than g.
func (f Fence) Less(g Fence) bool {
	if f.Epoch != g.Epoch {
		return f.Epoch < g.Epoch
	}
	return f.Sequence < g.Sequence
}

// CopyState is where a copy of an artifact stands on a target.
type CopyState string

// The states of a copy.
const (
	CopyLoading CopyState = "loading"
	CopyReady   CopyState = "ready"
)

// Placed is what a target holds.
type Placed struct {
	Copies map[string]CopyState `json:"copies"` // by artifact
	Fence  Fence                `json:"fence"`  // of the newest order it took
}

// Orders is a target that takes orders.
type Orders interface {
	// Placed reads what the target holds.
	Placed(ctx context.Context) (Placed, error)
	// Order gives an order; an error leaves open whether it was taken.
	Order(ctx context.Context, o Order) error
}

// Stream is one attempt's tokens in order.
type Stream interface {
	// Recv returns the next chunk. io.EOF without a Finish before it means
	// that the engine broke off.
	Recv() (Chunk, error)
	// Close releases the connection; the engine may go on for a while.
	Close() error
}

// Prompt is what an engine is given: exactly one field is set.
type Prompt struct {
	Text     string
	Messages json.RawMessage // chat messages as the caller wrote them
	Tokens   []walnutramp.TokenID
}

// Attempt is one try at a generation on one engine.
type Attempt struct {
	StreamID  string // names the stream at the engine
	Model     walnutramp.ModelName
	Prompt    Prompt
	MaxTokens int
	Priority  int             // larger goes first
	Options   json.RawMessage // the caller's other options, an object, passed on unchanged
	KV        *KVHandle       // KV cache to import instead of a prefill
}

// Chunk is a run of tokens of one stream.
type Chunk struct {
	First        walnutramp.Offset // place of Tokens[0] in the stream, from 0
	Tokens       []walnutramp.Token
	PromptTokens []walnutramp.TokenID // with the first chunk, if the engine tells
	Finish       string               // the engine's reason, empty while it goes on
}

// KVHandle names an exported KV cache; its fields mean something to engines only.
type KVHandle struct {
	Address string `json:"remote_address"`
	Handle  string `json:"remote_handle"`
	Tokens  int    `json:"remote_tokens"` // positions the cache covers
}

// LoadReport is what an engine says of itself; it lags.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waiting_tokens"` // prefill still to do, in tokens
	Slots         int     `json:"slots"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	Draining      bool    `json:"draining"`
	At            time.Time
}
