package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
)

// stream is one generation inside the stand-in engine. It runs on its own;
// readers come and go.
type stream struct {
	id       string
	engine   *Engine
	prompt   []walnutramp.TokenID
	max      int
	priority int
	chat     bool
	nonce    int
	imported bool
	fatal    bool // its run ends the engine
	stop     []string

	ctx    context.Context
	cancel context.CancelFunc
	slot   chan struct{} // closed when a slot is given

	mu      sync.Mutex
	tokens  []walnutramp.Token
	finish  string
	changed chan struct{}
	readers int
	left    time.Time // when the last reader went
}

func (e *Engine) open(id string, prompt []walnutramp.TokenID, req engineRequest, chat bool) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("anonymous-%d", e.counts.Streams)
	}
	s := &stream{
		id: id, engine: e, prompt: prompt, max: req.MaxTokens, priority: req.Priority, chat: chat,
		nonce: e.rng.IntN(1 << nonceBits), stop: stopStrings(req.Stop),
		slot: make(chan struct{}), changed: make(chan struct{}),
		left: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	s.imported = req.KVTransfer != nil
	s.fatal = req.isFatal(e.cfg.FatalPrompt)
	e.counts.Streams++
	e.streams[id] = s
	e.queue = append(e.queue, s)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return b.priority - a.priority })
	e.fillSlots()
	e.tasks.Add(1)
	go s.run()
	return s
}

// Running returns the names of the streams that hold a slot or wait for one.
func (e *Engine) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, s := range e.streams {
		if !s.finished() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *stream) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finish != ""
}

func stopStrings(raw json.RawMessage) []string {
	var one string
	if json.Unmarshal(raw, &one) == nil && one != "" {
		return []string{one}
	}
	var many []string
	if json.Unmarshal(raw, &many) != nil {
		return nil
	}
	return many
}

// fillSlots gives free slots to the queue; the caller holds mu.
func (e *Engine) fillSlots() {
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(s.slot)
	}
	e.noteLoad(time.Now())
}

func (s *stream) run() {
	e := s.engine
	defer e.tasks.Done()
	defer s.retire()
	select {
	case <-s.slot:
	case <-s.ctx.Done():
		return
	}
	defer s.giveBack()
	if !s.prefill() {
		return
	}
	if s.fatal {
		go e.Close()
		return
	}
	s.decode()
}

func (s *stream) giveBack() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.running--
	s.engine.fillSlots()
}

// retire forgets the stream; a finished one can be read for a while yet.
func (s *stream) retire() {
	e := s.engine
	e.mu.Lock()
	e.queue = slices.DeleteFunc(e.queue, func(q *stream) bool { return q == s })
	e.mu.Unlock()
	if s.ctx.Err() == nil {
		e.tasks.Add(1)
		go s.forgetLater()
		return
	}
	s.forget()
}

func (s *stream) forgetLater() {
	defer s.engine.tasks.Done()
	select {
	case <-time.After(s.engine.cfg.KeepStream):
	case <-s.ctx.Done():
	}
	s.forget()
}

func (s *stream) forget() {
	s.cancel()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.engine.streams[s.id] == s {
		delete(s.engine.streams, s.id)
	}
}

// prefill waits as long as the uncached part of the prompt takes.
func (s *stream) prefill() bool {
	e := s.engine
	select {
	case e.prefill <- struct{}{}:
	case <-s.ctx.Done():
		return false
	}
	defer func() { <-e.prefill }()
	e.mu.Lock()
	cached := e.cache.use(s.prompt)
	if s.imported {
		cached = len(s.prompt)
		e.counts.ImportedCache++
	}
	work := len(s.prompt) - cached
	e.counts.Prefilled += work
	e.counts.CacheHits += cached
	e.mu.Unlock()
	return s.wait(time.Duration(float64(work) / e.cfg.PrefillRate * float64(time.Second)))
}

func (s *stream) decode() {
	c := newChain(s.prompt)
	base := c.outputs
	held := ""
	text := ""
	for n := 0; n < s.max; n++ {
		if !s.wait(s.engine.interval()) || s.abandoned() {
			s.cancel()
			return
		}
		id := c.next(s.nonce)
		c = c.then(id)
		held += outputText(id)
		text += outputText(id)
		last := n == s.max-1
		stopped := s.stops(text)
		t := walnutramp.Token{ID: id}
		every := s.engine.cfg.HoldEvery
		if every == 0 || (base+n+1)%every != 0 || last || stopped {
			t.Text = held
			held = ""
		}
		s.push(t, finishReason(last, stopped))
		if stopped {
			return
		}
	}
}

func (s *stream) stops(text string) bool {
	for _, stop := range s.stop {
		if stop != "" && strings.HasSuffix(text, stop) {
			return true
		}
	}
	return false
}

func finishReason(last, stopped bool) string {
	if stopped {
		return "stop"
	}
	if last {
		return "length"
	}
	return ""
}

// interval is the time between tokens at the load of now.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Decoded++
	load := float64(e.running) / float64(e.cfg.Slots)
	slow := e.faults.slowdown()
	return time.Duration(float64(e.cfg.TokenInterval) * (1 + e.cfg.BatchSlowdown*load) * slow)
}

// wait passes d, and longer while the engine is paused; false means the
// stream is over.
func (s *stream) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		return false
	}
	return s.engine.faults.passable(s.ctx)
}

func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.left) > s.engine.cfg.KeepStream
}

func (s *stream) push(t walnutramp.Token, finish string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, t)
	s.finish = finish
	close(s.changed)
	s.changed = make(chan struct{})
}

// sequence is the prompt and every token made so far.
func (s *stream) sequence() []walnutramp.TokenID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Clone(s.prompt)
	for _, t := range s.tokens {
		ids = append(ids, t.ID)
	}
	return ids
}

func (s *stream) read(from int) (tokens []walnutramp.Token, finish string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.tokens) {
		tokens = s.tokens[from:]
	}
	return tokens, s.finish, s.changed
}

func (s *stream) addReader(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += n
	s.left = time.Now()
}

// follow sends a stream's tokens from an offset as server-sent events.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	s.addReader(1)
	defer s.addReader(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, flush: http.NewResponseController(w), stream: s}
	out.open(from)
	for {
		tokens, finish, changed := s.read(from)
		for i, t := range tokens {
			reason := ""
			if i == len(tokens)-1 {
				reason = finish
			}
			if !e.faults.passable(r.Context()) || !e.emit(out, from, t, reason) {
				panic(http.ErrAbortHandler)
			}
			from++
		}
		if finish != "" {
			out.done()
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// emit sends token n, or fails as the faults say.
func (e *Engine) emit(out *eventWriter, n int, t walnutramp.Token, finish string) bool {
	switch e.faults.onToken(n) {
	case FaultReset:
		return false
	case FaultDouble:
		out.token(n, t, finish)
	case FaultDie:
		go e.Close()
		return false
	}
	out.token(n, t, finish)
	return true
}

// eventWriter writes a stream's events in the OpenAI dialect.
type eventWriter struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	stream *stream
}

type wireEvent struct {
	ID             string               `json:"id"`
	Object         string               `json:"object"`
	Model          walnutramp.ModelName `json:"model"`
	PromptTokenIDs []walnutramp.TokenID `json:"prompt_token_ids,omitempty"`
	Choices        []wireChoice         `json:"choices"`
}

type wireChoice struct {
	Index        int                  `json:"index"`
	Text         string               `json:"text,omitempty"`
	Delta        *wireDelta           `json:"delta,omitempty"`
	TokenIDs     []walnutramp.TokenID `json:"token_ids,omitempty"`
	FinishReason *string              `json:"finish_reason"`
}

type wireDelta struct {
	Content string `json:"content"`
}

func (o *eventWriter) event() wireEvent {
	return wireEvent{ID: o.stream.id, Object: "text_completion", Model: o.stream.engine.cfg.Model}
}

func (o *eventWriter) open(from int) {
	ev := o.event()
	ev.Choices = []wireChoice{{}}
	if !o.stream.engine.cfg.WithoutTokenID {
		ev.PromptTokenIDs = o.stream.prompt
	}
	o.send(from, ev)
}

func (o *eventWriter) token(n int, t walnutramp.Token, finish string) {
	choice := wireChoice{}
	if !o.stream.engine.cfg.WithoutTokenID {
		choice.TokenIDs = []walnutramp.TokenID{t.ID}
	}
	if o.stream.chat {
		choice.Delta = &wireDelta{Content: t.Text}
	} else {
		choice.Text = t.Text
	}
	if finish != "" {
		choice.FinishReason = &finish
	}
	ev := o.event()
	ev.Choices = []wireChoice{choice}
	o.send(n+1, ev)
}

func (o *eventWriter) send(id int, ev wireEvent) {
	data, _ := json.Marshal(ev)
	fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", id, data)
	o.flush.Flush()
}

func (o *eventWriter) done() {
	fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.flush.Flush()
}
