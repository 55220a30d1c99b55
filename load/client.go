// Package load is a load generator. It sends a reproducible mix of requests to a
// site, injects failures, checks every response, and reports latency, goodput and
// cost.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/standin"
	"github.com/walnutramp/walnutramp/target"
)

// Client is an API client that resumes broken streams with Last-Event-ID.
type Client struct {
	HTTP      *http.Client
	Addresses []string      // of nodes, tried in round-robin order
	Reconnect time.Duration // minimum delay before a reconnect
	Attempts  int           // connection attempts per draft
	FromZero  bool          // restart a broken draft instead of resuming it, and retry after any error response
}

// NewClient returns a client for the nodes at addresses, with default settings.
func NewClient(rt http.RoundTripper, addresses []string) *Client {
	return &Client{
		HTTP:      &http.Client{Transport: rt},
		Addresses: addresses,
		Reconnect: 50 * time.Millisecond,
		Attempts:  40,
	}
}

// Draft is a request for a streamed completion.
type Draft struct {
	APIKey    string
	Key       string // Idempotency-Key; empty for none
	Model     walnutramp.ModelName
	Prompt    string
	MaxTokens int
	First     int // index of the first address to try
}

// Drafted is the result of a draft as seen by the client.
type Drafted struct {
	ID         walnutramp.GenerationID
	Text       string
	Verdict    standin.Verdict
	Complete   bool
	FirstToken time.Duration
	Arrivals   []time.Time // when new text arrived
	Moves      []time.Time // when an attempt failed while some text had been received
	Reconnects int         // attempts to resume from a position
	Restarts   int         // restarts from the beginning
	Discarded  int         // tokens discarded by restarts
	Refused    *Refusal    // the last error response, if any
}

// Refusal is an error response.
type Refusal struct {
	Status     int
	Code       walnutramp.Code
	Outcome    walnutramp.Outcome
	Message    string
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return strconv.Itoa(int(r.Code)) + " " + string(r.Outcome) + ": " + r.Message
}

// Draft sends a draft and reads its stream. It reconnects until the draft is
// complete or fails permanently, the attempts are used up, or ctx ends.
func (c *Client) Draft(ctx context.Context, d Draft) Drafted {
	f := &draftReader{client: c, draft: d, start: time.Now()}
	for try := range c.Attempts {
		if f.attempt(ctx, c.Addresses[(d.First+try)%len(c.Addresses)]) || ctx.Err() != nil {
			break
		}
		f.disconnected()
		if !pause.For(ctx, f.retryDelay()) {
			break
		}
	}
	f.result.Text = f.text.String()
	f.result.Verdict = standin.Check(d.Prompt, f.result.Text)
	return f.result
}

// draftReader is the state of a draft across connections.
type draftReader struct {
	client     *Client
	draft      Draft
	result     Drafted
	text       strings.Builder
	position   string // ID of the last event
	start      time.Time
	retryAfter time.Duration
	maxLength  int  // bytes of the longest text received, over all restarts
	unknown    bool // the site no longer knows the generation
}

type draftBody struct {
	Model     walnutramp.ModelName `json:"model"`
	Prompt    string               `json:"prompt"`
	MaxTokens int                  `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
}

// disconnected records an attempt that ended before the draft was complete, with or
// without a connection, and resets the text if the draft has to restart.
func (f *draftReader) disconnected() {
	if f.text.Len() > 0 {
		f.result.Moves = append(f.result.Moves, time.Now())
	}
	if f.text.Len() > 0 && (f.client.FromZero || f.unknown) {
		f.result.Discarded += standin.Tokens(f.text.String())
		f.result.Restarts++
		f.position = ""
		f.text.Reset()
		f.unknown = false
	}
}

// retryDelay returns the delay before the next connection attempt.
func (f *draftReader) retryDelay() time.Duration { return max(f.retryAfter, f.client.Reconnect) }

// attempt makes one connection. It returns true if no retry is needed or allowed.
func (f *draftReader) attempt(ctx context.Context, address string) bool {
	f.retryAfter = 0
	resp, err := f.connect(ctx, address)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refusal := readRefusal(resp)
		f.result.Refused = refusal
		f.retryAfter = refusal.RetryAfter
		f.unknown = f.position != "" && refusal.Code == walnutramp.CodeGenerationUnknown
		return refusal.RetryAfter == 0 && refusal.Code != walnutramp.CodeMoved && !f.unknown && !f.client.FromZero
	}
	return f.read(target.NewEventReader(resp.Body))
}

func (f *draftReader) connect(ctx context.Context, address string) (*http.Response, error) {
	body, err := json.Marshal(draftBody{Model: f.draft.Model, Prompt: f.draft.Prompt, MaxTokens: f.draft.MaxTokens, Stream: true})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+f.draft.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if f.draft.Key != "" {
		req.Header.Set("Idempotency-Key", f.draft.Key)
	}
	if f.position != "" {
		req.Header.Set("Last-Event-ID", f.position)
		f.result.Reconnects++
	}
	return f.client.HTTP.Do(req)
}

// chunk is the payload of a completion event.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// read reads events until the stream ends, and reports whether the draft is complete.
func (f *draftReader) read(events *target.EventReader) bool {
	for {
		ev, err := events.Next()
		if err != nil || ev.Data == "[DONE]" {
			return f.result.Complete
		}
		var c chunk
		if json.Unmarshal([]byte(ev.Data), &c) != nil || c.Error != nil {
			f.recordError(c.Error)
			return false
		}
		f.apply(ev.ID, c)
	}
}

// recordError records an error event of the stream.
func (f *draftReader) recordError(raw json.RawMessage) {
	r := &Refusal{}
	r.fill(raw)
	f.result.Refused = r
	f.retryAfter = r.RetryAfter
}

// apply adds an event's text to the draft and records its position.
func (f *draftReader) apply(id string, c chunk) {
	if id != "" {
		f.position = id
		if p, err := walnutramp.ParsePosition(id); err == nil {
			f.result.ID = p.Generation
		}
	}
	if len(c.Choices) == 0 {
		return
	}
	choice := c.Choices[0]
	if choice.Text != "" {
		f.text.WriteString(choice.Text)
		f.recordArrival(time.Now())
	}
	if choice.FinishReason != nil {
		f.result.Complete = true
	}
}

// recordArrival records the arrival time of text not received before. Text repeated
// after a restart does not count.
func (f *draftReader) recordArrival(now time.Time) {
	if f.text.Len() <= f.maxLength {
		return
	}
	if f.maxLength == 0 {
		f.result.FirstToken = now.Sub(f.start)
	}
	f.maxLength = f.text.Len()
	f.result.Arrivals = append(f.result.Arrivals, now)
}

// LongestGap returns the longest time between two arrivals of new text.
func (d *Drafted) LongestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(d.Arrivals); i++ {
		longest = max(longest, d.Arrivals[i].Sub(d.Arrivals[i-1]))
	}
	return longest
}

// GapAt returns the time between the two arrivals around t, and false if there are
// none.
func (d *Drafted) GapAt(t time.Time) (time.Duration, bool) {
	for i := 1; i < len(d.Arrivals); i++ {
		if !d.Arrivals[i].Before(t) && !d.Arrivals[i-1].After(t) {
			return d.Arrivals[i].Sub(d.Arrivals[i-1]), true
		}
	}
	return 0, false
}

const maxErrorBody = 16 << 10 // bytes

func readRefusal(resp *http.Response) *Refusal {
	r := &Refusal{Status: resp.StatusCode}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	var envelope struct {
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(body, &envelope) == nil {
		r.fill(envelope.Error)
	}
	return r
}

// fill sets the fields from a JSON error object; those that it lacks become zero. If it
// can't be decoded, fill changes nothing.
func (r *Refusal) fill(raw json.RawMessage) {
	var info struct {
		Message      string             `json:"message"`
		Code         string             `json:"code"`
		Outcome      walnutramp.Outcome `json:"outcome"`
		RetryAfterMS int64              `json:"retry_after_ms"`
	}
	if json.Unmarshal(raw, &info) != nil {
		return
	}
	code, _ := strconv.Atoi(info.Code)
	r.Code = walnutramp.Code(code)
	r.Outcome = info.Outcome
	r.Message = info.Message
	r.RetryAfter = time.Duration(info.RetryAfterMS) * time.Millisecond
}

// Call is a request to a plain service.
type Call struct {
	APIKey string
	Key    string // Idempotency-Key; empty for none
	Method string
	Path   string // service name and path
	Body   string
	First  int // index of the address to use
}

// Call sends a service request once and returns the response body. An error response
// is returned as a *Refusal.
func (c *Client) Call(ctx context.Context, call Call) ([]byte, error) {
	address := c.Addresses[call.First%len(c.Addresses)]
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+"/v1/services/"+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+call.APIKey)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, readRefusal(resp)
	}
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, "read response body")
}
