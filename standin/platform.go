package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
)

// Platform is a fake platform that serves the list of instances with a delay.
type Platform struct {
	lag    time.Duration
	server *http.Server

	mu       sync.Mutex
	versions []listVersion // oldest first
}

// listVersion is a list with the time at which it was set.
type listVersion struct {
	at   time.Time
	list discovery.List
}

// NewPlatform returns a platform that serves changes of the list after lag. Call
// Serve to start it.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{lag: lag}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", p.serveList)
	mux.HandleFunc("PUT /v1/instances", p.serveSet)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return p
}

// Serve accepts requests on l until Close.
func (p *Platform) Serve(l net.Listener) error { return p.server.Serve(l) }

// Close stops the platform and closes its connections.
func (p *Platform) Close() { p.server.Close() }

// Set replaces the list. The new list is served after the lag.
func (p *Platform) Set(list discovery.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = append(p.versions, listVersion{time.Now(), list})
}

// current returns the newest list that is older than the lag.
func (p *Platform) current() discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.versions) > 1 && time.Since(p.versions[1].at) >= p.lag {
		p.versions = p.versions[1:]
	}
	if len(p.versions) == 0 || time.Since(p.versions[0].at) < p.lag {
		return discovery.List{}
	}
	return p.versions[0].list
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(p.current())
}

func (p *Platform) serveSet(w http.ResponseWriter, r *http.Request) {
	var list discovery.List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(list)
	w.WriteHeader(http.StatusNoContent)
}
