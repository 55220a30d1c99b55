package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/walnutramp/walnutramp"
)

// Parameters of the OpenAI adapter.
const (
	controlTimeout = 2 * time.Second // for cancel, export, load and order calls
	maxErrorBody   = 4096            // bytes kept of an error answer
	// maxControlAnswer bounds the answer to a cancel, export, load or order call, in bytes.
	maxControlAnswer = 1 << 20
	doneMarker       = "[DONE]"
	headerStreamID   = "X-Request-Id"
	headerLast       = "Last-Event-ID"
	headerSoftware   = "X-Software-Version"
)

// Client sends the requests of adapters.
type Client struct {
	rest    *resty.Client
	cancels *resty.Client // for calls that only release work
}

// NewClient returns a Client that sends over transport, and sends cancels over
// cancelTransport: those relieve an overloaded target and are sent during its cooldown,
// too. It never retries; that is left to the caller.
func NewClient(transport, cancelTransport http.RoundTripper) *Client {
	return &Client{rest: newResty(transport), cancels: newResty(cancelTransport)}
}

func newResty(rt http.RoundTripper) *resty.Client {
	return resty.New().SetTransport(rt).SetRetryCount(0).SetResponseBodyLimit(maxControlAnswer).SetLogger(discardLogger{})
}

// discardLogger drops resty's log lines, since errors are returned and logged once.
type discardLogger struct{}

func (discardLogger) Errorf(string, ...interface{}) {}
func (discardLogger) Warnf(string, ...interface{})  {}
func (discardLogger) Debugf(string, ...interface{}) {}

// OpenAI is the adapter for engines with an OpenAI-compatible API that returns token IDs.
// Streams are identified by X-Request-Id, resumed with Last-Event-ID and canceled by
// DELETE. X-Software-Version of an answer names the version of the engine's software.
type OpenAI struct {
	client *Client
	base   string
}

// NewOpenAI returns the adapter for the engine at address, a numeric host:port.
func NewOpenAI(client *Client, address string) *OpenAI {
	return &OpenAI{client: client, base: "http://" + address}
}

// Start implements Engine.
func (e *OpenAI) Start(ctx context.Context, a Attempt) (Stream, error) {
	body, path, err := encodeAttempt(a)
	if err != nil {
		return nil, err
	}
	req := e.client.rest.R().SetContext(ctx).
		SetDoNotParseResponse(true).
		SetHeader("Content-Type", "application/json").
		SetHeader(headerStreamID, a.StreamID).
		SetBody(body)
	resp, err := req.Post(e.base + path)
	return openStream(resp, err, 0)
}

// Attach implements Engine.
func (e *OpenAI) Attach(ctx context.Context, streamID string, from walnutramp.Offset) (Stream, error) {
	resp, err := e.client.rest.R().SetContext(ctx).
		SetDoNotParseResponse(true).
		SetHeader(headerLast, strconv.Itoa(int(from))).
		Get(e.base + "/v1/streams/" + streamID)
	stream, err := openStream(resp, err, from)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, ErrUnknownStream
	}
	return stream, err
}

// Cancel implements Engine.
func (e *OpenAI) Cancel(ctx context.Context, streamID string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := e.client.cancels.R().SetContext(ctx).Delete(e.base + "/v1/streams/" + streamID)
	if err != nil {
		return err
	}
	if resp.IsError() && resp.StatusCode() != http.StatusNotFound {
		return errors.Newf("cancel: status %d", resp.StatusCode())
	}
	return nil
}

// Export implements Engine.
func (e *OpenAI) Export(ctx context.Context, streamID string) (KVHandle, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var kv KVHandle
	resp, err := e.client.rest.R().SetContext(ctx).SetResult(&kv).Post(e.base + "/v1/streams/" + streamID + "/kv")
	if err != nil {
		return KVHandle{}, err
	}
	if resp.IsError() {
		return KVHandle{}, errors.Newf("export: status %d", resp.StatusCode())
	}
	return kv, nil
}

// Load implements Engine.
func (e *OpenAI) Load(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var report LoadReport
	resp, err := e.client.rest.R().SetContext(ctx).SetResult(&report).Get(e.base + "/load")
	if err != nil {
		return LoadReport{}, err
	}
	if resp.IsError() {
		return LoadReport{}, errors.Newf("load: status %d", resp.StatusCode())
	}
	report.At = time.Now()
	return report, nil
}

// Placed implements Orders.
func (e *OpenAI) Placed(ctx context.Context) (Placed, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var p Placed
	resp, err := e.client.rest.R().SetContext(ctx).SetResult(&p).Get(e.base + "/v1/placed")
	if err == nil && resp.IsError() {
		err = errors.Newf("placed: status %d", resp.StatusCode())
	}
	return p, err
}

// Order implements Orders.
func (e *OpenAI) Order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := e.client.rest.R().SetContext(ctx).SetBody(o).Post(e.base + "/v1/orders")
	if err == nil && resp.IsError() {
		err = errors.Newf("order: status %d", resp.StatusCode())
	}
	return err
}

// attemptBody holds the fields of an engine request that this system sets.
type attemptBody struct {
	Model          walnutramp.ModelName `json:"model"`
	Prompt         any                  `json:"prompt,omitempty"`
	Messages       json.RawMessage      `json:"messages,omitempty"`
	MaxTokens      int                  `json:"max_tokens"`
	Priority       int                  `json:"priority"`
	Stream         bool                 `json:"stream"`
	ReturnTokenIDs bool                 `json:"return_token_ids"`
	KVTransfer     *KVHandle            `json:"kv_transfer_params,omitempty"`
}

func encodeAttempt(a Attempt) (body []byte, path string, err error) {
	set := attemptBody{
		Model: a.Model, MaxTokens: a.MaxTokens, Priority: a.Priority,
		Stream: true, ReturnTokenIDs: true, KVTransfer: a.KV,
	}
	path = "/v1/completions"
	switch {
	case a.Prompt.Tokens != nil:
		set.Prompt = a.Prompt.Tokens
	case a.Prompt.Messages != nil:
		set.Messages = a.Prompt.Messages
		path = "/v1/chat/completions"
	default:
		set.Prompt = a.Prompt.Text
	}
	own, err := json.Marshal(set)
	if err != nil {
		return nil, "", err
	}
	return joinObjects(own, a.Options), path, nil
}

// joinObjects concatenates the fields of two JSON objects that share none.
func joinObjects(a, b []byte) []byte {
	b = bytes.TrimSpace(b)
	if len(b) <= len("{}") {
		return a
	}
	joined := append([]byte{}, a[:len(a)-1]...)
	joined = append(joined, ',')
	return append(joined, b[1:]...)
}

func openStream(resp *resty.Response, err error, from walnutramp.Offset) (Stream, error) {
	if err != nil {
		return nil, err
	}
	body := resp.RawBody()
	if resp.StatusCode() != http.StatusOK {
		defer body.Close()
		text, _ := io.ReadAll(io.LimitReader(body, maxErrorBody))
		return nil, &StatusError{Status: resp.StatusCode(), Text: string(text)}
	}
	return &openAIStream{body: body, events: NewEventReader(body), next: from, software: resp.Header().Get(headerSoftware)}, nil
}

// StatusError is an error status returned by an engine.
type StatusError struct {
	Status int
	Text   string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return "engine answered status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// Final reports whether other engines would reject the request as well.
func (e *StatusError) Final() bool {
	return e.Status >= 400 && e.Status < 500 &&
		e.Status != http.StatusTooManyRequests && e.Status != http.StatusNotFound && e.Status != http.StatusRequestTimeout
}

type openAIStream struct {
	body   io.ReadCloser
	events *EventReader
	next   walnutramp.Offset

	software string
}

type streamEvent struct {
	PromptTokenIDs []walnutramp.TokenID `json:"prompt_token_ids"`
	Choices        []streamChoice       `json:"choices"`
	Error          json.RawMessage      `json:"error"`
}

type streamChoice struct {
	Text           string               `json:"text"`
	Delta          streamDelta          `json:"delta"`
	TokenIDs       []walnutramp.TokenID `json:"token_ids"`
	PromptTokenIDs []walnutramp.TokenID `json:"prompt_token_ids"`
	FinishReason   string               `json:"finish_reason"`
}

type streamDelta struct {
	Content string `json:"content"`
}

// Recv implements Stream.
func (s *openAIStream) Recv() (Chunk, error) {
	for {
		ev, err := s.events.Next()
		if err != nil {
			return Chunk{}, err
		}
		if ev.Data == doneMarker {
			return Chunk{}, io.EOF
		}
		var data streamEvent
		if err := json.Unmarshal([]byte(ev.Data), &data); err != nil {
			return Chunk{}, errors.Wrap(err, "invalid event from engine")
		}
		if data.Error != nil {
			return Chunk{}, errors.Newf("engine reported: %s", data.Error)
		}
		if len(data.Choices) == 0 {
			continue
		}
		return s.chunk(ev.ID, data), nil
	}
}

func (s *openAIStream) chunk(id string, data streamEvent) Chunk {
	choice := data.Choices[0]
	c := Chunk{
		First:        s.next,
		Tokens:       choiceTokens(choice),
		PromptTokens: data.PromptTokenIDs,
		Finish:       choice.FinishReason,
	}
	if c.PromptTokens == nil {
		c.PromptTokens = choice.PromptTokenIDs
	}
	if end, err := strconv.Atoi(id); err == nil {
		c.First = walnutramp.Offset(end - len(c.Tokens))
	}
	s.next = c.First + walnutramp.Offset(len(c.Tokens))
	return c
}

// choiceTokens returns the tokens of a choice, with its whole text at the last one.
func choiceTokens(choice streamChoice) []walnutramp.Token {
	text := choice.Text + choice.Delta.Content
	if len(choice.TokenIDs) == 0 {
		if text == "" {
			return nil
		}
		return []walnutramp.Token{{ID: walnutramp.NoTokenID, Text: text}}
	}
	tokens := make([]walnutramp.Token, len(choice.TokenIDs))
	for i, id := range choice.TokenIDs {
		tokens[i].ID = id
	}
	tokens[len(tokens)-1].Text = text
	return tokens
}

// Software implements Stream.
func (s *openAIStream) Software() string { return s.software }

// Close implements Stream.
func (s *openAIStream) Close() error { return s.body.Close() }
