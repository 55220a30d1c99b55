package balance

import (
	"sync"
	"time"
)

// Budget bounds repeats: a request earns a share of one, and a store of them
// fills again over a window. Each node keeps its own, so that the sum over all
// nodes stays inside the site's bound without asking anybody.
type Budget struct {
	ratio  float64
	store  float64
	window time.Duration

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// NewBudget returns a full budget that earns ratio repeats a request and
// refills store repeats over each window.
func NewBudget(ratio, store float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, store: store, window: window, tokens: store, filled: time.Now()}
}

// Earn counts a client's request in.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.limit())
}

// limit is the most that may be saved up.
func (b *Budget) limit() float64 { return b.store + 1 }

// Spend takes one repeat; false if there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	refill := b.store * float64(now.Sub(b.filled)) / float64(b.window)
	b.tokens = min(b.tokens+refill, b.limit())
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
