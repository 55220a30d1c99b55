// Package pause provides a sleep that a context can interrupt, and jittered retry
// delays.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitterFraction is the largest jitter as a fraction of the delay. Jitter keeps
// clients that wait for the same event from retrying at once.
const jitterFraction = 0.25

// Behind returns the delay before a retry of something that becomes available after
// left: left plus a jitter that grows with draw, a random number in [0, 1].
func Behind(left time.Duration, draw float64) time.Duration {
	return time.Duration((1 + jitterFraction*draw) * float64(left))
}
