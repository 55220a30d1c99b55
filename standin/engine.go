package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/target"
)

// EngineConfig configures the stand-in engine.
type EngineConfig struct {
	Model          walnutramp.ModelName
	Slots          int           // maximum batch size
	TokenInterval  time.Duration // time between tokens of a single stream
	BatchSlowdown  float64       // relative growth of TokenInterval when all slots are in use
	PrefillRate    float64       // prompt tokens per second
	CacheTokens    int           // prefix cache size in tokens
	KeepStream     time.Duration // how long a stream is kept without a reader or after its end
	HoldEvery      int           // send the text of every n-th token with the next token; 0 for never
	ReportLag      time.Duration // age of load reports
	Seed           uint64
	WithoutTokenID bool   // omit token IDs from events
	Software       string // version that load reports and answers name; empty for none
	FatalPrompt    string // prompt that crashes the engine after prefill; empty for none
}

// EngineOption changes an EngineConfig.
type EngineOption func(*EngineConfig)

// WithEngineConfig sets the whole configuration.
func WithEngineConfig(c EngineConfig) EngineOption {
	return func(dst *EngineConfig) { *dst = c }
}

// DefaultEngineConfig returns the configuration of a small, fast engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Model:         "draft-large",
		Slots:         16,
		TokenInterval: 20 * time.Millisecond,
		BatchSlowdown: 1,
		PrefillRate:   8000,
		CacheTokens:   200_000,
		KeepStream:    5 * time.Second,
		ReportLag:     200 * time.Millisecond,
	}
}

// Engine is a fake model engine with continuous batching, a prefix cache,
// priorities, resumable streams and KV cache export. Check detects missing, repeated
// and mixed tokens in its output.
type Engine struct {
	overload

	cfg EngineConfig

	mu       sync.Mutex
	rng      *rand.Rand
	streams  map[string]*stream
	kv       map[string][]walnutramp.TokenID // exported KV caches by handle
	queue    []*stream                       // streams waiting for a slot
	running  int
	draining bool
	cache    *prefixCache
	prefill  chan struct{} // semaphore: one prefill at a time
	faults   faults
	Book     *OrderBook // loaded artifacts
	reports  []timedReport
	counts   EngineCounts

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	server *http.Server
}

// EngineCounts are the counters of an engine.
type EngineCounts struct {
	Streams       int `json:"streams"`
	Decoded       int `json:"decoded_tokens"`
	Prefilled     int `json:"prefilled_tokens"` // prompt tokens computed rather than found in the cache
	CacheHits     int `json:"cache_hit_tokens"`
	Cancelled     int `json:"cancelled_streams"`
	ImportedCache int `json:"imported_caches"`
}

// timedReport is a load report with the time at which it was recorded.
type timedReport struct {
	at     time.Time
	report target.LoadReport
}

// NewEngine returns an engine. Call Serve to start it.
func NewEngine(opts ...EngineOption) *Engine {
	cfg := DefaultEngineConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	e := &Engine{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		streams: map[string]*stream{},
		kv:      map[string][]walnutramp.TokenID{},
		cache:   newPrefixCache(cfg.CacheTokens),
		prefill: make(chan struct{}, 1),
		Book:    NewOrderBook(true, 2*time.Second, string(cfg.Model)),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: 5 * time.Second}
	return e
}

// Serve accepts requests on l until Close.
func (e *Engine) Serve(l net.Listener) error { return e.server.Serve(l) }

// Close stops the engine without draining it: connections and streams are aborted.
func (e *Engine) Close() {
	e.abort()
	e.faults.set(Fault{})
	e.tasks.Wait()
}

// abort aborts all connections and streams, and refuses new ones. Handlers may call it.
func (e *Engine) abort() {
	e.cancel()
	e.server.Close()
}

// Counts returns the counters of the engine.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Drain sets whether load reports say that the engine is draining.
func (e *Engine) Drain(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveAttach)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/streams/{id}/kv", e.serveExport)
	e.Book.routes(mux)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /counts", e.serveCounts)
	mux.HandleFunc("POST /fault", e.serveFault)
	return e.faults.pauseHandler(e.overloadHandler(mux))
}

type engineRequest struct {
	Model      walnutramp.ModelName `json:"model"`
	Prompt     json.RawMessage      `json:"prompt"`
	Messages   []ChatMessage        `json:"messages"`
	MaxTokens  int                  `json:"max_tokens"`
	Priority   int                  `json:"priority"`
	Stop       json.RawMessage      `json:"stop"`
	KVTransfer *target.KVHandle     `json:"kv_transfer_params"`
}

// isFatal reports whether the request has the prompt that crashes the engine.
func (r *engineRequest) isFatal(prompt string) bool {
	var text string
	return prompt != "" && json.Unmarshal(r.Prompt, &text) == nil && text == prompt
}

func (r *engineRequest) promptTokens() ([]walnutramp.TokenID, error) {
	if r.Messages != nil {
		return Tokenize(RenderChat(r.Messages)), nil
	}
	var text string
	if json.Unmarshal(r.Prompt, &text) == nil {
		return Tokenize(text), nil
	}
	var ids []walnutramp.TokenID
	err := json.Unmarshal(r.Prompt, &ids)
	return ids, err
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) { e.serveNew(w, r, false) }

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serveNew(w, r, true) }

func (e *Engine) serveNew(w http.ResponseWriter, r *http.Request, chat bool) {
	var req engineRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.Book.Has(string(req.Model)) {
		http.Error(w, "the model is not loaded", http.StatusNotFound)
		return
	}
	prompt, err := req.promptTokens()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.startStream(r.Header.Get("X-Request-Id"), prompt, req, chat)
	e.serveStream(w, r, s, 0)
}

func (e *Engine) serveAttach(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	var from int
	if err := json.Unmarshal([]byte(r.Header.Get("Last-Event-ID")), &from); err != nil || from < 0 {
		http.Error(w, "bad Last-Event-ID", http.StatusBadRequest)
		return
	}
	e.serveStream(w, r, s, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.counts.Cancelled++
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// serveExport stores the tokens of a stream as an exported KV cache and returns its
// handle.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	tokens := s.sequence()
	e.kv[s.id] = tokens
	host := ""
	if a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		host = a.String()
	}
	json.NewEncoder(w).Encode(target.KVHandle{Address: host, Handle: s.id, Tokens: len(tokens)})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.laggedReport(time.Now())
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(report)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(e.Counts())
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// recordLoad records a report of the current load. The caller must hold e.mu.
func (e *Engine) recordLoad(now time.Time) {
	waitingTokens := 0
	for _, s := range e.queue {
		waitingTokens += len(s.prompt)
	}
	r := target.LoadReport{
		Running: e.running, Waiting: len(e.queue), WaitingTokens: waitingTokens,
		Slots: e.cfg.Slots, PrefillRate: e.cfg.PrefillRate, Draining: e.draining, Software: e.cfg.Software,
	}
	e.reports = append(e.reports, timedReport{at: now, report: r})
	e.dropOldReports(now)
}

// dropOldReports drops the reports older than the newest one that is at least
// ReportLag old.
func (e *Engine) dropOldReports(now time.Time) {
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// laggedReport returns the newest report that is at least ReportLag old, else the
// oldest one. Draining is reported without a lag. The caller must hold e.mu.
func (e *Engine) laggedReport(now time.Time) target.LoadReport {
	if len(e.reports) == 0 {
		e.recordLoad(now)
	}
	e.dropOldReports(now)
	r := e.reports[0].report
	r.Draining = e.draining
	return r
}
