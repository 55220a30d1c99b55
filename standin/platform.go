package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
)

// Platform is a fake of the platform's list of instances; its answers lag.
type Platform struct {
	lag    time.Duration
	server *http.Server

	mu    sync.Mutex
	lists []datedList // oldest first
}

type datedList struct {
	at   time.Time
	list discovery.List
}

// NewPlatform returns a platform that is not serving yet and whose answers
// are as old as lag.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{lag: lag}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", p.serveList)
	mux.HandleFunc("PUT /v1/instances", p.serveSet)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return p
}

// Serve answers on l until Close.
func (p *Platform) Serve(l net.Listener) error { return p.server.Serve(l) }

// Close ends the platform at once.
func (p *Platform) Close() { p.server.Close() }

// Set replaces the list; it shows once the lag has passed.
func (p *Platform) Set(list discovery.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{time.Now(), list})
}

// current returns the newest list that is old enough.
func (p *Platform) current() discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.lists) > 1 && time.Since(p.lists[1].at) >= p.lag {
		p.lists = p.lists[1:]
	}
	if len(p.lists) == 0 || time.Since(p.lists[0].at) < p.lag {
		return discovery.List{}
	}
	return p.lists[0].list
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
