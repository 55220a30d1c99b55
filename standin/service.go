package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ServiceConfig configures the stand-in service.
type ServiceConfig struct {
	Delay     time.Duration // delay before each response
	FatalBody string        // request body that crashes the service; empty for none
}

// Service is a fake plain service that counts executions by idempotency key.
type Service struct {
	overload

	cfg    ServiceConfig
	server *http.Server

	mu        sync.Mutex
	runs      map[string]int
	abortNext int // number of coming requests whose connection is closed after execution
}

// ServiceAnswer is the response body of the stand-in service.
type ServiceAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"` // executions of this key so far, including this one
	Echo string `json:"echo"`
}

// NewService returns a service. Call Serve to start it.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: s.overloadHandler(mux), ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Serve accepts requests on l until Close.
func (s *Service) Serve(l net.Listener) error { return s.server.Serve(l) }

// Close stops the service and closes its connections.
func (s *Service) Close() { s.server.Close() }

// CutAnswers makes the service execute the next n requests and close their
// connections without a response.
func (s *Service) CutAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortNext = n
}

// Runs returns the number of executions by idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(s.Runs())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	run := s.runs[key]
	abort := s.abortNext > 0
	if abort {
		s.abortNext--
	}
	s.mu.Unlock()
	select {
	case <-time.After(s.cfg.Delay):
	case <-r.Context().Done():
	}
	if abort {
		panic(http.ErrAbortHandler)
	}
	if s.cfg.FatalBody != "" && string(body) == s.cfg.FatalBody {
		s.Close()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ServiceAnswer{Path: r.URL.Path, Key: key, Run: run, Echo: string(body)})
}
