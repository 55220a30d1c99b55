package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/target"
)

// OrderBook is the part of a stand-in engine that takes orders, and logs each.
type OrderBook struct {
	Checks   bool          // refuses orders with an older fence
	LoadTime time.Duration // of one artifact

	mu     sync.Mutex
	copies map[string]target.CopyState
	fence  target.Fence
	log    []LoggedOrder
}

// LoggedOrder is one order that arrived.
type LoggedOrder struct {
	Order target.Order
	Taken bool
	At    time.Time
}

// NewOrderBook returns a book that holds these artifacts, ready.
func NewOrderBook(checks bool, load time.Duration, ready ...string) *OrderBook {
	b := &OrderBook{Checks: checks, LoadTime: load, copies: map[string]target.CopyState{}}
	for _, a := range ready {
		b.copies[a] = target.CopyReady
	}
	return b
}

// Placed returns what the book holds.
func (b *OrderBook) Placed() target.Placed {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := target.Placed{Copies: map[string]target.CopyState{}, Fence: b.fence}
	for a, s := range b.copies {
		p.Copies[a] = s
	}
	return p
}

// Has reports whether a copy of a model is ready, in any version.
func (b *OrderBook) Has(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for artifact, s := range b.copies {
		name, _, _ := strings.Cut(artifact, "@")
		if name == model && s == target.CopyReady {
			return true
		}
	}
	return false
}

// Log returns every order that arrived.
func (b *OrderBook) Log() []LoggedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]LoggedOrder(nil), b.log...)
}

// Take carries an order out, or refuses it; repeating one changes nothing.
func (b *OrderBook) Take(o target.Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	stale := b.Checks && o.Fence.Less(b.fence)
	b.log = append(b.log, LoggedOrder{Order: o, Taken: !stale, At: time.Now()})
	if stale {
		return false
	}
	b.fence = o.Fence
	switch o.Action {
	case target.LoadArtifact:
		b.load(o.Artifact)
	case target.UnloadArtifact:
		delete(b.copies, o.Artifact)
	}
	return true
}

// load starts a copy; the caller holds the mutex.
func (b *OrderBook) load(artifact string) {
	if _, there := b.copies[artifact]; there {
		return
	}
	b.copies[artifact] = target.CopyLoading
	time.AfterFunc(b.LoadTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.copies[artifact] == target.CopyLoading {
			b.copies[artifact] = target.CopyReady
		}
	})
}

func (b *OrderBook) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/placed", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(b.Placed())
	})
	mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) {
		var o target.Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !b.Take(o) {
			http.Error(w, "an older leader's order", http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
