// Package caller implements the HTTP API of a node: OpenAI-compatible completions and
// chat completions, streamed and unstreamed, and calls of plain services.
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

// Generations opens and resumes generations.
type Generations interface {
	// Open starts a generation.
	Open(ctx context.Context, spec generation.Spec) (*generation.Generation, error)
	// Continue returns the generation that a position names, after taking it
	// over from another node if necessary.
	Continue(ctx context.Context, p walnutramp.Position) (*generation.Generation, error)
	// ByKey returns the generation that a key opened, or nil.
	ByKey(ctx context.Context, account walnutramp.ClientAccount, key string) (*generation.Generation, error)
}

// Router allocates slots at targets.
type Router interface {
	// Pick waits for a slot.
	Pick(ctx context.Context, req route.Request) (*route.Grant, error)
	// SpendRetry consumes one retry from the budget; false if it is exhausted.
	SpendRetry() bool
}

// Services provides the clients of plain services.
type Services interface {
	// Service returns the client for a target. Once requests a client for calls that
	// must not be sent twice.
	Service(t bundle.Target, once bool) *target.Service
}

// Observer receives events for metrics.
type Observer interface {
	// Answered reports the result of a request.
	Answered(code walnutramp.Code)
	// FirstToken reports the time to first token of a generation.
	FirstToken(account walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration)
	// TokenGap reports the time between two releases of tokens to a caller, and the number
	// of tokens in the second release.
	TokenGap(account walnutramp.ClientAccount, model walnutramp.ModelName, d time.Duration, tokens int)
	// Failed reports a generation that failed after its first token.
	Failed(account walnutramp.ClientAccount, model walnutramp.ModelName)
}

// Config configures a Handler.
type Config struct {
	Bundle          func() *bundle.Bundle
	Generations     Generations
	Router          Router
	Services        Services
	Ledger          Ledger
	Observe         Observer
	Stopping        func() bool
	Quarantine      *quarantine.CrashDetector // detects requests that crash the targets that run them
	MaxBody         int64
	BodyTimeout     time.Duration // for reading a request's body
	ServiceTimeout  time.Duration // for one call of a service
	SendBeforeClaim bool          // violates a safety rule, in tests
}

// Option sets a field of Config.
type Option func(*Config)

// WithBundle sets the source of the active bundle.
func WithBundle(f func() *bundle.Bundle) Option { return func(c *Config) { c.Bundle = f } }

// WithGenerations sets the generation manager.
func WithGenerations(g Generations) Option { return func(c *Config) { c.Generations = g } }

// WithServices sets the router and the clients of plain services.
func WithServices(r Router, s Services) Option {
	return func(c *Config) { c.Router, c.Services = r, s }
}

// WithLedger sets the ledger of requests that must not run twice.
func WithLedger(l Ledger) Option { return func(c *Config) { c.Ledger = l } }

// WithObserver sets the receiver of metrics events.
func WithObserver(o Observer) Option { return func(c *Config) { c.Observe = o } }

// WithQuarantine sets the detector of requests that crash targets.
func WithQuarantine(d *quarantine.CrashDetector) Option { return func(c *Config) { c.Quarantine = d } }

// WithStopping sets the check for whether the node rejects new work.
func WithStopping(f func() bool) Option { return func(c *Config) { c.Stopping = f } }

// WithSendBeforeClaim sends calls before their claim is recorded. For tests only, to show
// that their checks detect duplicate execution.
func WithSendBeforeClaim() Option { return func(c *Config) { c.SendBeforeClaim = true } }

func defaultConfig() Config {
	return Config{
		Stopping:       func() bool { return false },
		Observe:        noopObserver{},
		Quarantine:     quarantine.NewCrashDetector(quarantine.New(), nil),
		MaxBody:        4 << 20,
		BodyTimeout:    10 * time.Second,
		ServiceTimeout: 15 * time.Second,
	}
}

type noopObserver struct{}

func (noopObserver) Answered(walnutramp.Code)                                                    {}
func (noopObserver) FirstToken(walnutramp.ClientAccount, walnutramp.ModelName, time.Duration)    {}
func (noopObserver) TokenGap(walnutramp.ClientAccount, walnutramp.ModelName, time.Duration, int) {}
func (noopObserver) Failed(walnutramp.ClientAccount, walnutramp.ModelName)                       {}

// Handler serves the HTTP API.
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
	h.mux.HandleFunc("POST /v1/completions", h.authenticate(h.serveCompletion))
	h.mux.HandleFunc("POST /v1/chat/completions", h.authenticate(h.serveChat))
	h.mux.HandleFunc("GET /v1/generations/{id}", h.authenticate(h.serveContinue))
	h.mux.HandleFunc("GET /v1/models", h.authenticate(h.serveModels))
	h.mux.HandleFunc("/v1/services/{service}/{path...}", h.authenticate(h.serveService))
	h.mux.HandleFunc("/", h.serveUnknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) serveUnknown(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, walnutramp.NewError(walnutramp.CodeUnknownPath, walnutramp.NotRun, "nothing answers %s %s", r.Method, r.URL.Path))
}

// noBundleRetryAfter is the Retry-After of a node that has not received a bundle yet.
const noBundleRetryAfter = time.Second

type accountHandler func(w http.ResponseWriter, r *http.Request, a bundle.Account)

// authenticate passes a request on to next with the client account of its API key. It
// rejects requests without a valid key, and all requests until the node has a bundle.
func (h *Handler) authenticate(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.cfg.Bundle().Version == 0 {
			h.writeError(w, walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun,
				"this node has not received a bundle yet").WithRetryAfter(noBundleRetryAfter))
			return
		}
		account, ok := h.account(r)
		if !ok {
			h.writeError(w, walnutramp.NewError(walnutramp.CodeBadKey, walnutramp.NotRun, "the API key belongs to no client account"))
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
