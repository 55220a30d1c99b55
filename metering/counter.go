package metering

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

const (
	// maxRows bounds a node's memory, at about 100 bytes per row: one minute of
	// 10,000 accounts that are all active in each 5 s window.
	maxRows = 120_000
	// maxUnplaced bounds the requests that started before the group time was
	// known, which a node learns with the control group's first answer.
	maxUnplaced = 10_000
)

// key identifies the requests that are counted together.
type key struct {
	window  Window
	account string
}

// Counter counts the requests that start on one node.
type Counter struct {
	cfg   Config
	clock groupclock.Clock

	mu       sync.Mutex
	rows     map[key]uint64
	changed  map[key]struct{} // changed since the last report
	unplaced []unplacedRequest
	closed   Window // newest window that the group has closed
	dropped  int    // requests that could not be counted
	reported int    // rows reported so far
}

// unplacedRequest is a request that started before the group time was known.
type unplacedRequest struct {
	account string
	at      time.Time // on this node's monotonic clock
}

// NewCounter returns an empty counter.
func NewCounter(cfg Config, clock groupclock.Clock) *Counter {
	return &Counter{cfg: cfg, clock: clock, rows: map[key]uint64{}, changed: map[key]struct{}{}}
}

// Count counts a request of an account that started at a time given by
// time.Now. Requests without an account are not counted. A nil Counter ignores
// the call.
func (c *Counter) Count(account string, at time.Time) {
	if c == nil || account == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, _, known := c.clock.Now()
	if !known {
		c.deferPlacement(unplacedRequest{account: account, at: at})
		return
	}
	c.place(now, unplacedRequest{account: account, at: at})
}

func (c *Counter) deferPlacement(r unplacedRequest) {
	if len(c.unplaced) >= maxUnplaced {
		c.drop("group time unknown")
		return
	}
	c.unplaced = append(c.unplaced, r)
}

// place counts a request in its window. The caller holds c.mu.
func (c *Counter) place(now time.Time, r unplacedRequest) {
	k := key{window: c.cfg.Window(now.Add(-uptime.Since(r.at))), account: r.account}
	if k.window <= c.closed {
		c.drop("window closed")
		return
	}
	if _, known := c.rows[k]; !known && len(c.rows) >= maxRows {
		c.drop("too many rows")
		return
	}
	c.rows[k]++
	c.changed[k] = struct{}{}
}

// drop counts a request that is not metered. It logs when the number of dropped
// requests is a power of two.
func (c *Counter) drop(why string) {
	c.dropped++
	if c.dropped&(c.dropped-1) == 0 {
		klog.InfoS("Request not metered", "why", why, "dropped", c.dropped)
	}
}

// placeAll counts the requests that started before the group time was known,
// once it is. The caller holds c.mu.
func (c *Counter) placeAll() {
	if len(c.unplaced) == 0 {
		return
	}
	now, _, known := c.clock.Now()
	if !known {
		return
	}
	for _, b := range c.unplaced {
		c.place(now, b)
	}
	c.unplaced = nil
}

// Report returns the rows that changed since the last report, or all rows.
func (c *Counter) Report(all bool) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placeAll()
	var rows []Row
	for k, count := range c.rows {
		if _, changed := c.changed[k]; changed || all {
			rows = append(rows, Row{Window: k.window, Account: k.account, Count: count})
		}
	}
	clear(c.changed)
	c.reported += len(rows)
	return rows
}

// Waiting reports whether there is anything new to report, and whether there
// are rows of windows that are not closed.
func (c *Counter) Waiting() (unreported, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.changed) > 0 || len(c.unplaced) > 0, len(c.rows) > 0
}

// RemoveThrough removes the windows up to newest, which the group has closed.
func (c *Counter) RemoveThrough(newest Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest <= c.closed {
		return
	}
	c.closed = newest
	for k := range c.rows {
		if k.window <= newest {
			delete(c.rows, k)
			delete(c.changed, k)
		}
	}
}

// Stats are a counter's statistics.
type Stats struct {
	Rows     int // rows of windows that are not closed
	Dropped  int // requests that could not be counted
	Reported int // rows reported so far
}

// Stats returns the counter's statistics.
func (c *Counter) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Rows: len(c.rows), Dropped: c.dropped, Reported: c.reported}
}
