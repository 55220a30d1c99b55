package generation

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// Limits of lookups and takeovers.
const (
	findBatch       = 8 // nodes queried at a time, by rank
	findTimeout     = 500 * time.Millisecond
	takeoverTimeout = 5 * time.Second
	prepareRounds   = 8
	roundDelay      = 50 * time.Millisecond
)

// takeover is a takeover in progress at this node; concurrent callers share it.
type takeover struct {
	done chan struct{}
	g    *Generation
	err  error
}

// Continue returns the generation at position p, after taking it over if this node does
// not own it. The error is a *walnutramp.Error.
func (m *Manager) Continue(ctx context.Context, p walnutramp.Position) (*Generation, error) {
	if g := m.owned(p.Generation); g != nil {
		return m.resumeStopped(g)
	}
	found, err := m.find(ctx, FindArgs{ID: p.Generation})
	if err != nil {
		return nil, err
	}
	return m.takeOver(ctx, found)
}

// ByKey returns the generation that an account's key opened, after taking it over if this
// node does not own it, or nil if no reachable node knows the key.
func (m *Manager) ByKey(ctx context.Context, account walnutramp.ClientAccount, key string) (*Generation, error) {
	var local FindReply
	m.store.Find(FindArgs{Account: account, Key: key}, &local)
	if g := m.owned(local.ID); local.Held && g != nil {
		return m.resumeStopped(g)
	}
	found, err := m.find(ctx, FindArgs{Account: account, Key: key})
	if err != nil {
		return nil, nil // unknown key: generations may be run again
	}
	return m.takeOver(ctx, found)
}

func (m *Manager) owned(id walnutramp.GenerationID) *Generation {
	r := m.store.get(id)
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owner
}

// resumeStopped restarts an owned generation that stopped for lack of targets or
// followers.
func (m *Manager) resumeStopped(g *Generation) (*Generation, error) {
	g.rec.mu.Lock()
	stopped := g.err != nil && !g.running && g.rec.owner == g
	if stopped && g.err.Code == walnutramp.CodeOutOfTargets {
		g.err = nil
	}
	failure := g.err
	g.rec.mu.Unlock()
	if failure != nil {
		return nil, failure
	}
	if stopped && !g.launch(nil) {
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.Unknown, "the node is stopping")
	}
	return g, nil
}

// find looks up a generation in this node's store, then on the other nodes in the order
// of Rank. The error is CodeNotProvable if nodes that may hold the generation did not
// answer, else CodeGenerationUnknown.
func (m *Manager) find(ctx context.Context, args FindArgs) (FindReply, error) {
	var best FindReply
	m.store.Find(args, &best)
	if best.Held {
		return best, nil
	}
	nodes := Rank(args.ID, m.cfg.Directory.Known())
	unanswered := 0
	for len(nodes) > 0 && !best.Held {
		n := min(findBatch, len(nodes))
		var answered int
		best, answered = m.queryNodes(ctx, nodes[:n], args)
		unanswered += n - answered
		nodes = nodes[n:]
	}
	if best.Held {
		return best, nil
	}
	if unanswered > 0 {
		return best, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
			"%d nodes that may hold the generation did not answer", unanswered).WithRetryAfter(findRetryAfter)
	}
	return best, walnutramp.NewError(walnutramp.CodeGenerationUnknown, walnutramp.Unknown, "no node holds it")
}

// findRetryAfter is the Retry-After of a failed lookup.
const findRetryAfter = 500 * time.Millisecond

// queryNodes returns the first answer of a node that holds the generation, and how many
// nodes answered. The answer may be outdated; the takeover detects that.
func (m *Manager) queryNodes(ctx context.Context, nodes []Node, args FindArgs) (FindReply, int) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan *FindReply, len(nodes))
	for _, n := range nodes {
		m.spawn(func() {
			var r FindReply
			if m.cfg.Peers.Call(ctx, n.Node, Service+".Find", args, &r) != nil {
				replies <- nil
				return
			}
			replies <- &r
		})
	}
	answered := 0
	for range nodes {
		select {
		case r := <-replies:
			if r == nil {
				continue
			}
			answered++
			if r.Held {
				return *r, answered
			}
		case <-ctx.Done():
			return FindReply{}, answered
		}
	}
	return FindReply{}, answered
}

// takeOver makes this node the owner of a generation that was found.
func (m *Manager) takeOver(ctx context.Context, found FindReply) (*Generation, error) {
	m.mu.Lock()
	t := m.takeovers[found.ID]
	first := t == nil
	if first {
		t = &takeover{done: make(chan struct{})}
		m.takeovers[found.ID] = t
	}
	m.mu.Unlock()
	if first {
		t.g, t.err = m.runTakeover(found)
		m.cfg.Observe.TakeoverFinished(t.err)
		m.mu.Lock()
		delete(m.takeovers, found.ID)
		m.mu.Unlock()
		close(t.done)
	}
	select {
	case <-t.done:
		return t.g, t.err
	case <-ctx.Done():
		return nil, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown, "the caller disconnected")
	}
}

func (m *Manager) runTakeover(found FindReply) (*Generation, error) {
	ctx, cancel := context.WithTimeout(m.ctx, takeoverTimeout)
	defer cancel()
	p, err := m.prepare(ctx, found.ID, found.Epoch, found.Members)
	if err != nil {
		return nil, err
	}
	st, err := m.fetch(ctx, found.ID, p)
	if err != nil {
		return nil, err
	}
	g := m.adopt(st, p.epoch)
	if g == nil {
		return nil, walnutramp.NewError(walnutramp.CodeMoved, walnutramp.Unknown, "another node took over the generation meanwhile")
	}
	if err := g.waitEpochAccepted(ctx); err != nil {
		return nil, err
	}
	if !g.launch(nil) {
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.Unknown, "the node is stopping")
	}
	klog.V(1).InfoS("Generation taken over", "generation", g.id, "epoch", p.epoch.Number, "tokens", len(st.Tokens))
	return g, nil
}

// adopt installs the state under the epoch and replicates it to the former and the new
// replica set. It returns nil if a newer epoch has been promised meanwhile.
func (m *Manager) adopt(st State, epoch Epoch) *Generation {
	members := m.chooseMembers(st.Spec.ID, st.Members, nil)
	rec := m.store.getOrAdd(st.Spec)
	g := &Generation{m: m, rec: rec, id: st.Spec.ID, epoch: epoch, handle: m.newHandle(), dispatched: true, changed: make(chan struct{})}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if epoch.Less(rec.promised) {
		return nil
	}
	if rec.owner != nil {
		rec.owner.depose()
	}
	g.previousMembers = slices.Clone(st.Members)
	st.Epoch = epoch
	st.Members = members
	rec.promised = epoch
	rec.state = st
	rec.owner = g
	rec.lastUsed = time.Now()
	g.cursors = m.cursors(union(members, g.previousMembers))
	g.replicateAll()
	g.release()
	return g
}

func union(a, b []Member) []Member {
	u := slices.Clone(a)
	for _, m := range b {
		if !slices.Contains(u, m) {
			u = append(u, m)
		}
	}
	return u
}

func (g *Generation) waitEpochAccepted(ctx context.Context) error {
	for {
		g.rec.mu.Lock()
		err, ready, changed := g.err, g.previousMembers == nil, g.changed
		g.rec.mu.Unlock()
		if err != nil {
			return err
		}
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
				"no majority accepted the takeover").WithRetryAfter(time.Second)
		}
	}
}
