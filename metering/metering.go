// Package metering counts the requests of each client account that begin to
// run, by windows of true time, and brings the counts to the platform: each
// window once, with the same counts whoever sends them.
package metering

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/duty"
)

// Window numbers a span of true time: window k begins k spans after the start
// of 1970.
type Window uint64

// Row is how many requests of an account one node has seen begin in a window,
// since that node's process started. It only ever grows, so that a row that
// is lost, late or told twice does no harm.
type Row struct {
	Window  Window
	Account string
	Count   uint64
}

// Counts are the requests that began in a window, by account.
type Counts map[string]uint64

// Reporter hands the counts of a window to the platform.
type Reporter interface {
	// ReportUsage makes the call once.
	ReportUsage(ctx context.Context, p duty.Permission, w Window, c Counts) duty.Outcome
}

// Config is what a site says of metering.
type Config struct {
	// Span is the length of a window.
	Span time.Duration
	// Due is when a window's counts have to be there, since its end.
	Due time.Duration
}

// Enabled reports whether the site meters requests at all.
func (c Config) Enabled() bool { return c.Span > 0 }

// Window returns the window that a time lies in.
func (c Config) Window(t time.Time) Window { return Window(t.UnixNano() / int64(c.Span)) }

// End returns when a window ends, in true time.
func (c Config) End(w Window) time.Time { return time.Unix(0, int64(w+1)*int64(c.Span)).UTC() }
