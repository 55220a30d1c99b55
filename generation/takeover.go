package generation

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// Bounds of a search and of a takeover.
const (
	findWidth     = 8 // nodes asked first, by rank
	findTimeout   = 500 * time.Millisecond
	takeoverLimit = 5 * time.Second
	prepareRounds = 8
	roundPause    = 50 * time.Millisecond
)

// takeover is one takeover under way here; others wait for it.
type takeover struct {
	done chan struct{}
	g    *Generation
	err  error
}

// Continue returns the generation at position p, owned by this node: it is
// owned already, or it is taken over. The error is a *walnutramp.Error.
func (m *Manager) Continue(ctx context.Context, p walnutramp.Position) (*Generation, error) {
	if g := m.owned(p.Generation); g != nil {
		return m.revive(g)
	}
	found, err := m.find(ctx, FindArgs{ID: p.Generation})
	if err != nil {
		return nil, err
	}
	return m.takeOver(ctx, found)
}

// ByKey returns the generation that an account's key opened, taken over if
// another node owned it, or nil if no reachable node knows the key.
func (m *Manager) ByKey(ctx context.Context, account walnutramp.ClientAccount, key string) (*Generation, error) {
	var local FindReply
	m.store.Find(FindArgs{Account: account, Key: key}, &local)
	if g := m.owned(local.ID); local.Held && g != nil {
		return m.revive(g)
	}
	found, err := m.find(ctx, FindArgs{Account: account, Key: key})
	if walnutramp.HasCode(err, walnutramp.CodeGenerationUnknown) {
		return nil, nil
	}
	if err != nil {
		return nil, err
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

// revive goes on with a generation that stopped here but can be continued.
func (m *Manager) revive(g *Generation) (*Generation, error) {
	g.rec.mu.Lock()
	stopped := g.err != nil && !g.running && g.rec.owner == g
	if stopped && g.err.Code == walnutramp.CodeOutOfTargets {
		g.err = nil
	}
	stuck := g.err
	g.rec.mu.Unlock()
	if stuck != nil {
		return nil, stuck
	}
	if stopped && !g.launch(nil) {
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.Unknown, "the node is stopping")
	}
	return g, nil
}

// find asks the nodes that rank first, then the rest.
func (m *Manager) find(ctx context.Context, args FindArgs) (FindReply, error) {
	var best FindReply
	m.store.Find(args, &best)
	if best.Held {
		return best, nil
	}
	nodes := Rank(args.ID, m.cfg.Directory.Live())
	for len(nodes) > 0 && !best.Held {
		n := min(findWidth, len(nodes))
		best = m.ask(ctx, nodes[:n], args)
		nodes = nodes[n:]
	}
	if !best.Held {
		return best, walnutramp.NewError(walnutramp.CodeGenerationUnknown, walnutramp.Unknown, "no reachable node holds it")
	}
	return best, nil
}

// ask returns the first answer of a node that holds the generation. It may
// be old; the takeover then learns of what is newer.
func (m *Manager) ask(ctx context.Context, nodes []Node, args FindArgs) FindReply {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan FindReply, len(nodes))
	for _, n := range nodes {
		m.spawn(func() {
			var r FindReply
			m.cfg.Peers.Call(ctx, n.Node, Service+".Find", args, &r)
			replies <- r
		})
	}
	for range nodes {
		select {
		case r := <-replies:
			if r.Held {
				return r
			}
		case <-ctx.Done():
			return FindReply{}
		}
	}
	return FindReply{}
}

// takeOver makes this node the owner of what was found.
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
		m.cfg.Observe.TookOver(t.err)
		m.mu.Lock()
		delete(m.takeovers, found.ID)
		m.mu.Unlock()
		close(t.done)
	}
	select {
	case <-t.done:
		return t.g, t.err
	case <-ctx.Done():
		return nil, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown, "the caller left")
	}
}

func (m *Manager) runTakeover(found FindReply) (*Generation, error) {
	ctx, cancel := context.WithTimeout(m.ctx, takeoverLimit)
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
		return nil, walnutramp.NewError(walnutramp.CodeMoved, walnutramp.Unknown, "another node took it over meanwhile")
	}
	if err := g.waitInForce(ctx); err != nil {
		return nil, err
	}
	if !g.launch(nil) {
		return nil, walnutramp.NewError(walnutramp.CodeStopping, walnutramp.Unknown, "the node is stopping")
	}
	klog.V(1).InfoS("Took over", "generation", g.id, "epoch", p.epoch.Number, "tokens", len(st.Tokens))
	return g, nil
}

// promise is a majority's promise of an epoch.
type promise struct {
	epoch   Epoch
	members []Member // the replica set that promised
	best    Member   // the one that is furthest
}

// prepare makes a majority of the newest replica set promise an epoch to this
// node.
func (m *Manager) prepare(ctx context.Context, id walnutramp.GenerationID, newest Epoch, members []Member) (promise, error) {
	epoch := Epoch{Number: newest.Number + 1, Node: m.store.self.Node}
	for range prepareRounds {
		round := m.promises(ctx, id, epoch, members)
		if newest.Less(round.best.Epoch) {
			newest, members = round.best.Epoch, round.best.Members
			epoch.Number = max(epoch.Number, newest.Number+1)
			continue
		}
		if round.granted >= majority(len(members)) && round.best.Epoch == newest {
			return promise{epoch: epoch, members: members, best: round.bestMember}, nil
		}
		epoch.Number = max(epoch.Number, round.refusedBy.Number) + 1
		if !pause(ctx, roundPause) {
			break
		}
	}
	return promise{}, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
		"too few of the %d replicas answer", len(members)).WithRetryAfter(time.Second)
}

// promiseRound is what one round of prepare calls brought.
type promiseRound struct {
	granted    int
	best       PrepareReply // of the newest epoch, and there the furthest
	bestMember Member
	refusedBy  Epoch // newest epoch named by a refusal
	broken     BrokenRule
}

type memberReply struct {
	member Member
	reply  PrepareReply
}

// promises asks every member and returns as soon as a majority has promised.
func (m *Manager) promises(ctx context.Context, id walnutramp.GenerationID, epoch Epoch, members []Member) promiseRound {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan memberReply, len(members))
	for _, mem := range members {
		m.spawn(func() {
			args := PrepareArgs{ID: id, Epoch: epoch, To: mem.Incarnation}
			replies <- memberReply{mem, m.askPromise(ctx, mem, args)}
		})
	}
	round := promiseRound{broken: m.cfg.Broken}
	for range members {
		select {
		case r := <-replies:
			round.add(r)
		case <-ctx.Done():
			return round
		}
		if round.granted >= majority(len(members)) {
			break
		}
	}
	return round
}

func (m *Manager) askPromise(ctx context.Context, mem Member, args PrepareArgs) PrepareReply {
	var r PrepareReply
	if mem.Node == m.store.self.Node {
		m.store.Prepare(args, &r)
		return r
	}
	if m.cfg.Peers.Call(ctx, mem.Node, Service+".Prepare", args, &r) != nil {
		return PrepareReply{Code: walnutramp.CodeNoQuorum}
	}
	return r
}

func (round *promiseRound) add(r memberReply) {
	switch r.reply.Code {
	case walnutramp.CodeNotHeld, walnutramp.CodeWrongIncarnation:
		if round.broken == BreakAmnesia {
			round.granted++
		}
	case walnutramp.CodeOK:
		round.granted++
		if round.bestMember.Node == "" || r.reply.newer(round.best) {
			round.best = r.reply
			round.bestMember = r.member
		}
	case walnutramp.CodeStaleEpoch:
		if round.refusedBy.Less(r.reply.Promised) {
			round.refusedBy = r.reply.Promised
		}
	}
}

// newer reports whether a comes after b: a newer epoch, or more of the same.
func (a PrepareReply) newer(b PrepareReply) bool {
	if a.Epoch != b.Epoch {
		return b.Epoch.Less(a.Epoch)
	}
	if a.Tokens != b.Tokens {
		return a.Tokens > b.Tokens
	}
	if a.Source != b.Source {
		return a.Source > b.Source
	}
	return a.Final && !b.Final || a.Prompt && !b.Prompt
}

// fetch reads the state of the replica that is furthest.
func (m *Manager) fetch(ctx context.Context, id walnutramp.GenerationID, p promise) (State, error) {
	args := FetchArgs{ID: id, Epoch: p.epoch, To: p.best.Incarnation}
	var r FetchReply
	var err error
	if p.best == m.store.self {
		err = m.store.Fetch(args, &r)
	} else {
		err = m.cfg.Peers.Call(ctx, p.best.Node, Service+".Fetch", args, &r)
	}
	if err != nil || r.Code != walnutramp.CodeOK {
		return State{}, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
			"the furthest replica went away").WithRetryAfter(time.Second)
	}
	return r.State, nil
}

// adopt installs the state here under the epoch and offers it to the old and
// the new replica set. It returns nil if a newer epoch was promised meanwhile.
func (m *Manager) adopt(st State, epoch Epoch) *Generation {
	members := m.chooseMembers(st.Spec.ID, st.Members, nil)
	rec := m.store.getOrAdd(st.Spec)
	g := &Generation{m: m, rec: rec, id: st.Spec.ID, epoch: epoch, handle: m.newHandle(), sent: true, changed: make(chan struct{})}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if epoch.Less(rec.promised) {
		return nil
	}
	if rec.owner != nil {
		rec.owner.deposed()
	}
	g.previous = slices.Clone(st.Members)
	st.Epoch = epoch
	st.Members = members
	rec.promised = epoch
	rec.state = st
	rec.owner = g
	rec.touched = time.Now()
	g.cursors = m.cursors(union(members, g.previous))
	g.markAll()
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

func (g *Generation) waitInForce(ctx context.Context) error {
	for {
		g.rec.mu.Lock()
		err, ready, changed := g.err, g.previous == nil, g.changed
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

// wantReplacement starts a change of the replica set if that gives a better
// one: as many members as the bundle asks for, none of them failing. The
// caller holds the mutex.
func (g *Generation) wantReplacement() {
	if g.changing || g.previous != nil || !g.busy() || g.rec.owner != g {
		return
	}
	better := g.m.chooseMembers(g.id, g.rec.state.Members, g.failing())
	if len(better) < max(len(g.rec.state.Members), g.m.cfg.Guard().Replicas) {
		return
	}
	g.changing = true
	if !g.m.spawn(g.replaceLost) {
		g.changing = false
	}
}

// replaceLost gives the generation a new epoch and a replica set without the
// nodes that are lost. The old set's majority must first promise the epoch;
// while it can't, output stands still, and after a while the caller is told.
func (g *Generation) replaceLost() {
	ctx, cancel := context.WithTimeout(g.m.ctx, g.m.cfg.Patience)
	defer cancel()
	err := g.changeMembers(ctx)
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.changing = false
	if err != nil && g.rec.owner == g && g.m.ctx.Err() == nil {
		g.end(walnutramp.AsError(err))
	}
}

func (g *Generation) changeMembers(ctx context.Context) error {
	g.rec.mu.Lock()
	id, epoch, members := g.id, g.epoch, slices.Clone(g.rec.state.Members)
	g.rec.mu.Unlock()
	for {
		p, err := g.m.prepare(ctx, id, epoch, members)
		if err == nil {
			return g.reopen(ctx, p.epoch, p.members)
		}
		if !pause(ctx, roundPause) {
			return err
		}
	}
}

// reopen starts the promised epoch with this node's own log, which as the
// sole owner's is the longest, on a replica set of live nodes.
func (g *Generation) reopen(ctx context.Context, epoch Epoch, former []Member) error {
	g.rec.mu.Lock()
	if g.rec.owner != g || epoch.Less(g.rec.promised) || g.err != nil {
		g.rec.mu.Unlock()
		return nil
	}
	members := g.m.chooseMembers(g.id, former, g.failing())
	g.epoch = epoch
	g.handle = g.m.newHandle()
	g.previous = former
	g.rec.promised = epoch
	g.rec.state.Epoch = epoch
	g.rec.state.Members = members
	g.cursors = g.m.cursors(union(members, former))
	g.changing = false
	g.markAll()
	g.release()
	g.rec.mu.Unlock()
	return g.waitInForce(ctx)
}

// failing returns the members that do not answer or will never count again.
// The caller holds the mutex.
func (g *Generation) failing() []Member {
	var members []Member
	for _, c := range g.cursors {
		if c.lost || !c.failing.IsZero() {
			members = append(members, c.member)
		}
	}
	return members
}
