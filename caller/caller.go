// Package caller answers callers over HTTP: OpenAI-style completions and chat
// completions, streamed and whole, and plain service calls.
package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/generation"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/route"
	"github.com/walnutramp/walnutramp/target"
)

// Generations opens and continues generations.
type Generations interface {
	// Open starts a generation.
	Open(ctx context.Context, spec generation.Spec) (*generation.Generation, error)
	// Continue returns the generation at a position.
	Continue(ctx context.Context, p walnutramp.Position) (*generation.Generation, error)
	// ByKey returns the generation a key opened, or nil.
	ByKey(ctx context.Context, account walnutramp.ClientAccount, key string) (*generation.Generation, error)
}

// Router gives places at targets.
type Router interface {
	// Pick waits for a place.
	Pick(ctx context.Context, req route.Request) (*route.Grant, error)
	// SpendRetry reports whether something may be sent again now.
	SpendRetry() bool
}

// Services opens the client of a plain service target.
type Services interface {
	// Service returns the client; once says that calls may not be repeated.
	Service(t bundle.Target, once bool) *target.Service
}

// Observer takes counts of what callers are told.
type Observer interface {
	// Answered notes the end of a request.
	Answered(code walnutramp.Code)
	// FirstToken notes the time to first token of a generation.
	FirstToken(account walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration)
	// Silence notes the time between two releases of tokens, spread over them.
	Silence(account walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration, tokens int)
	// Failed notes a generation that broke off after its first token.
	Failed(account walnutramp.ClientAccount, model walnutramp.ModelName)
}

// Config sets what a Handler works with.
type Config struct {
	Bundle      func() *bundle.Bundle
	Generations Generations
	Router      Router
	Services    Services
	Ledger      Ledger
	Observe     Observer
	Stopping    func() bool
	Quarantine  *quarantine.Witness // knows which requests end the targets that run them
	MaxBody     int64
	BodyTime    time.Duration // for reading a request's body
	ServiceTime time.Duration // for one call of a service
	SendFirst   bool          // a safety rule broken on purpose
}

// Option sets a field of Config.
type Option func(*Config)

// WithBundle gives the bundle in force.
func WithBundle(f func() *bundle.Bundle) Option { return func(c *Config) { c.Bundle = f } }

// WithGenerations gives what opens and continues generations.
func WithGenerations(g Generations) Option { return func(c *Config) { c.Generations = g } }

// WithServices gives the router and the clients of plain services.
func WithServices(r Router, s Services) Option {
	return func(c *Config) { c.Router, c.Services = r, s }
}

// WithLedger gives the ledger of requests that may not be repeated.
func WithLedger(l Ledger) Option { return func(c *Config) { c.Ledger = l } }

// WithObserver gives who is told of answers and waits.
func WithObserver(o Observer) Option { return func(c *Config) { c.Observe = o } }

// WithQuarantine sets what knows which requests end the targets that run them.
func WithQuarantine(w *quarantine.Witness) Option { return func(c *Config) { c.Quarantine = w } }

// WithStopping gives the test for whether the node takes no new work.
func WithStopping(f func() bool) Option { return func(c *Config) { c.Stopping = f } }

// WithSendBeforeClaim sends calls that may not be repeated before they are
// claimed; it is for tests only, to show that their checks catch it.
func WithSendBeforeClaim() Option { return func(c *Config) { c.SendFirst = true } }

func defaultConfig() Config {
	return Config{
		Stopping:    func() bool { return false },
		Observe:     ignore{},
		Quarantine:  quarantine.NewWitness(quarantine.New(), nil),
		MaxBody:     4 << 20,
		BodyTime:    10 * time.Second,
		ServiceTime: 15 * time.Second,
	}
}

type ignore struct{}

func (ignore) Answered(walnutramp.Code)                                                   {}
func (ignore) FirstToken(walnutramp.ClientAccount, walnutramp.ModelName, time.Duration)   {}
func (ignore) Silence(walnutramp.ClientAccount, walnutramp.ModelName, time.Duration, int) {}
func (ignore) Failed(walnutramp.ClientAccount, walnutramp.ModelName)                      {}

// Handler answers callers.
type Handler struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a Handler.
func New(opts ...Option) *Handler {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	h := &Handler{cfg: cfg, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/completions", h.asAccount(h.serveCompletion))
	h.mux.HandleFunc("POST /v1/chat/completions", h.asAccount(h.serveChat))
	h.mux.HandleFunc("GET /v1/generations/{id}", h.asAccount(h.serveContinue))
	h.mux.HandleFunc("GET /v1/models", h.asAccount(h.serveModels))
	h.mux.HandleFunc("/v1/services/{service}/{path...}", h.asAccount(h.serveService))
	h.mux.HandleFunc("/", h.serveUnknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveUnknown(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, walnutramp.NewError(walnutramp.CodeUnknownPath, walnutramp.NotRun, "nothing answers %s %s", r.Method, r.URL.Path))
}

// noBundleRetry is when to come back to a node that has just started.
const noBundleRetry = time.Second

type accountHandler func(w http.ResponseWriter, r *http.Request, a bundle.Account)

// asAccount finds the client account of the request's API key.
func (h *Handler) asAccount(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.cfg.Bundle().Version == 0 {
			h.refuse(w, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun,
				"this node has no bundle yet").WithRetryAfter(noBundleRetry))
			return
		}
		account, ok := h.account(r)
		if !ok {
			h.refuse(w, walnutramp.NewError(walnutramp.CodeBadKey, walnutramp.NotRun, "the API key belongs to no client account"))
			return
		}
		next(w, r, account)
	}
}

func (h *Handler) account(r *http.Request) (bundle.Account, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return bundle.Account{}, false
	}
	return h.cfg.Bundle().AccountOf(bundle.HashKey(key))
}
