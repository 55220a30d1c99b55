package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// restGrace is how long after a refusal requests may still come that were under
// way.
const restGrace = 500 * time.Millisecond

// overload turns requests away while a stand-in has too much to do, and asks for
// rest: whoever sent one had better send nothing for that long. Stand-ins embed it.
type overload struct {
	mu       sync.Mutex
	until    time.Time // it has too much to do until then
	rest     time.Duration
	refused  time.Time // when it last turned a request away
	disturbs int
}

// Overload has the stand-in turn all requests away for a while, each with a word on
// the rest that it wants.
func (o *overload) Overload(busy, rest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until, o.rest = time.Now().Add(busy), rest
}

// Disturbances counts the requests that came within a rest that was asked for. The
// stand-in can't tell nodes apart, so it counts right where there is one.
func (o *overload) Disturbances() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.disturbs
}

// refuses notes a request, and reports whether it is turned away.
func (o *overload) refuses() (rest time.Duration, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if since := now.Sub(o.refused); !o.refused.IsZero() && since > restGrace && since < o.rest {
		o.disturbs++
	}
	if !now.Before(o.until) {
		return 0, false
	}
	o.refused = now
	return o.rest, true
}

// turnAway turns requests away while the stand-in has too much to do, except those by
// which a test sets faults or reads counts, and those that end work.
func (o *overload) turnAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if spared(r) {
			next.ServeHTTP(w, r)
			return
		}
		if rest, refused := o.refuses(); refused {
			w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// spared reports whether a request is none that an overload concerns.
func spared(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/fault") || r.URL.Path == "/runs" || r.Method == http.MethodDelete
}
