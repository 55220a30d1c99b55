package loadshare

import (
	"context"
	"sync"
	"time"
)

// pendingReplies matches the replies of other nodes to the questions that wait for them.
type pendingReplies[R any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan R
}

// start registers a question to a number of nodes and returns its ID and where its replies
// arrive.
func (p *pendingReplies[R]) start(nodes int) (uint64, <-chan R) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan R{}
	}
	p.lastID++
	replies := make(chan R, nodes)
	p.waiting[p.lastID] = replies
	return p.lastID, replies
}

// end removes a question.
func (p *pendingReplies[R]) end(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// deliver passes a reply to the question that waits for it. It reports whether there is
// one: a late or duplicate reply is dropped.
func (p *pendingReplies[R]) deliver(id uint64, reply R) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	replies := p.waiting[id]
	if replies == nil {
		return false
	}
	select {
	case replies <- reply:
		return true
	default:
		return false
	}
}

// await waits for one reply, for a time at most.
func await[R any](ctx context.Context, replies <-chan R, d time.Duration) (reply R, ok bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case reply = <-replies:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return reply, false
}
