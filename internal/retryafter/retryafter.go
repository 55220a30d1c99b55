// Package retryafter reads for how long an answer asks to be left alone.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the header that tells it.
const Header = "Retry-After"

// Longest bounds what may be asked for: a target that wants nothing for a day is taken
// out of service before.
const Longest = 24 * time.Hour

// Of returns the rest that an answer of status 503 asks for in seconds, fractions
// included; 0 for any other answer, and where that can't be read.
func Of(status int, answer http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(answer.Get(Header)), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, Longest.Seconds()) * float64(time.Second))
}
