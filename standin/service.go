package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ServiceConfig sets how the stand-in service behaves.
type ServiceConfig struct {
	Delay     time.Duration // before each answer
	FatalBody string        // ends the service that runs it; empty for none
}

// Service is a fake plain service that counts how often each key ran.
type Service struct {
	overload

	cfg    ServiceConfig
	server *http.Server

	mu      sync.Mutex
	runs    map[string]int
	cutNext int // answers still to be cut off after the run
}

// ServiceAnswer is what the stand-in service answers.
type ServiceAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"` // how often this key has run, this time included
	Echo string `json:"echo"`
}

// NewService returns a service that is not serving yet.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.serveRuns)
	mux.HandleFunc("/", s.serveCall)
	s.server = &http.Server{Handler: s.turnAway(mux), ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Serve answers on l until Close.
func (s *Service) Serve(l net.Listener) error { return s.server.Serve(l) }

// Close ends the service at once.
func (s *Service) Close() { s.server.Close() }

// CutAnswers makes the next n calls run and then lose their connection.
func (s *Service) CutAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutNext = n
}

// Runs returns how often each key ran.
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
	cut := s.cutNext > 0
	if cut {
		s.cutNext--
	}
	s.mu.Unlock()
	select {
	case <-time.After(s.cfg.Delay):
	case <-r.Context().Done():
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	if s.cfg.FatalBody != "" && string(body) == s.cfg.FatalBody {
		s.Close()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(ServiceAnswer{Path: r.URL.Path, Key: key, Run: run, Echo: string(body)})
}
