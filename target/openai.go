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

// Limits of the OpenAI-style adapter.
const (
	orderTimeout   = 2 * time.Second // cancel, export and load calls
	maxErrorBody   = 4096            // bytes of an error answer kept
	doneMarker     = "[DONE]"
	headerStreamID = "X-Request-Id"
	headerLast     = "Last-Event-ID"
)

// Client is what adapters send requests with.
type Client struct {
	rest *resty.Client
	ends *resty.Client // for calls that only end work
}

// NewClient returns a Client that sends over rt, and calls that only end work over
// ends: a target that rests still takes those, they take load off it. It never
// retries: what is sent again is the caller's decision.
func NewClient(rt, ends http.RoundTripper) *Client {
	return &Client{rest: newResty(rt), ends: newResty(ends)}
}

func newResty(rt http.RoundTripper) *resty.Client {
	return resty.New().SetTransport(rt).SetRetryCount(0).SetLogger(quiet{})
}

// quiet drops resty's own log lines; errors are returned and logged once.
type quiet struct{}

func (quiet) Errorf(string, ...interface{}) {}
func (quiet) Warnf(string, ...interface{})  {}
func (quiet) Debugf(string, ...interface{}) {}

// OpenAI is the adapter for engines that speak the OpenAI HTTP dialect with
// token IDs in the stream. Streams are named by X-Request-Id, continued with
// Last-Event-ID and cancelled by DELETE.
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
	return openStream(resp, err, from)
}

// Cancel implements Engine.
func (e *OpenAI) Cancel(ctx context.Context, streamID string) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := e.client.ends.R().SetContext(ctx).Delete(e.base + "/v1/streams/" + streamID)
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
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := e.client.rest.R().SetContext(ctx).SetBody(o).Post(e.base + "/v1/orders")
	if err == nil && resp.IsError() {
		err = errors.Newf("order: status %d", resp.StatusCode())
	}
	return err
}

// attemptBody holds the fields this system sets in an engine's request.
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
	ours, err := json.Marshal(set)
	if err != nil {
		return nil, "", err
	}
	return joinObjects(ours, a.Options), path, nil
}

// joinObjects joins two JSON objects that share no field.
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
	return &openAIStream{body: body, events: NewEventReader(body), next: from}, nil
}

// StatusError is an engine's refusal.
type StatusError struct {
	Status int
	Text   string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return "engine answered status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// Final reports whether another engine would refuse as well.
func (e *StatusError) Final() bool {
	return e.Status >= 400 && e.Status < 500 &&
		e.Status != http.StatusTooManyRequests && e.Status != http.StatusNotFound && e.Status != http.StatusRequestTimeout
}

type openAIStream struct {
	body   io.ReadCloser
	events *EventReader
	next   walnutramp.Offset
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
			return Chunk{}, errors.Wrap(err, "engine sent a broken event")
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

// choiceTokens gives the text of a chunk to its last token.
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

// Close implements Stream.
func (s *openAIStream) Close() error { return s.body.Close() }
