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
