// Package pause holds a task up until a time has passed or its context ends, and says
// when who is not held up had better come back.
package pause

import (
	"context"
	"time"
)

// For waits for d; false means ctx ended first.
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

// spread is the part of a wait by which those that wait for the same end are spread
// behind it: what they wait for would not be served by meeting them all at once.
const spread = 0.25

// Behind returns when to come back for what is to be had after a while: somewhat later,
// by a draw from 0 to 1.
func Behind(left time.Duration, draw float64) time.Duration {
	return time.Duration((1 + spread*draw) * float64(left))
}
