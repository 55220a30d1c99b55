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

// CooldownError reports that nothing was sent because the target had asked for backoff.
type CooldownError struct {
	Left time.Duration // until the target accepts requests
}

// Error implements the error interface.
func (e *CooldownError) Error() string { return fmt.Sprintf("target in backoff for %v", e.Left) }

// IsCooldown reports whether err is a BackoffError.
func IsCooldown(err error) bool {
	var backoff *CooldownError
	return errors.As(err, &backoff)
}

// backoffTable holds the backoffs that targets requested, by address.
type backoffTable struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// left returns the remaining backoff of a target, 0 or less if there is none.
func (t *backoffTable) left(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.until[address]
	if !ok {
		return 0
	}
	left := uptime.Until(until)
	if left <= 0 {
		delete(t.until, address)
	}
	return left
}

// record records the backoff that an answer requests, if any.
func (t *backoffTable) record(address string, answer *http.Response) {
	backoff := retryafter.Of(answer.StatusCode, answer.Header)
	if backoff == 0 {
		return
	}
	until := uptime.Now().Add(backoff)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.until[address]) {
		t.until[address] = until
	}
}

// backoffTransport sends nothing to targets during their backoff.
type backoffTransport struct {
	next     http.RoundTripper
	backoffs *backoffTable
}

// RoundTrip implements http.RoundTripper.
func (t backoffTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	if left := t.backoffs.left(address); left > 0 {
		if r.Body != nil {
			r.Body.Close()
		}
		return nil, &NotSentError{Err: &CooldownError{Left: left}}
	}
	answer, err := t.next.RoundTrip(r)
	if err == nil {
		t.backoffs.record(address, answer)
	}
	return answer, err
}
