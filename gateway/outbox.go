package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// A client that reads slowly must not hold its target up: the target's slot would be
// taken for as long, and a target cuts off an answer that stays unread. So what a
// target sends is read at once, and waits for its client in an outbox.

// heldPatience is how long a client may leave no room in its outbox before its answer
// is ended: a target waits some seconds for its answer to be read.
const heldPatience = 1500 * time.Millisecond

// errClientSlow ends an answer whose client reads too slowly.
var errClientSlow = errors.New("the client reads too slowly")

// outbox is what was read of one answer and its client does not have yet. The mutex
// of heldAnswers guards it.
type outbox struct {
	held    *heldAnswers
	request string
	account string
	w       http.ResponseWriter
	control *http.ResponseController

	waiting []byte
	size    int64 // of what waits and what is being written
	last    bool  // nothing more comes
	err     error // why nothing more is written
	put     chan struct{}
	done    chan struct{} // closed when the writer has ended
}

// newOutbox returns the outbox of a call whose answer's head is written.
func (h *heldAnswers) newOutbox(c *call, w http.ResponseWriter) *outbox {
	b := &outbox{
		held: h, request: c.id, account: c.account.Name, w: w, control: http.NewResponseController(w),
		put: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go b.writeAlways()
	return b
}

// Put takes a copy of the answer's next bytes. It waits while there is no room for
// them, so that nothing more is read from the target meanwhile.
func (b *outbox) Put(ctx context.Context, p []byte) error {
	var late <-chan time.Time
	for {
		room, err := b.add(p)
		if room == nil {
			return err
		}
		if late == nil {
			timer := time.NewTimer(heldPatience)
			defer timer.Stop()
			late = timer.C
		}
		select {
		case <-room:
		case <-late:
			b.held.makeRoom(b, len(p))
			late = nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// add takes the bytes, or returns what is closed when there may be room for them.
func (b *outbox) add(p []byte) (room <-chan struct{}, err error) {
	b.held.mu.Lock()
	defer b.held.mu.Unlock()
	if b.err != nil {
		return nil, b.err
	}
	if b.held.exceeded(b, len(p)) != boundNone {
		return b.held.awaitRoom(), nil
	}
	b.waiting = append(b.waiting, p...)
	b.held.add(b, int64(len(p)))
	b.wake()
	return nil, nil
}

// wake wakes the writer.
func (b *outbox) wake() {
	select {
	case b.put <- struct{}{}:
	default:
	}
}

// Finish waits until the client has all, or ctx ends.
func (b *outbox) Finish(ctx context.Context) error {
	b.held.mu.Lock()
	b.last = true
	b.held.mu.Unlock()
	b.wake()
	select {
	case <-b.done:
	case <-ctx.Done():
		b.Stop(ctx.Err())
	}
	b.held.mu.Lock()
	defer b.held.mu.Unlock()
	return b.err
}

// restTime is for passing on what is left of an answer that is given up.
const restTime = 100 * time.Millisecond

// FinishSoon passes on what is left, as far as that takes no more than a moment.
func (b *outbox) FinishSoon() error {
	ctx, cancel := context.WithTimeout(context.Background(), restTime)
	defer cancel()
	return b.Finish(ctx)
}

// Stop drops what the client does not have yet. Nothing is written once it returns.
func (b *outbox) Stop(why error) {
	b.held.mu.Lock()
	b.fail(why)
	b.held.mu.Unlock()
	<-b.done
}

// fail ends writing, that of a blocked write, too; not where all is written. The
// caller holds the mutex.
func (b *outbox) fail(why error) {
	if b.err != nil || b.last && b.size == 0 {
		return
	}
	b.err = why
	// Only a writer over a connection can block, and that has deadlines.
	_ = b.control.SetWriteDeadline(time.Unix(1, 0))
	b.wake()
}

// writeAlways writes what is put in until all is written, or writing fails.
func (b *outbox) writeAlways() {
	defer close(b.done)
	for range b.put {
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

// next takes what is to be written now; over says that nothing follows.
func (b *outbox) next() (p []byte, over bool) {
	b.held.mu.Lock()
	defer b.held.mu.Unlock()
	if b.err != nil {
		b.held.add(b, -b.size)
		b.waiting = nil
		return nil, true
	}
	p, b.waiting = b.waiting, nil
	return p, b.last && len(p) == 0
}

func (b *outbox) write(p []byte) error {
	if _, err := b.w.Write(p); err != nil {
		return err
	}
	return b.control.Flush()
}

func (b *outbox) wrote(n int, err error) {
	b.held.mu.Lock()
	defer b.held.mu.Unlock()
	b.held.add(b, -int64(n))
	if b.err == nil {
		b.err = err
	}
}
