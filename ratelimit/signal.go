// Package ratelimit keeps the requests of all nodes to a target within the rate limit that
// the target publishes in its responses.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Unlimited is the rate of a target that publishes no limit.
var Unlimited = math.Inf(1)

// MaxRate is the highest rate, in requests per second, that counts as a limit: no target
// serves more.
const MaxRate = 1e6

// Signal is what one response says of its target's rate limit. The zero value is that of
// a response without a limit.
type Signal struct {
	Published bool
	PerSecond float64 // requests per second from all nodes together; 0 for none at all
	// Invalid is the published text if it is not a rate. PerSecond has no meaning then.
	Invalid string
}

// ParseSignal parses the values of the header that holds the limit, a decimal number each.
// Of several valid values the lowest counts. A negative, infinite or unreadable value is
// invalid, and so is one of several values that is.
func ParseSignal(values []string) Signal {
	if len(values) == 0 {
		return Signal{}
	}
	lowest := Unlimited
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(rate >= 0) || math.IsInf(rate, 1) {
			return Signal{Published: true, Invalid: shorten(strings.Join(values, ", "))}
		}
		lowest = min(lowest, rate)
	}
	return Signal{Published: true, PerSecond: lowest}
}

// maxInvalidText bounds the text of an invalid limit in logs, in bytes.
const maxInvalidText = 64

func shorten(text string) string { return text[:min(len(text), maxInvalidText)] }

// Rate returns the rate that the signal sets: Unlimited if it publishes none or one above
// MaxRate. It must not be called for an invalid signal.
func (s Signal) Rate() float64 {
	if !s.Published || s.PerSecond > MaxRate {
		return Unlimited
	}
	return s.PerSecond
}
