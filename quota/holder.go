package quota

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Holder tracks a node's share of the quota. Its methods are safe for concurrent use.
type Holder struct {
	span    time.Duration
	onFirst func()

	mu          sync.Mutex
	epoch       uint64    // 0 before the first assignment
	setSize     int       // in the latest assignment
	requestedAt time.Time // when the latest assignment was requested
	joinedAt    time.Time // zero if the node need not wait for joinDelay
	members     uint64    // identifies the list of nodes in the latest assignment
}

// Option configures a Holder.
type Option func(*Holder)

// WithOnFirst sets a callback that is called if this process is the first one of its node; see
// Assignment.First.
func WithOnFirst(onFirst func()) Option { return func(h *Holder) { h.onFirst = onFirst } }

// NewHolder returns a Holder for a quota per span, with no share until the first
// assignment.
func NewHolder(span time.Duration, opts ...Option) *Holder {
	h := &Holder{span: span, onFirst: func() {}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Apply applies the assignment in an answer to a request sent at requestedAt. It
// ignores answers without an assignment, later than AnswerTimeout, or to a request
// before that of the latest assignment.
func (h *Holder) Apply(a Assignment, requestedAt time.Time) {
	now := uptime.Now()
	issuedAt := requestedAt.Add(-a.Age)
	if a.Nodes <= 0 || now.Sub(issuedAt) > AnswerTimeout {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.epoch == 0 && a.First:
		h.join(a, time.Time{})
		h.onFirst()
	case h.epoch != a.Epoch || issuedAt.Sub(h.requestedAt) > MaxAbsence:
		h.join(a, now)
	case issuedAt.Before(h.requestedAt):
		return
	}
	h.epoch, h.setSize, h.requestedAt, h.members = a.Epoch, a.Nodes, issuedAt, a.Members
}

// join records that the node joined the set at a time; zero if it need not wait. The
// caller holds the mutex.
func (h *Holder) join(a Assignment, at time.Time) {
	h.joinedAt = at
	wait := time.Duration(0)
	if !at.IsZero() {
		wait = joinDelay(h.span)
	}
	klog.InfoS("Retry quota share assigned", "nodes", a.Nodes, "first", a.First, "in_ms", wait.Milliseconds())
}

// Share returns the share of the quota, from 0 to 1, that this node may have used within
// the span that ends now.
func (h *Holder) Share() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.usable(h.span) {
		return 0
	}
	return 1 / float64(h.setSize)
}

// shareVersion identifies the list of nodes that the share was assigned with; 0 while the
// node has no share of a quota per span.
func (h *Holder) shareVersion(span time.Duration) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.usable(span) {
		return 0
	}
	return h.members
}

// usable reports whether the node has a share now of a quota per span, which is at most the
// holder's. The caller holds the mutex.
func (h *Holder) usable(span time.Duration) bool {
	now := uptime.Now()
	waited := h.joinedAt.IsZero() || now.Sub(h.joinedAt) >= joinDelay(span)
	return h.setSize > 0 && waited && now.Sub(h.requestedAt) <= ShareTTL
}
