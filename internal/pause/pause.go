// Package pause holds a task up until a time has passed or its context ends.
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
