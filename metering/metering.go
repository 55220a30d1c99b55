// Package metering counts the requests started by each client account in time
// windows, and reports the counts to the platform. Each window is reported
// once, with the same counts whichever node sends them.
package metering

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Window is the index of a time window: window k starts k spans after the Unix
// epoch.
type Window uint64

// Row is the number of an account's requests that started in a window on one
// node, since that node's process started. It is cumulative, so lost, late or
// duplicate rows do no harm.
type Row struct {
	Window  Window
	Account string
	Count   uint64
}

// Counts are the requests that started in a window, by account.
type Counts map[string]uint64

// Reporter sends the counts of a window to the platform.
type Reporter interface {
	// ReportUsage sends the call once.
	ReportUsage(ctx context.Context, p duty.Permission, w Window, c Counts) duty.Outcome
}

// Config holds a site's metering settings.
type Config struct {
	// Span is the length of a window.
	Span time.Duration
	// Due is the deadline for reporting a window, relative to its end.
	Due time.Duration
}

// Enabled reports whether the site meters requests.
func (c Config) Enabled() bool { return c.Span > 0 }

// Window returns the window that contains t.
func (c Config) Window(t time.Time) Window { return Window(t.UnixNano() / int64(c.Span)) }

// End returns the end of a window, in group time.
func (c Config) End(w Window) time.Time { return time.Unix(0, int64(w+1)*int64(c.Span)).UTC() }
