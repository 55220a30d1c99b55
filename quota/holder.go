package quota

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Holder is a node's part of the amount. Its methods may be called from any task.
type Holder struct {
	span time.Duration

	mu    sync.Mutex
	epoch uint64    // 0 before the first word
	nodes int       // by the newest word
	asked time.Time // for the newest word
	from  time.Time // when the part may be used
}

// NewHolder returns the holder of a part of an amount for a span, which is nothing before
// the first word.
func NewHolder(span time.Duration) *Holder { return &Holder{span: span} }

// Take takes the answer to a question.
func (h *Holder) Take(w Word, asked time.Time) {
	now := uptime.Now()
	told := asked.Add(-w.Age)
	if w.Nodes <= 0 || now.Sub(told) > AskLimit {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.epoch == 0 && w.First:
		h.join(w, now)
	case h.epoch != w.Epoch || told.Sub(h.asked) > AwayTime:
		h.join(w, now.Add(joinTime(h.span)))
	case told.Before(h.asked):
		return
	}
	h.epoch, h.nodes, h.asked = w.Epoch, w.Nodes, told
}

// join has the part used from a time on. The caller holds the mutex.
func (h *Holder) join(w Word, from time.Time) {
	h.from = from
	klog.InfoS("Part of the bound on repeats", "nodes", w.Nodes, "first", w.First, "in_ms", uptime.Until(from).Milliseconds())
}

// Part returns the share of the whole amount, from 0 to 1, that this node may have
// used within the span that ends now.
func (h *Holder) Part() float64 {
	now := uptime.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.nodes == 0 || now.Before(h.from) || now.Sub(h.asked) > WordLife {
		return 0
	}
	return 1 / float64(h.nodes)
}
