package balance

import (
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A history counts in slots of time.
const (
	slotsInWindow = 40
	// transitSlots is the time within which a request that a client sends is counted
	// here, and a repeat that is taken here arrives.
	transitSlots = 4
	slotsKept    = 2*slotsInWindow + 1 // whatever a window that is under way depends on
)

// history is what a node counted in the last two windows.
type history struct {
	began  time.Time // from which on slots are numbered
	slot   time.Duration
	newest int64 // number of the newest slot
	slots  [slotsKept]Count
}

func newHistory(window time.Duration) history {
	return history{began: uptime.Now(), slot: max(1, window/slotsInWindow)}
}

// advance makes the slot of a time the newest. It returns the slot's number.
func (h *history) advance(now time.Time) int64 {
	number := max(h.newest, int64(now.Sub(h.began)/h.slot))
	for n := max(h.newest+1, number-slotsKept+1); n <= number; n++ {
		h.slots[n%slotsKept] = Count{}
	}
	h.newest = number
	return number
}

func (h *history) add(now time.Time, c Count) {
	slot := &h.slots[h.advance(now)%slotsKept]
	slot.Requests += c.Requests
	slot.Repeats += c.Repeats
}

// takeBack takes a repeat of an earlier time out again.
func (h *history) takeBack(now, at time.Time) {
	newest := h.advance(now)
	if n := int64(at.Sub(h.began) / h.slot); n > newest-slotsKept && n <= newest && h.slots[n%slotsKept].Repeats > 0 {
		h.slots[n%slotsKept].Repeats--
	}
}

// within counts the window that ends now.
func (h *history) within(now time.Time) Count {
	h.advance(now)
	return h.sum(h.newest-slotsInWindow+1, h.newest)
}

// sum adds slots up, from the first to the last of two numbers.
func (h *history) sum(first, last int64) Count {
	var sum Count
	for n := max(0, first, h.newest-slotsKept+1); n <= min(last, h.newest); n++ {
		sum.Requests += h.slots[n%slotsKept].Requests
		sum.Repeats += h.slots[n%slotsKept].Repeats
	}
	return sum
}

// allows reports whether one more repeat may be taken now: whether, in every window in
// which it may arrive, this node's repeats then stay within the slack and the ratio of the
// mean of its requests in that window and in the window before. The site's bound goes by
// the requests of all nodes in either window, whichever has more. A mean is no more than
// that, also when summed over nodes that had their requests in different windows, as the
// larger of a node's own two would not be; so all nodes stay within the site's bound if
// their parts of the slack add up to no more than it. By the window before a node can
// repeat at one moment, by the window itself soon after its start.
//
// Only what is sure to fall within the window is counted of requests, and all that may
// fall there of repeats: windows may begin anywhere within a slot, and requests and
// repeats are under way for a while.
func (h *history) allows(now time.Time, ratio, slack float64) bool {
	newest := h.advance(now)
	repeats := h.prefixSums(func(c Count) int { return c.Repeats })
	requests := h.prefixSums(func(c Count) int { return c.Requests })
	for begins := newest - slotsInWindow; begins <= newest+transitSlots; begins++ {
		before := requests.between(begins-slotsInWindow+transitSlots+1, begins-1)
		during := requests.between(begins+transitSlots+1, begins+slotsInWindow-1)
		taken := repeats.between(begins-transitSlots, newest)
		mean := float64(before+during) / 2
		if float64(taken+1) > ratio*mean+slack {
			return false
		}
	}
	return true
}

// prefixSums are sums over the slots that are kept, up to each one.
type prefixSums struct {
	first int64 // number of the oldest slot
	sums  [slotsKept + 1]int
}

func (h *history) prefixSums(of func(Count) int) *prefixSums {
	p := &prefixSums{first: h.newest - slotsKept + 1}
	for i := range int64(slotsKept) {
		p.sums[i+1] = p.sums[i]
		if n := p.first + i; n >= 0 {
			p.sums[i+1] += of(h.slots[n%slotsKept])
		}
	}
	return p
}

// between sums the slots up from the first to the last of two numbers; what is not
// kept counts as nothing.
func (p *prefixSums) between(first, last int64) int {
	from := min(max(first-p.first, 0), slotsKept)
	to := min(max(last+1-p.first, from), slotsKept)
	return p.sums[to] - p.sums[from]
}
