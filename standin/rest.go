package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// inFlightGrace is the time after a rejection during which requests that were already
// in flight may arrive.
const inFlightGrace = 500 * time.Millisecond

// overload simulates overload: requests are rejected with status 503 and a
// Retry-After header. Stand-ins embed it.
type overload struct {
	mu              sync.Mutex
	overloadedUntil time.Time // end of the overload
	retryAfter      time.Duration
	lastRejected    time.Time // time of the last rejection
	earlyRequests   int
}

// Overload makes the stand-in reject requests for the time busy, with cooldown as the
// Retry-After delay.
func (o *overload) Overload(busy, cooldown time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overloadedUntil, o.retryAfter = time.Now().Add(busy), cooldown
}

// Disturbances returns the number of requests received within the Retry-After delay
// of a rejection. Nodes are not told apart, so the count is exact for one node only.
func (o *overload) Disturbances() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.earlyRequests
}

// reject counts a request and reports whether to reject it, and with which
// Retry-After delay.
func (o *overload) reject() (retryAfter time.Duration, rejected bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if since := now.Sub(o.lastRejected); !o.lastRejected.IsZero() && since > inFlightGrace && since < o.retryAfter {
		o.earlyRequests++
	}
	if !now.Before(o.overloadedUntil) {
		return 0, false
	}
	o.lastRejected = now
	return o.retryAfter, true
}

// overloadHandler rejects requests during an overload, except exempt ones.
func (o *overload) overloadHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if exempt(r) {
			next.ServeHTTP(w, r)
			return
		}
		if retryAfter, rejected := o.reject(); rejected {
			w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// exempt reports whether a request is served during an overload: those that set
// faults, read the runs of a service or cancel streams.
func exempt(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/fault") || r.URL.Path == "/runs" || r.Method == http.MethodDelete
}
