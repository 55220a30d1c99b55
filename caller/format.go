package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/generation"
)

// completion is a completion, or a chunk of one, in OpenAI format.
type completion struct {
	ID      string               `json:"id"`
	Object  string               `json:"object"`
	Created int64                `json:"created"`
	Model   walnutramp.ModelName `json:"model"`
	Choices []choice             `json:"choices"`
	Usage   *usage               `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(b generation.Batch) *usage {
	return &usage{
		PromptTokens:     b.Final.PromptTokens,
		CompletionTokens: int(b.To),
		TotalTokens:      b.Final.PromptTokens + int(b.To),
	}
}

func newCompletion(g *generation.Generation, kind, chatKind string) completion {
	o := completion{ID: "cmpl-" + string(g.ID()), Object: kind, Created: time.Now().Unix(), Model: g.Model()}
	if g.Chat() {
		o.ID = "chatcmpl-" + string(g.ID())
		o.Object = chatKind
	}
	return o
}

func writeCompletion(w http.ResponseWriter, g *generation.Generation, text string, b generation.Batch) {
	o := newCompletion(g, "text_completion", "chat.completion")
	c := choice{FinishReason: &b.Final.Reason}
	if g.Chat() {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	o.Choices = []choice{c}
	o.Usage = newUsage(b)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(o)
}

// eventWriter writes server-sent events. The header is written with the first event, so
// that a request that fails before can still return an error status.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	g       *generation.Generation
	chat    bool
	base    completion
	started bool
}

func newEventWriter(w http.ResponseWriter, g *generation.Generation) *eventWriter {
	return &eventWriter{
		w: w, control: http.NewResponseController(w), g: g, chat: g.Chat(),
		base: newCompletion(g, "text_completion", "chat.completion.chunk"),
	}
}

func (s *eventWriter) begin() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
}

// batch sends released output.
func (s *eventWriter) batch(b generation.Batch) error {
	first := !s.started
	s.begin()
	c := choice{}
	if s.chat {
		c.Delta = &message{Content: b.Text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &b.Text
	}
	if b.Final != nil {
		c.FinishReason = &b.Final.Reason
	}
	o := s.base
	o.Choices = []choice{c}
	return s.send(walnutramp.Position{Generation: s.g.ID(), Offset: b.To}.String(), o)
}

// end sends the usage, if requested, and the end marker.
func (s *eventWriter) end(b generation.Batch, includeUsage bool) {
	if includeUsage {
		o := s.base
		o.Choices = []choice{}
		o.Usage = newUsage(b)
		s.send("", o)
	}
	fmt.Fprint(s.w, "data: [DONE]\n\n")
	s.control.Flush()
}

func (s *eventWriter) fail(e *walnutramp.Error) { s.send("", newErrorBody(e)) }

func (s *eventWriter) send(id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if id != "" {
		fmt.Fprintf(s.w, "id: %s\n", id)
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return s.control.Flush()
}

// errorBody is an error in OpenAI format with additional fields.
type errorBody struct {
	Error errorInfo `json:"error"`
}

type errorInfo struct {
	Message      string             `json:"message"`
	Type         string             `json:"type"`
	Param        *string            `json:"param"`
	Code         string             `json:"code"`
	Outcome      walnutramp.Outcome `json:"outcome"`
	RetryAfterMS int64              `json:"retry_after_ms,omitempty"`
}

func newErrorBody(e *walnutramp.Error) errorBody {
	return errorBody{Error: errorInfo{
		Message:      e.Message,
		Type:         e.Code.Info().Name,
		Code:         strconv.Itoa(int(e.Code)),
		Outcome:      e.Outcome,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// writeError answers a request with an error.
func (h *Handler) writeError(w http.ResponseWriter, e *walnutramp.Error) {
	h.cfg.Observe.Answered(e.Code)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	// OpenAI clients retry by default. Allow that only for requests that did not run
	// and that may succeed later.
	w.Header().Set("X-Should-Retry", strconv.FormatBool(e.Outcome == walnutramp.NotRun && e.RetryAfter > 0))
	w.WriteHeader(e.Code.Info().Status)
	json.NewEncoder(w).Encode(newErrorBody(e))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      walnutramp.ModelName `json:"id"`
	Object  string               `json:"object"`
	Created int64                `json:"created"`
	OwnedBy string               `json:"owned_by"`
}

func (h *Handler) serveModels(w http.ResponseWriter, _ *http.Request, _ bundle.Account) {
	b := h.cfg.Bundle()
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range b.Models {
		list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: b.Site})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}
