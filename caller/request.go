package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/generation"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
	"github.com/walnutramp/walnutramp/target"
)

const (
	defaultMaxTokens  = 1024
	promptPrefixBytes = 512 // length of the prompt prefix used for cache affinity
	maxKeyBytes       = 256 // maximum length of an Idempotency-Key
	headerKey         = "Idempotency-Key"
	headerLast        = "Last-Event-ID"
)

// generationRequest is a parsed request body.
type generationRequest struct {
	spec         generation.Spec
	stream       bool
	includeUsage bool
}

// fields are the options that this system interprets; all others are forwarded to the
// engine unchanged.
type fields struct {
	Model         walnutramp.ModelName `json:"model"`
	Prompt        json.RawMessage      `json:"prompt"`
	Messages      json.RawMessage      `json:"messages"`
	MaxTokens     *int                 `json:"max_tokens"`
	MaxCompletion *int                 `json:"max_completion_tokens"`
	Stream        bool                 `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// reservedFields are not forwarded from the caller's request: this system sets them, or
// serves only their neutral values.
var reservedFields = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options",
	"priority", "return_token_ids", "kv_transfer_params", "n", "best_of", "echo", "logprobs",
}

// restrictedOption is an option with neutral values, which have the same effect as leaving
// it out. Any other value is restricted, as the lists below say.
type restrictedOption struct {
	name          string
	neutralValues []string
}

// unsupportedOptions are rejected with any but a neutral value.
var unsupportedOptions = []restrictedOption{
	{"n", []string{"1"}},
	{"best_of", []string{"1"}},
	{"echo", []string{"false"}},
	{"logprobs", []string{"false"}},
	{"top_logprobs", []string{"0"}},
	{"suffix", []string{`""`}},
	{"tools", []string{"[]"}},
	{"functions", []string{"[]"}},
	{"modalities", []string{`["text"]`}},
	{"audio", nil},
}

// engineBoundOptions depend on engine state that can't be transferred: a generation that
// sets one can't be resumed at another engine.
var engineBoundOptions = []restrictedOption{
	{"presence_penalty", []string{"0", "0.0"}},
	{"frequency_penalty", []string{"0", "0.0"}},
	{"repetition_penalty", []string{"1", "1.0"}},
	{"seed", nil},
	{"min_tokens", []string{"0"}},
	{"response_format", []string{`{"type":"text"}`}},
	{"guided_json", nil},
	{"guided_regex", nil},
	{"guided_choice", nil},
	{"guided_grammar", nil},
	{"structured_outputs", nil},
}

// isSet reports whether a request sets the option to a value that is not neutral.
func (o restrictedOption) isSet(all map[string]json.RawMessage) bool {
	v, ok := all[o.name]
	if !ok || string(v) == "null" {
		return false
	}
	var compact bytes.Buffer
	if json.Compact(&compact, v) != nil {
		return true
	}
	return !slices.Contains(o.neutralValues, compact.String())
}

// readBody reads a request's body within the limits on size and time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *walnutramp.Error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBody))
	if err == nil {
		// After a failure the deadline is kept: net/http drains the body before it
		// answers, and would wait for a slow caller again.
		control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var refusal *reqlimit.Refusal
	switch {
	case errors.As(err, &refusal):
		return nil, walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "%s", refusal.Why).WithRetryAfter(refusal.RetryAfter)
	case errors.As(err, &tooLarge):
		return nil, walnutramp.NewError(walnutramp.CodeBodyTooLarge, walnutramp.NotRun, "the body is larger than %d bytes", h.cfg.MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return nil, walnutramp.NewError(walnutramp.CodeBodyTimeout, walnutramp.NotRun, "the body did not arrive within %v", h.cfg.BodyTimeout)
	case err != nil:
		return nil, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "the request body could not be read to its end")
	}
	return body, nil
}

// parse parses and validates a request body.
func (h *Handler) parse(body []byte, key string, account bundle.Account, chat bool) (*generationRequest, *walnutramp.Error) {
	var f fields
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil || all == nil {
		return nil, walnutramp.NewError(walnutramp.CodeBadJSON, walnutramp.NotRun, "the body is not a JSON object")
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, walnutramp.NewError(walnutramp.CodeBadJSON, walnutramp.NotRun, "%v", err)
	}
	model, ok := h.cfg.Bundle().Model(f.Model)
	if !ok {
		return nil, walnutramp.NewError(walnutramp.CodeUnknownModel, walnutramp.NotRun, "no model %q is in the bundle in force", f.Model)
	}
	for _, o := range unsupportedOptions {
		if o.isSet(all) {
			return nil, walnutramp.NewError(walnutramp.CodeUnsupportedOption, walnutramp.NotRun, "%s is not served", o.name)
		}
	}
	prompt, err := f.prompt(chat)
	if err != nil {
		return nil, err
	}
	if len(key) > maxKeyBytes {
		return nil, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "%s is longer than %d bytes", headerKey, maxKeyBytes)
	}
	req := &generationRequest{stream: f.Stream, includeUsage: f.StreamOptions.IncludeUsage}
	req.spec = generation.Spec{
		Account: account.Name, Key: key, BodyDigest: bundle.Digest(body), Content: fingerprintOf(body, account, string(f.Model)),
		Chat: chat, Model: f.Model, Prompt: prompt, PromptKey: promptKey(prompt),
		Priority: account.Priority, Weight: account.Weight, Options: forwardedOptions(all),
	}
	for _, o := range engineBoundOptions {
		if o.isSet(all) {
			req.spec.Bound = append(req.spec.Bound, o.name)
		}
	}
	return req, f.limitTokens(&req.spec, model)
}

func (f *fields) prompt(chat bool) (target.Prompt, *walnutramp.Error) {
	if chat {
		return f.chatPrompt()
	}
	var text string
	if json.Unmarshal(f.Prompt, &text) == nil {
		return target.Prompt{Text: text}, nil
	}
	var texts []string
	if json.Unmarshal(f.Prompt, &texts) == nil && len(texts) == 1 {
		return target.Prompt{Text: texts[0]}, nil
	}
	var tokens []walnutramp.TokenID
	if json.Unmarshal(f.Prompt, &tokens) == nil && len(tokens) > 0 {
		return target.Prompt{Tokens: tokens}, nil
	}
	return target.Prompt{}, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun,
		"prompt must be one text or one list of token numbers")
}

func (f *fields) chatPrompt() (target.Prompt, *walnutramp.Error) {
	var messages []struct {
		Role string `json:"role"`
	}
	if json.Unmarshal(f.Messages, &messages) != nil || len(messages) == 0 {
		return target.Prompt{}, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "messages must be a list of messages")
	}
	for i, m := range messages {
		if m.Role == "" {
			return target.Prompt{}, walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "messages[%d].role is missing", i)
		}
	}
	return target.Prompt{Messages: f.Messages}, nil
}

// limitTokens sets spec.MaxTokens from the request, or to defaultMaxTokens, but to no more
// than the prompt leaves of the model's context.
func (f *fields) limitTokens(spec *generation.Spec, model bundle.Model) *walnutramp.Error {
	available := model.Context - spec.PromptSize()
	if available <= 0 {
		return walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun,
			"the prompt has about %d tokens; model %s has a context of %d tokens", spec.PromptSize(), model.Name, model.Context)
	}
	spec.MaxTokens = min(defaultMaxTokens, available)
	want := f.MaxTokens
	if f.MaxCompletion != nil {
		want = f.MaxCompletion
	}
	if want == nil {
		return nil
	}
	if *want < 1 {
		return walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "max_tokens must be 1 or more")
	}
	spec.MaxTokens = min(*want, available)
	return nil
}

// forwardedOptions removes the reservedFields from all and returns the rest, which are
// forwarded to the engine unchanged; nil if none are left.
func forwardedOptions(all map[string]json.RawMessage) json.RawMessage {
	for _, name := range reservedFields {
		delete(all, name)
	}
	if len(all) == 0 {
		return nil
	}
	options, err := json.Marshal(all)
	if err != nil {
		return nil
	}
	return options
}

// promptKey returns a hash of the start of a prompt, by which prompts that begin alike are
// sent to one engine; 0 for a prompt of tokens.
func promptKey(p target.Prompt) uint64 {
	text := p.Text
	if p.Messages != nil {
		text = string(p.Messages)
	}
	if text == "" {
		return 0
	}
	return xxhash.Sum64String(text[:min(len(text), promptPrefixBytes)])
}

// lastPosition returns the position in Last-Event-ID, and whether the request has that
// header, which is also true with an error.
func lastPosition(r *http.Request) (walnutramp.Position, bool, *walnutramp.Error) {
	value := strings.TrimSpace(r.Header.Get(headerLast))
	if value == "" {
		return walnutramp.Position{}, false, nil
	}
	p, err := walnutramp.ParsePosition(value)
	if err != nil {
		return p, true, walnutramp.NewError(walnutramp.CodeBadPosition, walnutramp.NotRun, "%v", err)
	}
	return p, true, nil
}
