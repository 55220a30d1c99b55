package gateway

import (
	"runtime/debug"
	"sync"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// BufferLimits bound, in bytes, the buffered part of answers whose clients read slowly: of
// one answer, of all answers to one client account, and of all answers.
type BufferLimits struct {
	Answer  int64
	Account int64
	Total   int64
}

const (
	// bufferShare is the fraction of the process's memory for all buffered answers.
	bufferShare = 1.0 / 8
	// accountShare is the fraction of that for one client account, so that one
	// account's clients can't use all of it.
	accountShare = 0.5
	// answerShare is the fraction of the total for one answer.
	answerShare = 1.0 / 64
	// minAnswerLimit is the least limit for one answer, in bytes; it fits most
	// streams whole.
	minAnswerLimit = 64 << 10
	// assumedProcessMemory is the memory assumed for a process without a memory
	// limit, and the most that is considered, in bytes.
	assumedProcessMemory = 256 << 20
)

// BufferLimitsOf returns the default limits for a process with the given memory in bytes.
func BufferLimitsOf(memory int64) BufferLimits {
	total := bufferShare * float64(min(memory, assumedProcessMemory))
	return BufferLimits{
		Answer: max(minAnswerLimit, int64(answerShare*total)), Account: int64(accountShare * total), Total: int64(total),
	}
}

// processMemory returns the memory limit of this process, in bytes.
func processMemory() int64 { return debug.SetMemoryLimit(-1) }

// bound names a buffer limit, in logs and metrics.
type bound string

// The bounds.
const (
	boundNone    bound = ""
	boundAnswer  bound = "answer"
	boundAccount bound = "account"
	boundTotal   bound = "total"
)

// bufferAccounting keeps the buffers of all answers within their limits. Its mutex
// also guards every responseBuffer.
type bufferAccounting struct {
	limits   BufferLimits
	counters *counters

	mu       sync.Mutex
	total    int64
	accounts map[string]int64
	nonEmpty map[*responseBuffer]struct{}
	freed    chan struct{} // closed when buffered bytes are released; nil if nobody waits
}

func newBufferAccounting(l BufferLimits, c *counters) *bufferAccounting {
	return &bufferAccounting{limits: l, counters: c, accounts: map[string]int64{}, nonEmpty: map[*responseBuffer]struct{}{}}
}

// exceeded returns the limit that n more bytes of an answer would exceed. An empty
// buffer always accepts, so that a client that keeps up can make progress. The caller
// holds the mutex.
func (a *bufferAccounting) exceeded(b *responseBuffer, n int) bound {
	added := int64(n)
	switch {
	case b.size == 0:
		return boundNone
	case b.size+added > a.limits.Answer:
		return boundAnswer
	case a.accounts[b.account]+added > a.limits.Account:
		return boundAccount
	case a.total+added > a.limits.Total:
		return boundTotal
	}
	return boundNone
}

// add adds n buffered bytes of an answer, or removes them if n is negative. The caller
// holds the mutex.
func (a *bufferAccounting) add(b *responseBuffer, n int64) {
	b.size += n
	a.total += n
	a.accounts[b.account] += n
	if a.accounts[b.account] == 0 {
		delete(a.accounts, b.account)
	}
	if b.size == 0 {
		delete(a.nonEmpty, b)
	} else {
		a.nonEmpty[b] = struct{}{}
	}
	if n < 0 && a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// awaitSpace returns a channel that is closed when buffered bytes are released. The
// caller holds the mutex.
func (a *bufferAccounting) awaitSpace() <-chan struct{} {
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// evictLargest aborts the answer with the largest buffer among those that share the
// limit that blocks b.
func (a *bufferAccounting) evictLargest(b *responseBuffer, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.exceeded(b, n)
	victim := b
	for other := range a.nonEmpty {
		shares := limit == boundTotal || limit == boundAccount && other.account == b.account
		if shares && other.err == nil && other.size > victim.size {
			victim = other
		}
	}
	if limit == boundNone || victim.err != nil {
		return
	}
	klog.InfoS("Answer aborted: client reads too slowly", "request", victim.request, "code", int(walnutramp.CodeClientSlow),
		"account", victim.account, "held", victim.size, "bound", limit, "total", a.total)
	a.counters.slowClient(limit)
	victim.fail(errClientSlow)
}

// bytes returns the number of buffered bytes.
func (a *bufferAccounting) bytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
