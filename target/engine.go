// Package target implements the clients of targets: of model engines, behind an interface
// with one adapter for each API dialect, and of plain services.
package target

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
)

// Engine is a model engine.
type Engine interface {
	// Start begins a stream, which lives until ctx ends or the stream is closed. The error
	// is a *NotSentError if nothing was sent, and a *StatusError if the engine answered
	// with an error status; after any other error the engine may run the stream.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Attach continues a stream that the engine still runs, starting at the token at offset
	// from. The error is ErrUnknownStream if the engine answered that it doesn't run it.
	Attach(ctx context.Context, streamID string, from walnutramp.Offset) (Stream, error)
	// Cancel ends a stream. It is no error if the stream does not exist.
	Cancel(ctx context.Context, streamID string) error
	// Export offers the KV cache of a running stream for import by another engine.
	Export(ctx context.Context, streamID string) (KVHandle, error)
	// Load returns the engine's current load report.
	Load(ctx context.Context) (LoadReport, error)
}

// ErrUnknownStream is returned for a stream that the engine doesn't run, as after its restart.
var ErrUnknownStream = errors.New("the engine doesn't run the stream")

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

// Fence is a fencing token: it ranks an order above all earlier ones, of the same leader
// (by Sequence) and of leaders of earlier terms.
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

// Placed is the inventory of a target: the state of its copies of artifacts (model
// weights), and the newest fence that it has accepted.
type Placed struct {
	Copies map[string]CopyState `json:"copies"` // by artifact
	Fence  Fence                `json:"fence"`  // of the newest order that was accepted
}

// Orders is a target that accepts orders to load and unload artifacts.
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
	// Software returns the version of the software that runs the stream, as the engine
	// named it in its answer; empty if it named none.
	Software() string
	// Close releases the connection. It does not cancel the stream at the engine, which
	// may continue for a while; see Engine.Cancel.
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
	Priority  int             // larger is more urgent, unlike a gateway.Route's Priority
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

// KVHandle identifies an exported KV cache. It is passed on unchanged from the exporting
// to the importing engine.
type KVHandle struct {
	Address string `json:"remote_address"`
	Handle  string `json:"remote_handle"`
	Tokens  int    `json:"remote_tokens"` // number of tokens in the cache
}

// LoadReport is the load that an engine reported. At is when this node received it.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int     `json:"waiting_tokens"` // prompt tokens not yet prefilled
	Slots         int     `json:"slots"`
	PrefillRate   float64 `json:"prefill_tokens_per_second"`
	Draining      bool    `json:"draining"`
	Software      string  `json:"software"` // version of the engine's software; empty if it names none
	At            time.Time
}
