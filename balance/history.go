package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A history counts in time slots.
const (
	slotsInWindow = 40
	// transitSlots bounds the delay between sending and counting of a request, and
	// between spending and arrival of a retry.
	transitSlots  = 4
	slotsRetained = 2*slotsInWindow + 1 // all that a window in progress depends on
)

// history is a node's counts over the last two windows.
type history struct {
	start  time.Time // start of slot 0
	slot   time.Duration
	latest int64 // number of the latest slot
	slots  [slotsRetained]Count
}

func newHistory(window time.Duration) history {
	return history{start: uptime.Now(), slot: max(1, window/slotsInWindow)}
}

// advance makes the slot of now the latest and returns its number.
func (h *history) advance(now time.Time) int64 {
	slot := max(h.latest, int64(now.Sub(h.start)/h.slot))
	for n := max(h.latest+1, slot-slotsRetained+1); n <= slot; n++ {
		h.slots[n%slotsRetained] = Count{}
	}
	h.latest = slot
	return slot
}

func (h *history) add(now time.Time, c Count) {
	slot := &h.slots[h.advance(now)%slotsRetained]
	slot.Requests += c.Requests
	slot.Retries += c.Retries
}

// remove removes a retry that was counted at an earlier time.
func (h *history) remove(now, at time.Time) {
	latest := h.advance(now)
	if n := int64(at.Sub(h.start) / h.slot); n > latest-slotsRetained && n <= latest && h.slots[n%slotsRetained].Retries > 0 {
		h.slots[n%slotsRetained].Retries--
	}
}

// window returns the count of the window that ends now.
func (h *history) window(now time.Time) Count {
	h.advance(now)
	return h.sum(h.latest-slotsInWindow+1, h.latest)
}

// sum adds up the slots from first to last, inclusive.
func (h *history) sum(first, last int64) Count {
	var sum Count
	for n := max(0, first, h.latest-slotsRetained+1); n <= min(last, h.latest); n++ {
		sum.Requests += h.slots[n%slotsRetained].Requests
		sum.Retries += h.slots[n%slotsRetained].Retries
	}
	return sum
}

// allows reports whether one more retry may be spent now: whether, in every window in
// which it may arrive, this node's retries stay within slack plus ratio times the mean
// of its requests in that window and the one before. The site's limit uses the larger
// of the two windows, summed over all nodes. A mean never exceeds that, even if nodes
// had their requests in different windows; the larger of each node's two windows could.
// So all nodes stay within the site's limit if their shares of the slack add up to at
// most 1.
//
// The estimate is conservative, as windows may begin anywhere within a slot and
// requests and retries are in flight for a while: it counts only requests that
// certainly fall into the window, and all retries that may.
func (h *history) allows(now time.Time, ratio, slack float64) bool {
	latest := h.advance(now)
	retries := h.prefixSums(func(c Count) int { return c.Retries })
	requests := h.prefixSums(func(c Count) int { return c.Requests })
	for first := latest - slotsInWindow; first <= latest+transitSlots; first++ {
		before := requests.between(first-slotsInWindow+transitSlots+1, first-1)
		during := requests.between(first+transitSlots+1, first+slotsInWindow-1)
		inFlight := retries.between(first-transitSlots, latest)
		mean := float64(before+during) / 2
		if float64(inFlight+1) > ratio*mean+slack {
			return false
		}
	}
	return true
}

// prefixSums holds the sums of the retained slots up to each one.
type prefixSums struct {
	first int64 // number of the oldest slot
	sums  [slotsRetained + 1]int
}

func (h *history) prefixSums(of func(Count) int) *prefixSums {
	p := &prefixSums{first: h.latest - slotsRetained + 1}
	for i := range int64(slotsRetained) {
		p.sums[i+1] = p.sums[i]
		if n := p.first + i; n >= 0 {
			p.sums[i+1] += of(h.slots[n%slotsRetained])
		}
	}
	return p
}

// between adds up the slots from first to last, inclusive; slots not retained count as
// zero.
func (p *prefixSums) between(first, last int64) int {
	from := min(max(first-p.first, 0), slotsRetained)
	to := min(max(last+1-p.first, from), slotsRetained)
	return p.sums[to] - p.sums[from]
}
