// Package reqlimit bounds the memory that requests of HTTP/1.1 clients take while they arrive
// and are handled.
//
// net/http parses a head whole before a handler sees it, and a line of a few bytes takes many
// times its size: its entries in the header maps, its strings and its slice. So heads are
// measured by their lines as they arrive, before they are parsed.
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

// take takes more bytes for a request that has some. One that is alone always finds room.
func (b *Budget) take(more, held int64) bool {
	if total := b.used.Add(more); total > b.limit && total > held+more {
		b.used.Add(-more)
		b.refused.Add(1)
		return false
	}
	return true
}

func (b *Budget) giveBack(bytes int64) { b.used.Add(-bytes) }
