package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/target"
)

// OrderBook holds the artifacts loaded on a stand-in engine. It executes load and
// unload orders and logs them.
type OrderBook struct {
	Checks   bool          // rejects orders with a stale fencing token
	LoadTime time.Duration // time to load one artifact

	mu     sync.Mutex
	copies map[string]target.CopyState
	fence  target.Fence
	log    []LoggedOrder
}

// LoggedOrder is a received order.
type LoggedOrder struct {
	Order target.Order
	Taken bool
	At    time.Time
}

// NewOrderBook returns an OrderBook on which the given artifacts are ready.
func NewOrderBook(checks bool, load time.Duration, ready ...string) *OrderBook {
	b := &OrderBook{Checks: checks, LoadTime: load, copies: map[string]target.CopyState{}}
	for _, a := range ready {
		b.copies[a] = target.CopyReady
	}
	return b
}

// Placed returns the state of all artifacts and the fencing token of the last
// executed order.
func (b *OrderBook) Placed() target.Placed {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := target.Placed{Copies: map[string]target.CopyState{}, Fence: b.fence}
	for a, s := range b.copies {
		p.Copies[a] = s
	}
	return p
}

// Has reports whether any version of a model is ready.
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

// Log returns all received orders, including rejected ones.
func (b *OrderBook) Log() []LoggedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]LoggedOrder(nil), b.log...)
}

// Take executes an order. It returns false if the order is stale. Orders are
// idempotent.
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

// load starts to load an artifact. The caller must hold b.mu.
func (b *OrderBook) load(artifact string) {
	if _, exists := b.copies[artifact]; exists {
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
