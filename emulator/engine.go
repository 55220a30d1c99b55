// Package emulator emulates model engines and plain services, to compare
// balancing policies. Its time is virtual if it runs in a synctest bubble.
// Engines do continuous batching with chunked prefill, share KV memory between
// requests, and refuse requests when memory or slots are used up.
package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config is the configuration of an engine.
type Config struct {
	StepTime       time.Duration // duration of a decode step without prefill
	StepPerRun     time.Duration // additional step duration per run in the batch
	PrefillPerMS   float64       // prefill rate, in tokens per millisecond
	PrefillChunk   int           // largest number of prompt tokens prefilled in a step
	Slots          int           // concurrent runs
	Memory         int           // KV memory, in tokens
	TokensPerEvent int           // output tokens per event; a last, incomplete event is not sent
	Names          Names
}

// Names are the names of the headers that the engine reads and writes.
type Names struct {
	Identity    string
	Usage       string // prompt tokens and maximum output tokens, separated by a comma
	NotExecuted string
	EventID     string
	Load        string // runs in decode, runs in prefill and slots, separated by commas
}

// DefaultConfig returns the default configuration of an engine.
func DefaultConfig(names Names) Config {
	return Config{
		StepTime: 5050 * time.Microsecond, StepPerRun: 16 * time.Microsecond, PrefillPerMS: 8, PrefillChunk: 200,
		Slots: 64, Memory: 88000, TokensPerEvent: 6, Names: names,
	}
}

// Engine is an emulated model engine. It implements http.Handler.
type Engine struct {
	cfg Config

	mu         sync.Mutex
	runs       []*run // oldest first
	memoryUsed int    // KV memory in use, in tokens
	wake       chan struct{}
	stopped    chan struct{}
	once       sync.Once
}

// run is a request in the batch.
type run struct {
	prefill    int           // prompt tokens still to prefill
	remaining  int           // remaining output tokens
	memory     int           // reserved KV memory, in tokens
	sinceEvent int           // tokens since the last event
	events     chan struct{} // receives an item for each event that is due
}

// NewEngine starts an engine that runs until Close.
func NewEngine(cfg Config) *Engine {
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	go e.loop()
	return e
}

// Close stops the engine and aborts its runs.
func (e *Engine) Close() { e.once.Do(func() { close(e.stopped) }) }

// Serve serves HTTP on a listener until Close.
func (e *Engine) Serve(l net.Listener) {
	server := &http.Server{Handler: e}
	go server.Serve(l)
	<-e.stopped
	server.Close()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set(e.cfg.Names.Identity, r.Header.Get(e.cfg.Names.Identity))
	prompt, out := parseUsage(r.Header.Get(e.cfg.Names.Usage))
	last, _ := strconv.Atoi(r.Header.Get(e.cfg.Names.EventID))
	admitted := e.admit(prompt+last*e.cfg.TokensPerEvent, out-last*e.cfg.TokensPerEvent)
	if admitted == nil {
		h.Set(e.cfg.Names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release(admitted)
	h.Set("Content-Type", "text/event-stream")
	h.Set(e.cfg.Names.Load, e.load())
	flush := http.NewResponseController(w)
	for n := last + 1; n*e.cfg.TokensPerEvent <= out; n++ {
		select {
		case <-admitted.events:
		case <-r.Context().Done():
			return
		case <-e.stopped:
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		flush.Flush()
	}
}

// load returns the value of the load header: runs in decode, runs in prefill,
// and slots.
func (e *Engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting := 0
	for _, r := range e.runs {
		if r.prefill > 0 {
			waiting++
		}
	}
	return fmt.Sprintf("%d,%d,%d", len(e.runs)-waiting, waiting, e.cfg.Slots)
}

// parseUsage parses the usage header; an invalid field is 0.
func parseUsage(value string) (prompt, out int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(first)
	out, _ = strconv.Atoi(second)
	return prompt, out
}

// admit adds a request to the batch, or returns nil if there is no capacity.
func (e *Engine) admit(prompt, output int) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	memory := prompt + output
	if len(e.runs) >= e.cfg.Slots || e.memoryUsed+memory > e.cfg.Memory {
		return nil
	}
	r := &run{prefill: prompt, remaining: output, memory: memory, events: make(chan struct{}, output/e.cfg.TokensPerEvent+1)}
	e.runs = append(e.runs, r)
	e.memoryUsed += memory
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// release removes a run from the batch and frees its memory.
func (e *Engine) release(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.runs {
		if other == r {
			e.runs = append(e.runs[:i:i], e.runs[i+1:]...)
			e.memoryUsed -= r.memory
			return
		}
	}
}

// loop runs steps while there is work.
func (e *Engine) loop() {
	for {
		duration := e.step()
		if duration == 0 {
			select {
			case <-e.wake:
			case <-e.stopped:
				return
			}
			continue
		}
		t := time.NewTimer(duration)
		select {
		case <-t.C:
		case <-e.stopped:
			t.Stop()
			return
		}
	}
}

// step processes one prefill chunk of the oldest prompt without complete
// prefill, and decodes one token for every run with complete prefill. It
// returns the step's duration, or 0 if there is no work.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	worked := false
	prefilled := 0
	decoding := 0
	for _, r := range e.runs {
		switch {
		case r.prefill > 0 && prefilled == 0:
			prefilled = min(r.prefill, e.cfg.PrefillChunk)
			r.prefill -= prefilled
			worked = true
		case r.prefill == 0 && r.remaining > 0:
			r.decodeToken(e.cfg.TokensPerEvent)
			decoding++
			worked = true
		}
	}
	if !worked {
		return 0
	}
	return e.cfg.StepTime + time.Duration(decoding)*e.cfg.StepPerRun + time.Duration(float64(prefilled)/e.cfg.PrefillPerMS*float64(time.Millisecond))
}

func (r *run) decodeToken(tokensPerEvent int) {
	r.remaining--
	r.sinceEvent++
	if r.sinceEvent == tokensPerEvent {
		r.sinceEvent = 0
		r.events <- struct{}{}
	}
}
