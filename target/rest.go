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

// CooldownError reports that nothing was sent because the target has requested a cooldown.
type CooldownError struct {
	Left time.Duration // until the target accepts requests
}

// Error implements the error interface.
func (e *CooldownError) Error() string { return fmt.Sprintf("target in cooldown for %v", e.Left) }

// IsCooldown reports whether err is a CooldownError.
func IsCooldown(err error) bool {
	var cooldown *CooldownError
	return errors.As(err, &cooldown)
}

// cooldownTable holds the cooldowns that targets requested, by address.
type cooldownTable struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// left returns the remaining cooldown of a target, 0 or less if there is none.
func (t *cooldownTable) left(address string) time.Duration {
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

// record records the cooldown that an answer requests, if any.
func (t *cooldownTable) record(address string, answer *http.Response) {
	cooldown := retryafter.Of(answer.StatusCode, answer.Header)
	if cooldown == 0 {
		return
	}
	until := uptime.Now().Add(cooldown)
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.until[address]) {
		t.until[address] = until
	}
}

// cooldownTransport sends nothing to targets during their cooldown.
type cooldownTransport struct {
	next      http.RoundTripper
	cooldowns *cooldownTable
}

// RoundTrip implements http.RoundTripper.
func (t cooldownTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	if left := t.cooldowns.left(address); left > 0 {
		if r.Body != nil {
			r.Body.Close()
		}
		return nil, &NotSentError{Err: &CooldownError{Left: left}}
	}
	answer, err := t.next.RoundTrip(r)
	if err == nil {
		t.cooldowns.record(address, answer)
	}
	return answer, err
}
