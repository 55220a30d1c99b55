// Package retryafter parses and formats the Retry-After header of HTTP responses.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the HTTP header.
const Header = "Retry-After"

// Longest is the upper bound of the returned delay. A target unavailable for that
// long has already been taken out of service.
const Longest = 24 * time.Hour

// Format returns the header's value for a delay, in seconds to three decimals.
func Format(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// Of returns the delay that a response with status 503 requests, in seconds with an
// optional fraction. It returns 0 for other statuses and for invalid values,
// HTTP dates included.
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
