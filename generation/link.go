package generation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// Timing and size of messages to replicas.
const (
	callTimeout    = 1 * time.Second
	firstRetry     = 20 * time.Millisecond
	lastRetry      = 500 * time.Millisecond
	maxBatchTokens = 1 << 16
)

// link is the one task that replicates to one node. While a call is under
// way, what else comes up waits and shares the next one.
type link struct {
	m    *Manager
	node walnutramp.NodeName
	wake chan struct{}

	mu    sync.Mutex
	dirty map[*Generation]struct{}
	order []*Generation
}

func newLink(m *Manager, node walnutramp.NodeName) *link {
	return &link{m: m, node: node, wake: make(chan struct{}, 1), dirty: map[*Generation]struct{}{}}
}

// mark says that g has something for the node.
func (l *link) mark(g *Generation) {
	l.mu.Lock()
	if _, ok := l.dirty[g]; !ok {
		l.dirty[g] = struct{}{}
		l.order = append(l.order, g)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	retry := firstRetry
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if !l.coalesce(ctx) {
			return
		}
		if l.send(ctx) {
			retry = firstRetry
			continue
		}
		if !pause.For(ctx, retry) {
			return
		}
		retry = min(2*retry, lastRetry)
	}
}

// coalesce lets more come up before a call, as long as the bundle allows;
// false means ctx ended.
func (l *link) coalesce(ctx context.Context) bool {
	wait := l.m.cfg.Guard().Coalesce
	return wait <= 0 || pause.For(ctx, wait)
}

// send replicates all that is marked; false means the node didn't answer.
func (l *link) send(ctx context.Context) bool {
	for {
		batch := l.collect()
		if batch.empty() {
			return true
		}
		if !l.call(ctx, batch) {
			return false
		}
		if !l.coalesce(ctx) {
			return false
		}
	}
}

// batch is what one call carries to one run of the node.
type batch struct {
	to      walnutramp.Incarnation
	gens    []*Generation // of appends
	appends []Append
	plain   Columns
	owners  []*Generation // of plain
	tokens  int
}

func (b *batch) empty() bool { return len(b.gens)+len(b.owners) == 0 }

func (b *batch) add(g *Generation, a *Append) {
	b.tokens += len(a.Tokens) + len(a.PromptTokens)
	if a.plain() {
		b.plain.add(a)
		b.owners = append(b.owners, g)
		return
	}
	b.gens = append(b.gens, g)
	b.appends = append(b.appends, *a)
}

// collect takes what is marked, as far as one call carries it; the rest stays
// marked.
func (l *link) collect() batch {
	l.mu.Lock()
	marked := l.order
	l.order = nil
	clear(l.dirty)
	l.mu.Unlock()
	var b batch
	for i, g := range marked {
		if b.tokens > maxBatchTokens {
			l.markAgain(marked[i:])
			break
		}
		a, replica, ok := g.appendFor(l.node)
		if !ok {
			continue
		}
		if !b.empty() && replica.Incarnation != b.to {
			l.mark(g)
			continue
		}
		b.to = replica.Incarnation
		b.add(g, &a)
	}
	return b
}

func (l *link) markAgain(gens []*Generation) {
	for _, g := range gens {
		l.mark(g)
	}
}

func (l *link) call(ctx context.Context, b batch) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := ReplicateArgs{From: l.m.store.self, To: b.to, Appends: b.appends, Plain: b.plain}
	var reply ReplicateReply
	err := l.m.cfg.Peers.Call(ctx, l.node, Service+".Replicate", args, &reply)
	if err != nil || len(reply.Acks) != len(b.gens) || len(reply.Plain) != len(b.owners) {
		now := time.Now()
		for _, g := range slices.Concat(b.gens, b.owners) {
			g.unreachable(l.node, now)
			l.mark(g)
		}
		return false
	}
	for i, held := range reply.Plain {
		b.owners[i].held(l.node, Handle(b.plain.Handles[i]), held)
	}
	for i, ack := range reply.Acks {
		b.gens[i].acked(l.node, b.appends[i].Handle, ack)
	}
	return true
}
