package control

import (
	"slices"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/metering"
	"k8s.io/klog/v2"
)

// maxUnreported bounds the closed windows kept until the platform has them: more
// than an hour of windows of five seconds.
const maxUnreported = 1000

// CloseWindow closes a metering window, records which windows the platform has, or
// both: the record can be part of the next close.
type CloseWindow struct {
	// Window is closed with Counts if it is the next one; 0 for none.
	Window metering.Window
	Counts metering.Counts
	// Begins says that metering starts after Window, which is not reported itself.
	Begins bool
	// Told is the newest window that the platform has or that was dropped; 0 for no
	// change.
	Told metering.Window
}

// ClosedWindow is a closed window with its committed counts.
type ClosedWindow struct {
	Window metering.Window
	Counts metering.Counts
}

// windows is the replicated state of metering windows.
type windows struct {
	Next   metering.Window // first open window; 0 before metering starts
	Told   metering.Window // newest that the platform has or that was dropped
	Untold []ClosedWindow  // closed, oldest first
}

// newest returns the newest closed window, or the one before the first of metering; 0
// before metering starts.
func (w *windows) newest() metering.Window { return max(w.Next, 1) - 1 }

// close applies a command. A window that is closed already does not change.
func (w *windows) close(c *CloseWindow) Result {
	if c.Told < w.Next {
		w.markReported(c.Told)
	}
	switch {
	case c.Begins && w.Next == 0:
		w.Next, w.Told = c.Window+1, c.Window
	case !c.Begins && w.Next != 0 && c.Window == w.Next:
		w.Next++
		w.Untold = append(w.Untold, ClosedWindow{Window: c.Window, Counts: c.Counts})
	}
	if len(w.Untold) > maxUnreported {
		oldest := w.Untold[0].Window
		klog.InfoS("Window given up", "window", oldest, "why", "too many unreported windows")
		w.markReported(oldest)
	}
	return Result{Code: walnutramp.CodeOK}
}

// markReported records that the platform has the windows up to newest, or that they were
// dropped, and removes them. They can't be reported with other counts later, since only
// the next window can be closed.
func (w *windows) markReported(newest metering.Window) {
	w.Told = max(w.Told, newest)
	w.Untold = slices.DeleteFunc(w.Untold, func(c ClosedWindow) bool { return c.Window <= w.Told })
}

// image returns a copy for a snapshot; nil before metering starts.
func (w *windows) image() *windows {
	if w.Next == 0 {
		return nil
	}
	return &windows{Next: w.Next, Told: w.Told, Untold: slices.Clone(w.Untold)}
}

// usageWindows returns a copy of the metering windows.
func (s *State) usageWindows() windows {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows
	w.Untold = slices.Clone(w.Untold)
	return w
}

// newestClosed returns the newest closed window; 0 before metering starts.
func (s *State) newestClosed() metering.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.windows.newest()
}
