package generation

import (
	"context"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
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
		if wait := l.m.cfg.Guard().Coalesce; wait > 0 && !pause(ctx, wait) {
			return
		}
		if l.send(ctx) {
			retry = firstRetry
			continue
		}
		if !pause(ctx, retry) {
			return
		}
		retry = min(2*retry, lastRetry)
	}
}

// send replicates all that is marked; false means the node didn't answer.
func (l *link) send(ctx context.Context) bool {
	for {
		gens, appends := l.collect()
		if len(appends) == 0 {
			return true
		}
		if !l.call(ctx, gens, appends) {
			return false
		}
	}
}

func (l *link) collect() ([]*Generation, []Append) {
	l.mu.Lock()
	marked := l.order
	l.order = nil
	clear(l.dirty)
	l.mu.Unlock()
	var gens []*Generation
	var appends []Append
	tokens := 0
	for i, g := range marked {
		if tokens > maxBatchTokens {
			l.markAgain(marked[i:])
			break
		}
		a, ok := g.appendFor(l.node)
		if !ok {
			continue
		}
		tokens += len(a.Tokens) + len(a.PromptTokens)
		gens = append(gens, g)
		appends = append(appends, a)
	}
	return gens, appends
}

func (l *link) markAgain(gens []*Generation) {
	for _, g := range gens {
		l.mark(g)
	}
}

func (l *link) call(ctx context.Context, gens []*Generation, appends []Append) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ReplicateReply
	err := l.m.cfg.Peers.Call(ctx, l.node, Service+".Replicate", ReplicateArgs{Appends: appends}, &reply)
	if err != nil || len(reply.Acks) != len(appends) {
		now := time.Now()
		for _, g := range gens {
			g.unreachable(l.node, now)
		}
		l.markAgain(gens)
		return false
	}
	for i, ack := range reply.Acks {
		gens[i].acked(l.node, appends[i].Epoch, ack)
	}
	return true
}

// pause waits for d; false means ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
