package gateway

import (
	"runtime/debug"
	"sync"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// HeldLimits bound what is held of answers whose clients read slowly, in bytes.
type HeldLimits struct {
	Answer  int64
	Account int64
	Total   int64
}

const (
	// heldShare is the part of the process's memory for all answers together.
	heldShare = 1.0 / 8
	// heldAccountShare is the part of that for one account, so that the clients of one
	// don't take all of it.
	heldAccountShare = 0.5
	// heldAnswerShare is the same for one answer.
	heldAnswerShare = 1.0 / 64
	// leastHeldAnswer holds most drafts whole, in bytes.
	leastHeldAnswer = 64 << 10
	// assumedProcessMemory is what a process without a memory limit is held to have, in bytes.
	assumedProcessMemory = 256 << 20
)

// HeldLimitsOf returns the usual bounds of a process with so many bytes of memory.
func HeldLimitsOf(memory int64) HeldLimits {
	total := heldShare * float64(min(memory, assumedProcessMemory))
	return HeldLimits{
		Answer: max(leastHeldAnswer, int64(heldAnswerShare*total)), Account: int64(heldAccountShare * total), Total: int64(total),
	}
}

// processMemory returns the memory limit of this process, in bytes.
func processMemory() int64 { return debug.SetMemoryLimit(-1) }

// bound names a bound on what is held.
type bound string

// The bounds.
const (
	boundNone    bound = ""
	boundAnswer  bound = "answer"
	boundAccount bound = "account"
	boundTotal   bound = "total"
)

// heldAnswers keeps what is held for slow clients within its bounds. Its mutex
// guards the outboxes, too.
type heldAnswers struct {
	limits   HeldLimits
	counters *counters

	mu       sync.Mutex
	total    int64
	accounts map[string]int64
	boxes    map[*outbox]struct{} // that hold something
	room     chan struct{}        // closed when something held is gone; nil if nobody waits
}

func newHeldAnswers(l HeldLimits, c *counters) *heldAnswers {
	return &heldAnswers{limits: l, counters: c, accounts: map[string]int64{}, boxes: map[*outbox]struct{}{}}
}

// exceeded returns the bound that n more bytes of an answer would exceed. An answer
// of which nothing is held takes its next bytes in any case: its client waits for
// them. The caller holds the mutex.
func (h *heldAnswers) exceeded(b *outbox, n int) bound {
	more := int64(n)
	switch {
	case b.size == 0:
		return boundNone
	case b.size+more > h.limits.Answer:
		return boundAnswer
	case h.accounts[b.account]+more > h.limits.Account:
		return boundAccount
	case h.total+more > h.limits.Total:
		return boundTotal
	}
	return boundNone
}

// add counts n bytes of an answer in, or out where n is negative. The caller holds
// the mutex.
func (h *heldAnswers) add(b *outbox, n int64) {
	b.size += n
	h.total += n
	h.accounts[b.account] += n
	if h.accounts[b.account] == 0 {
		delete(h.accounts, b.account)
	}
	if b.size == 0 {
		delete(h.boxes, b)
	} else {
		h.boxes[b] = struct{}{}
	}
	if n < 0 && h.room != nil {
		close(h.room)
		h.room = nil
	}
}

// awaitRoom returns what is closed when something held is gone. The caller holds the
// mutex.
func (h *heldAnswers) awaitRoom() <-chan struct{} {
	if h.room == nil {
		h.room = make(chan struct{})
	}
	return h.room
}

// makeRoom ends the answer of which most is held, among those that share the bound
// that keeps b from going on.
func (h *heldAnswers) makeRoom(b *outbox, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.exceeded(b, n)
	victim := b
	for other := range h.boxes {
		shares := at == boundTotal || at == boundAccount && other.account == b.account
		if shares && other.err == nil && other.size > victim.size {
			victim = other
		}
	}
	if at == boundNone || victim.err != nil {
		return
	}
	klog.InfoS("Answer ended: its client reads too slowly", "request", victim.request, "code", int(walnutramp.CodeClientSlow),
		"account", victim.account, "held", victim.size, "bound", at, "total", h.total)
	h.counters.slowClient(at)
	victim.fail(errClientSlow)
}

// bytes returns how much is held.
func (h *heldAnswers) bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}
