package generation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// Limits of the calls to replicas.
const (
	callTimeout    = 1 * time.Second
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = 500 * time.Millisecond
	maxBatchTokens = 1 << 16
)

// replicator replicates to one node. At most one call is in flight; changes made
// meanwhile share the next one.
type replicator struct {
	m    *Manager
	node walnutramp.NodeName
	wake chan struct{}

	mu     sync.Mutex
	queued map[*Generation]struct{}
	queue  []*Generation
}

func newReplicator(m *Manager, node walnutramp.NodeName) *replicator {
	return &replicator{m: m, node: node, wake: make(chan struct{}, 1), queued: map[*Generation]struct{}{}}
}

// enqueue schedules g for replication to the node.
func (r *replicator) enqueue(g *Generation) {
	r.mu.Lock()
	if _, ok := r.queued[g]; !ok {
		r.queued[g] = struct{}{}
		r.queue = append(r.queue, g)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *replicator) run(ctx context.Context) {
	retry := minRetryDelay
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		if !r.coalesce(ctx) {
			return
		}
		if r.send(ctx) {
			retry = minRetryDelay
			continue
		}
		if !pause.For(ctx, retry) {
			return
		}
		retry = min(2*retry, maxRetryDelay)
	}
}

// coalesce delays a call by the configured time, so that it carries more; false if ctx
// ended.
func (r *replicator) coalesce(ctx context.Context) bool {
	wait := r.m.cfg.Guard().Coalesce
	return wait <= 0 || pause.For(ctx, wait)
}

// send replicates everything that is queued; false if the node did not answer or ctx
// ended.
func (r *replicator) send(ctx context.Context) bool {
	for {
		batch := r.collect()
		if batch.empty() {
			return true
		}
		if !r.call(ctx, batch) {
			return false
		}
		if !r.coalesce(ctx) {
			return false
		}
	}
}

// batch is the content of one call to one incarnation of the node.
type batch struct {
	to        walnutramp.Incarnation
	gens      []*Generation // of appends, in order
	appends   []Append
	plain     Columns
	plainGens []*Generation // of plain, in order
	tokens    int
}

func (b *batch) empty() bool { return len(b.gens)+len(b.plainGens) == 0 }

func (b *batch) add(g *Generation, a *Append) {
	b.tokens += len(a.Tokens) + len(a.PromptTokens)
	if a.tokensOnly() {
		b.plain.add(a)
		b.plainGens = append(b.plainGens, g)
		return
	}
	b.gens = append(b.gens, g)
	b.appends = append(b.appends, *a)
}

// collect dequeues as much as one call to one incarnation of the node carries.
func (r *replicator) collect() batch {
	r.mu.Lock()
	queue := r.queue
	r.queue = nil
	clear(r.queued)
	r.mu.Unlock()
	var b batch
	for i, g := range queue {
		if b.tokens > maxBatchTokens {
			r.requeue(queue[i:])
			break
		}
		a, replica, ok := g.appendFor(r.node)
		if !ok {
			continue
		}
		if !b.empty() && replica.Incarnation != b.to {
			r.enqueue(g)
			continue
		}
		b.to = replica.Incarnation
		b.add(g, &a)
	}
	return b
}

func (r *replicator) requeue(gens []*Generation) {
	for _, g := range gens {
		r.enqueue(g)
	}
}

func (r *replicator) call(ctx context.Context, b batch) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := ReplicateArgs{From: r.m.store.self, To: b.to, Appends: b.appends, Plain: b.plain}
	var reply ReplicateReply
	err := r.m.cfg.Peers.Call(ctx, r.node, Service+".Replicate", args, &reply)
	if err != nil || len(reply.Acks) != len(b.gens) || len(reply.Plain) != len(b.plainGens) {
		now := time.Now()
		for _, g := range slices.Concat(b.gens, b.plainGens) {
			g.handleUnreachable(r.node, now)
			r.enqueue(g)
		}
		return false
	}
	for i, held := range reply.Plain {
		b.plainGens[i].handleTokenAck(r.node, Handle(b.plain.Handles[i]), held)
	}
	for i, ack := range reply.Acks {
		b.gens[i].handleAck(r.node, b.appends[i].Handle, ack)
	}
	return true
}
