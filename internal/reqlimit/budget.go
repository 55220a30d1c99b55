// Package reqlimit bounds the memory that requests of HTTP/1.1 clients take while they arrive
// and are handled.
//
// net/http parses a head whole before a handler sees it, and a line of a few bytes takes many
// times its size: its entries in the header maps, its strings and its slice. So heads are
// counted by their lines as they arrive, before they are parsed.
package reqlimit

import "sync/atomic"

// Budget bounds the memory of all requests of a process that are being read or handled: of
// their heads or of their bodies. It is safe for concurrent use.
type Budget struct {
	limit    int64
	used     atomic.Int64
	refused  atomic.Int64
	tooLarge atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how many requests were refused for want of memory.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// TooLarge returns how many heads were refused for their size.
func (b *Budget) TooLarge() int64 { return b.tooLarge.Load() }

// Take takes more bytes for a request that holds some, and reports whether the limit
// allows it. A request that is alone is always allowed more.
func (b *Budget) Take(more, held int64) bool {
	if total := b.used.Add(more); total > b.limit && total > held+more {
		b.used.Add(-more)
		b.refused.Add(1)
		return false
	}
	return true
}

// Add takes bytes for a request that another node has admitted, also beyond the limit.
func (b *Budget) Add(bytes int64) { b.used.Add(bytes) }

// GiveBack gives back what was taken.
func (b *Budget) GiveBack(bytes int64) { b.used.Add(-bytes) }

// Exceeded reports whether more is taken than the limit.
func (b *Budget) Exceeded() bool { return b.used.Load() > b.limit }
