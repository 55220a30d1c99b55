package reqlimit

import "net/http"

// bodyCost is the memory, in bytes, that a byte of a body takes in a buffer that grows.
const bodyCost = 2

// BodyMeter takes the memory of a request's body from a budget as it arrives, for a handler that
// keeps the body. The zero value takes nothing. Its methods must not be called concurrently.
type BodyMeter struct {
	budget *Budget
	taken  int64
}

// NewBodyMeter returns the meter of one body; nothing is taken from a budget that is nil.
func NewBodyMeter(b *Budget) BodyMeter { return BodyMeter{budget: b} }

// Read counts bytes that have arrived.
func (m *BodyMeter) Read(n int) *Refusal {
	if m.budget == nil || n <= 0 {
		return nil
	}
	more := bodyCost * int64(n)
	if !m.budget.Take(more, m.taken) {
		return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Why: "the memory for request bodies is used up"}
	}
	m.taken += more
	return nil
}

// Close gives everything back; nothing is taken after it.
func (m *BodyMeter) Close() {
	if m.budget != nil {
		m.budget.GiveBack(m.taken)
	}
	m.budget, m.taken = nil, 0
}
