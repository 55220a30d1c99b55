// Package load drives a site with a described mix of requests, checks every
// answer, and reports what callers saw.
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

// Client is a caller that reconnects with Last-Event-ID.
type Client struct {
	HTTP      *http.Client
	Addresses []string // of entry nodes, tried in turn as a balancer would
	Reconnect time.Duration
	Attempts  int  // connections tried for one draft
	FromZero  bool // start a broken draft again from zero, as clients without resume do
}

// NewClient returns a client of the nodes at addresses.
func NewClient(rt http.RoundTripper, addresses []string) *Client {
	return &Client{
		HTTP:      &http.Client{Transport: rt},
		Addresses: addresses,
		Reconnect: 50 * time.Millisecond,
		Attempts:  40,
	}
}

// Draft is a long generation to ask for.
type Draft struct {
	APIKey    string
	Key       string // Idempotency-Key, or empty
	Model     walnutramp.ModelName
	Prompt    string
	MaxTokens int
	First     int // index of the address tried first
}

// Drafted is what came of a draft, as its caller saw it.
type Drafted struct {
	ID         walnutramp.GenerationID
	Text       string
	Verdict    standin.Verdict
	Complete   bool
	FirstToken time.Duration
	Arrivals   []time.Time // of new text
	Moves      []time.Time // when the caller had to connect again
	Reconnects int
	Restarts   int      // times the draft began again from zero
	Discarded  int      // tokens received and thrown away
	Refused    *Refusal // the last refusal, where the draft did not complete
}

// Refusal is an error answer.
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

// Draft asks for a draft and follows it to its end across reconnects.
func (c *Client) Draft(ctx context.Context, d Draft) Drafted {
	f := &follower{client: c, draft: d, asked: time.Now()}
	for try := range c.Attempts {
		if f.once(ctx, c.Addresses[(d.First+try)%len(c.Addresses)]) || ctx.Err() != nil {
			break
		}
		f.broke()
		if !pause.For(ctx, f.wait()) {
			break
		}
	}
	f.result.Text = f.text.String()
	f.result.Verdict = standin.Check(d.Prompt, f.result.Text)
	return f.result
}

// follower is one draft on its way.
type follower struct {
	client   *Client
	draft    Draft
	result   Drafted
	text     strings.Builder
	position string // last event id
	asked    time.Time
	pause    time.Duration
	furthest int  // length of the longest text seen
	lost     bool // the site can't go on with the draft
}

type draftBody struct {
	Model     walnutramp.ModelName `json:"model"`
	Prompt    string               `json:"prompt"`
	MaxTokens int                  `json:"max_tokens"`
	Stream    bool                 `json:"stream"`
}

// broke notes that the connection is gone before the draft is complete.
func (f *follower) broke() {
	if f.text.Len() > 0 {
		f.result.Moves = append(f.result.Moves, time.Now())
	}
	if f.text.Len() > 0 && (f.client.FromZero || f.lost) {
		f.result.Discarded += standin.Tokens(f.text.String())
		f.result.Restarts++
		f.position = ""
		f.text.Reset()
		f.lost = false
	}
}

// wait is how long to stay away before the next connection.
func (f *follower) wait() time.Duration { return max(f.pause, f.client.Reconnect) }

// once makes one connection; true means there is nothing more to try.
func (f *follower) once(ctx context.Context, address string) bool {
	f.pause = 0
	resp, err := f.connect(ctx, address)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refusal := readRefusal(resp)
		f.result.Refused = refusal
		f.pause = refusal.RetryAfter
		f.lost = f.position != "" && refusal.Code == walnutramp.CodeGenerationUnknown
		return refusal.RetryAfter == 0 && refusal.Code != walnutramp.CodeMoved && !f.lost && !f.client.FromZero
	}
	return f.read(target.NewEventReader(resp.Body))
}

func (f *follower) connect(ctx context.Context, address string) (*http.Response, error) {
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

// chunk is what a follower reads of an event.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// read takes events until the stream ends; true means the draft is complete.
func (f *follower) read(events *target.EventReader) bool {
	for {
		ev, err := events.Next()
		if err != nil || ev.Data == "[DONE]" {
			return f.result.Complete
		}
		var c chunk
		if json.Unmarshal([]byte(ev.Data), &c) != nil || c.Error != nil {
			f.noteError(c.Error)
			return false
		}
		f.take(ev.ID, c)
	}
}

func (f *follower) noteError(raw json.RawMessage) {
	r := &Refusal{}
	r.fill(raw)
	f.result.Refused = r
	f.pause = r.RetryAfter
}

func (f *follower) take(id string, c chunk) {
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
		f.arrived(time.Now())
	}
	if choice.FinishReason != nil {
		f.result.Complete = true
	}
}

// arrived notes text that the caller had not seen before.
func (f *follower) arrived(now time.Time) {
	if f.text.Len() <= f.furthest {
		return
	}
	if f.furthest == 0 {
		f.result.FirstToken = now.Sub(f.asked)
	}
	f.furthest = f.text.Len()
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

// GapAt returns the pause in which t lies, if t lies between two arrivals.
func (d *Drafted) GapAt(t time.Time) (time.Duration, bool) {
	for i := 1; i < len(d.Arrivals); i++ {
		if !d.Arrivals[i].Before(t) && !d.Arrivals[i-1].After(t) {
			return d.Arrivals[i].Sub(d.Arrivals[i-1]), true
		}
	}
	return 0, false
}

const maxRefusal = 16 << 10 // bytes

func readRefusal(resp *http.Response) *Refusal {
	r := &Refusal{Status: resp.StatusCode}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	var outer struct {
		Error json.RawMessage `json:"error"`
	}
	if json.Unmarshal(body, &outer) == nil {
		r.fill(outer.Error)
	}
	return r
}

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

// Call is a call of a plain service.
type Call struct {
	APIKey string
	Key    string
	Method string
	Path   string // service and path below it
	Body   string
	First  int
}

// Call makes a service call once; the error is a *Refusal where the site
// answered with one.
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
	return body, errors.Wrap(err, "answer cut off")
}
