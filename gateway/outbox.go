package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Answers are read from targets without waiting for the client, into a bounded buffer: a
// slow client would otherwise occupy the target's slot, and targets abort answers that
// are not read.

// slowClientTimeout is how long a full buffer may block before an answer is aborted. It
// is shorter than the time for which targets wait for their answers to be read.
const slowClientTimeout = 1500 * time.Millisecond

// errClientSlow aborts an answer whose client reads too slowly.
var errClientSlow = errors.New("the client reads too slowly")

// responseBuffer holds what was read of one answer and not yet written to its client.
// The mutex of bufferAccounting guards it.
type responseBuffer struct {
	accounting *bufferAccounting
	request    string
	account    string
	w          http.ResponseWriter
	control    *http.ResponseController

	pending  []byte
	size     int64 // pending bytes and those being written
	complete bool  // no more bytes follow
	err      error // why writing stopped
	wakeup   chan struct{}
	done     chan struct{} // closed when the writer has stopped
}

// newResponseBuffer returns the buffer of a call whose answer's head is written, and
// starts its writer.
func (a *bufferAccounting) newResponseBuffer(c *call, w http.ResponseWriter) *responseBuffer {
	b := &responseBuffer{
		accounting: a, request: c.id, account: c.account.Name, w: w, control: http.NewResponseController(w),
		wakeup: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go b.writeLoop()
	return b
}

// Put appends a copy of p. It blocks while a buffer limit is reached, so that nothing more
// is read from the target meanwhile. After each slowClientTimeout of blocking, the answer
// with the largest buffer under that limit is aborted. The error is that of ctx, or why
// writing this answer stopped.
func (b *responseBuffer) Put(ctx context.Context, p []byte) error {
	var timeout <-chan time.Time
	for {
		freed, err := b.add(p)
		if freed == nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(slowClientTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-freed:
		case <-timeout:
			b.accounting.evictLargest(b, len(p))
			timeout = nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TryPut appends a copy of p unless a buffer limit is reached or writing has stopped.
func (b *responseBuffer) TryPut(p []byte) bool {
	freed, err := b.add(p)
	return freed == nil && err == nil
}

// add appends p, or returns a channel that is closed when there may be space for it.
func (b *responseBuffer) add(p []byte) (freed <-chan struct{}, err error) {
	b.accounting.mu.Lock()
	defer b.accounting.mu.Unlock()
	if b.err != nil {
		return nil, b.err
	}
	if b.accounting.exceeded(b, len(p)) != boundNone {
		return b.accounting.awaitSpace(), nil
	}
	b.pending = append(b.pending, p...)
	b.accounting.add(b, int64(len(p)))
	b.wake()
	return nil, nil
}

func (b *responseBuffer) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// Finish waits until everything is written to the client. If ctx ends before, the rest is
// discarded. The error says why not everything was written.
func (b *responseBuffer) Finish(ctx context.Context) error {
	b.accounting.mu.Lock()
	b.complete = true
	b.accounting.mu.Unlock()
	b.wake()
	select {
	case <-b.done:
	case <-ctx.Done():
		b.Stop(ctx.Err())
	}
	b.accounting.mu.Lock()
	defer b.accounting.mu.Unlock()
	return b.err
}

// drainTimeout bounds writing the remainder of an aborted answer.
const drainTimeout = 100 * time.Millisecond

// Drain writes the remaining bytes, for at most drainTimeout.
func (b *responseBuffer) Drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return b.Finish(ctx)
}

// Stop discards the pending bytes. Nothing is written after it returns.
func (b *responseBuffer) Stop(why error) {
	b.accounting.mu.Lock()
	b.fail(why)
	b.accounting.mu.Unlock()
	<-b.done
}

// fail stops the writer, also a blocked write, unless everything is written. The
// caller holds the mutex.
func (b *responseBuffer) fail(why error) {
	if b.err != nil || b.complete && b.size == 0 {
		return
	}
	b.err = why
	// Only writers to a connection can block, and those support deadlines.
	_ = b.control.SetWriteDeadline(time.Unix(1, 0))
	b.wake()
}

// writeLoop writes pending bytes until the answer is complete or writing fails.
func (b *responseBuffer) writeLoop() {
	defer close(b.done)
	for range b.wakeup {
		for {
			p, over := b.next()
			if over {
				return
			}
			if len(p) == 0 {
				break
			}
			b.wrote(len(p), b.write(p))
		}
	}
}

// next returns the bytes to write now; over reports that none follow.
func (b *responseBuffer) next() (p []byte, over bool) {
	b.accounting.mu.Lock()
	defer b.accounting.mu.Unlock()
	if b.err != nil {
		b.accounting.add(b, -b.size)
		b.pending = nil
		return nil, true
	}
	p, b.pending = b.pending, nil
	return p, b.complete && len(p) == 0
}

func (b *responseBuffer) write(p []byte) error {
	if _, err := b.w.Write(p); err != nil {
		return err
	}
	return b.control.Flush()
}

func (b *responseBuffer) wrote(n int, err error) {
	b.accounting.mu.Lock()
	defer b.accounting.mu.Unlock()
	b.accounting.add(b, -int64(n))
	if b.err == nil {
		b.err = err
	}
}
