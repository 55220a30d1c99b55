package control

import (
	"slices"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/metering"
	"k8s.io/klog/v2"
)

// mostUntold bounds the windows that are kept until the platform has been told
// of them: more than an hour in which it can't be reached, with windows of
// five seconds.
const mostUntold = 1000

// CloseWindow closes a window of metering, or notes of which ones the platform
// has been told. Both go into one command, as the second can wait for the next
// window.
type CloseWindow struct {
	// Window is closed with the counts, if it is the next one; 0 for none.
	Window metering.Window
	Counts metering.Counts
	// Begins says that metering begins after the window, of which nobody is
	// told.
	Begins bool
	// Told is the newest window of which the platform has been told.
	Told metering.Window
}

// ClosedWindow is a window with the counts that are told, whoever tells them.
type ClosedWindow struct {
	Window metering.Window
	Counts metering.Counts
}

// windows are the windows of metering that the control group has agreed on.
type windows struct {
	Next   metering.Window // the first that is not closed; 0 before metering begins
	Told   metering.Window // newest of which the platform has been told
	Untold []ClosedWindow  // closed, oldest first
}

// newest returns the newest window that is closed; 0 before metering begins.
func (w *windows) newest() metering.Window { return max(w.Next, 1) - 1 }

// close applies a command. What an earlier leader closed already stays as it
// was.
func (w *windows) close(c *CloseWindow) Result {
	if c.Told < w.Next {
		w.forget(c.Told)
	}
	switch {
	case c.Begins && w.Next == 0:
		w.Next, w.Told = c.Window+1, c.Window
	case !c.Begins && w.Next != 0 && c.Window == w.Next:
		w.Next++
		w.Untold = append(w.Untold, ClosedWindow{Window: c.Window, Counts: c.Counts})
	}
	if len(w.Untold) > mostUntold {
		oldest := w.Untold[0].Window
		klog.InfoS("Window given up", "window", oldest, "why", "too many wait for the platform")
		w.forget(oldest)
	}
	return Result{Code: walnutramp.CodeOK}
}

// forget drops the windows of which the platform has been told. No other
// counts can ever be told of them: only the next window can be closed.
func (w *windows) forget(told metering.Window) {
	w.Told = max(w.Told, told)
	w.Untold = slices.DeleteFunc(w.Untold, func(c ClosedWindow) bool { return c.Window <= w.Told })
}

// image returns a copy for a snapshot; nil before metering begins.
func (w *windows) image() *windows {
	if w.Next == 0 {
		return nil
	}
	return &windows{Next: w.Next, Told: w.Told, Untold: slices.Clone(w.Untold)}
}

// usageWindows returns the windows of metering.
func (s *State) usageWindows() windows {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows
	w.Untold = slices.Clone(w.Untold)
	return w
}

// newestClosed returns the newest window that is closed; 0 before metering
// begins.
func (s *State) newestClosed() metering.Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.windows.newest()
}
