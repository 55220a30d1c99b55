package metering

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

const (
	// mostRows bounds a node's memory, at some 100 bytes a row: a minute of
	// 10,000 accounts that are all seen in each window of 5 s.
	mostRows = 120_000
	// mostUnplaced bounds the requests that began before the time was known:
	// a node learns it with the first answer of the control group.
	mostUnplaced = 10_000
)

// key says which requests are counted together.
type key struct {
	window  Window
	account string
}

// Counter counts the requests that one node sees begin.
type Counter struct {
	cfg   Config
	clock groupclock.Clock

	mu       sync.Mutex
	rows     map[key]uint64
	changed  map[key]struct{} // since they were reported
	unplaced []begun
	closed   Window // newest that the group has closed
	dropped  int    // requests that could not be counted
	told     int    // rows that were handed out
}

// begun is a request that began before the time was known here.
type begun struct {
	account string
	at      time.Time // on this node's steady clock
}

// NewCounter returns a counter of nothing.
func NewCounter(cfg Config, clock groupclock.Clock) *Counter {
	return &Counter{cfg: cfg, clock: clock, rows: map[key]uint64{}, changed: map[key]struct{}{}}
}

// Count counts a request of an account that began to run at a time of this
// process, which time.Now gave. Requests without an account are not counted.
// It may be called on nil, which counts nothing.
func (c *Counter) Count(account string, at time.Time) {
	if c == nil || account == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, _, known := c.clock.Now()
	if !known {
		c.keepUnplaced(begun{account: account, at: at})
		return
	}
	c.place(now, begun{account: account, at: at})
}

func (c *Counter) keepUnplaced(b begun) {
	if len(c.unplaced) >= mostUnplaced {
		c.drop("the time is not known")
		return
	}
	c.unplaced = append(c.unplaced, b)
}

// place counts a request in its window. The caller holds the mutex.
func (c *Counter) place(now time.Time, b begun) {
	k := key{window: c.cfg.Window(now.Add(-uptime.Since(b.at))), account: b.account}
	if k.window <= c.closed {
		c.drop("its window is closed")
		return
	}
	if _, known := c.rows[k]; !known && len(c.rows) >= mostRows {
		c.drop("too many rows")
		return
	}
	c.rows[k]++
	c.changed[k] = struct{}{}
}

// drop notes a request that is not counted. Each power of two is logged.
func (c *Counter) drop(why string) {
	c.dropped++
	if c.dropped&(c.dropped-1) == 0 {
		klog.InfoS("Request not metered", "why", why, "dropped", c.dropped)
	}
}

// placeAll counts what began before the time was known, once it is. The
// caller holds the mutex.
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

// Report returns the rows that have changed since the last report, or all.
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
	c.told += len(rows)
	return rows
}

// Waiting reports whether there is something new to report, and whether there
// are rows of windows that are not closed yet.
func (c *Counter) Waiting() (news, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.changed) > 0 || len(c.unplaced) > 0, len(c.rows) > 0
}

// Closed forgets the windows up to one that the group has closed.
func (c *Counter) Closed(newest Window) {
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

// Stats are a counter's figures.
type Stats struct {
	Rows    int // of windows that are not closed
	Dropped int // requests that could not be counted
	Told    int // rows that were reported
}

// Stats returns the counter's figures.
func (c *Counter) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Rows: len(c.rows), Dropped: c.dropped, Told: c.told}
}
