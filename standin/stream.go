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

// stream is a generation on the stand-in engine. It runs independently of its
// readers, which may disconnect and reattach.
type stream struct {
	id        string
	engine    *Engine
	prompt    []walnutramp.TokenID
	maxTokens int
	priority  int
	chat      bool
	nonce     int  // distinguishes the tokens of this stream from those of others
	imported  bool // the KV cache of the prompt is imported, so no prefill is needed
	fatal     bool // executing it crashes the engine
	stop      []string

	ctx    context.Context
	cancel context.CancelFunc
	slot   chan struct{} // closed when a slot is assigned

	mu               sync.Mutex
	tokens           []walnutramp.Token
	finish           string
	changed          chan struct{}
	readers          int
	lastReaderChange time.Time // when a reader last attached or detached
}

// startStream queues a stream for a slot and starts it. An empty ID is replaced.
func (e *Engine) startStream(id string, prompt []walnutramp.TokenID, req engineRequest, chat bool) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("anonymous-%d", e.counts.Streams)
	}
	s := &stream{
		id: id, engine: e, prompt: prompt, maxTokens: req.MaxTokens, priority: req.Priority, chat: chat,
		nonce: e.rng.IntN(1 << nonceBits), stop: stopStrings(req.Stop),
		slot: make(chan struct{}), changed: make(chan struct{}),
		lastReaderChange: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancel(e.ctx)
	s.imported = req.KVTransfer != nil
	s.fatal = req.isFatal(e.cfg.FatalPrompt)
	e.counts.Streams++
	e.streams[id] = s
	e.queue = append(e.queue, s)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return b.priority - a.priority })
	e.assignSlots()
	e.tasks.Add(1)
	go s.run()
	return s
}

// Running returns the sorted IDs of the streams that are queued or decoding.
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

// stopStrings decodes the stop parameter: a string or a list of strings.
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

// assignSlots assigns free slots to queued streams. The caller must hold e.mu.
func (e *Engine) assignSlots() {
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(s.slot)
	}
	e.recordLoad(time.Now())
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
	defer s.releaseSlot()
	if !s.prefill() {
		return
	}
	if s.fatal {
		go e.Close()
		return
	}
	s.decode()
}

func (s *stream) releaseSlot() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.running--
	s.engine.assignSlots()
}

// retire removes a cancelled stream. A finished one stays readable for KeepStream.
func (s *stream) retire() {
	e := s.engine
	e.mu.Lock()
	e.queue = slices.DeleteFunc(e.queue, func(q *stream) bool { return q == s })
	e.mu.Unlock()
	if s.ctx.Err() == nil {
		e.tasks.Add(1)
		go s.removeLater()
		return
	}
	s.remove()
}

func (s *stream) removeLater() {
	defer s.engine.tasks.Done()
	select {
	case <-time.After(s.engine.cfg.KeepStream):
	case <-s.ctx.Done():
	}
	s.remove()
}

func (s *stream) remove() {
	s.cancel()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.engine.streams[s.id] == s {
		delete(s.engine.streams, s.id)
	}
}

// prefill simulates the time to prefill the uncached part of the prompt. It returns
// false if the stream was cancelled.
func (s *stream) prefill() bool {
	e := s.engine
	select {
	case e.prefill <- struct{}{}:
	case <-s.ctx.Done():
		return false
	}
	defer func() { <-e.prefill }()
	e.mu.Lock()
	cached := e.cache.lookupAndInsert(s.prompt)
	if s.imported {
		cached = len(s.prompt)
		e.counts.ImportedCache++
	}
	work := len(s.prompt) - cached
	e.counts.Prefilled += work
	e.counts.CacheHits += cached
	e.mu.Unlock()
	return s.sleep(time.Duration(float64(work) / e.cfg.PrefillRate * float64(time.Second)))
}

// decode generates tokens until the maximum or a stop string is reached, or the stream
// is cancelled or abandoned by its readers.
func (s *stream) decode() {
	c := newChain(s.prompt)
	base := c.outputs
	heldText := ""
	text := ""
	for n := 0; n < s.maxTokens; n++ {
		if !s.sleep(s.engine.interval()) || s.abandoned() {
			s.cancel()
			return
		}
		id := c.nextToken(s.nonce)
		c = c.extend(id)
		heldText += outputText(id)
		text += outputText(id)
		last := n == s.maxTokens-1
		stopped := s.endsWithStop(text)
		t := walnutramp.Token{ID: id}
		every := s.engine.cfg.HoldEvery
		if every == 0 || (base+n+1)%every != 0 || last || stopped {
			t.Text = heldText
			heldText = ""
		}
		s.appendToken(t, finishReason(last, stopped))
		if stopped {
			return
		}
	}
}

func (s *stream) endsWithStop(text string) bool {
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

// interval counts a decoded token and returns the time between tokens at the current
// load.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Decoded++
	load := float64(e.running) / float64(e.cfg.Slots)
	slow := e.faults.slowdown()
	return time.Duration(float64(e.cfg.TokenInterval) * (1 + e.cfg.BatchSlowdown*load) * slow)
}

// sleep waits for d, and longer while the engine is paused or stalled. It returns
// false if the stream was cancelled.
func (s *stream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		return false
	}
	return s.engine.faults.waitCleared(s.ctx)
}

// abandoned reports whether the stream has had no reader for KeepStream.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.lastReaderChange) > s.engine.cfg.KeepStream
}

func (s *stream) appendToken(t walnutramp.Token, finish string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, t)
	s.finish = finish
	close(s.changed)
	s.changed = make(chan struct{})
}

// sequence returns the IDs of the prompt tokens and all generated tokens.
func (s *stream) sequence() []walnutramp.TokenID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Clone(s.prompt)
	for _, t := range s.tokens {
		ids = append(ids, t.ID)
	}
	return ids
}

// read returns the tokens from an offset, the finish reason, and a channel that is
// closed when there is more.
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
	s.lastReaderChange = time.Now()
}

// serveStream sends the tokens of a stream from an offset as server-sent events.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	s.addReader(1)
	defer s.addReader(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	if e.cfg.Software != "" {
		w.Header().Set("X-Software-Version", e.cfg.Software)
	}
	out := &eventWriter{w: w, flush: http.NewResponseController(w), stream: s}
	out.writeStart(from)
	for {
		tokens, finish, changed := s.read(from)
		for i, t := range tokens {
			reason := ""
			if i == len(tokens)-1 {
				reason = finish
			}
			if !e.faults.waitCleared(r.Context()) || !e.sendToken(out, from, t, reason) {
				panic(http.ErrAbortHandler)
			}
			from++
		}
		if finish != "" {
			out.writeDone()
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

// sendToken sends token n, subject to injected faults. It returns false if the
// connection must break.
func (e *Engine) sendToken(out *eventWriter, n int, t walnutramp.Token, finish string) bool {
	switch e.faults.atToken(n) {
	case FaultReset:
		return false
	case FaultDouble:
		out.writeToken(n, t, finish)
	case FaultDie:
		e.abort() // before the node can come back for the stream
		go e.Close()
		return false
	}
	out.writeToken(n, t, finish)
	return true
}

// eventWriter writes the events of a stream in the format of the OpenAI API.
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

func (o *eventWriter) newEvent() wireEvent {
	return wireEvent{ID: o.stream.id, Object: "text_completion", Model: o.stream.engine.cfg.Model}
}

func (o *eventWriter) writeStart(from int) {
	ev := o.newEvent()
	ev.Choices = []wireChoice{{}}
	if !o.stream.engine.cfg.WithoutTokenID {
		ev.PromptTokenIDs = o.stream.prompt
	}
	o.writeEvent(from, ev)
}

func (o *eventWriter) writeToken(n int, t walnutramp.Token, finish string) {
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
	ev := o.newEvent()
	ev.Choices = []wireChoice{choice}
	o.writeEvent(n+1, ev)
}

func (o *eventWriter) writeEvent(id int, ev wireEvent) {
	data, _ := json.Marshal(ev)
	fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", id, data)
	o.flush.Flush()
}

func (o *eventWriter) writeDone() {
	fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.flush.Flush()
}
