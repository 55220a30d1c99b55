package generation

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/quarantine"
)

// Generation is a generation that this node owns. Its replicated state is in the node's
// record, whose mutex also guards the fields here.
type Generation struct {
	m   *Manager
	rec *record
	id  walnutramp.GenerationID

	epoch           Epoch
	handle          Handle // identifies the epoch to this node's replicas
	cursors         map[walnutramp.NodeName]*cursor
	previousMembers []Member // former set, whose majority must still accept the epoch; nil once accepted
	reconfiguring   bool     // a change of the replica set is in progress

	released      walnutramp.Offset
	finalReleased bool
	err           *walnutramp.Error // why this node releases no more
	dispatched    bool              // an engine may have started the request
	crashProbe    *quarantine.Probe // checks whether the engine whose connection broke last has crashed; used by feed only
	changed       chan struct{}     // closed and replaced at every change that followers wait for

	followers   int
	orphanTimer *time.Timer
	running     bool
	stop        context.CancelFunc
}

// cursor is the replication progress of one replica.
type cursor struct {
	member       Member
	opened       bool              // the replica has accepted the epoch
	held         walnutramp.Offset // tokens that the replica holds
	prompt       bool              // the replica holds the prompt's token IDs
	source       int               // Seq of the newest Source that the replica holds
	final        bool              // the replica holds the end
	failingSince time.Time         // zero while the replica answers
	restarted    bool              // the incarnation is gone and never counts again
}

// Batch is output that is released together.
type Batch struct {
	To     walnutramp.Offset // offset after Text
	Text   string
	Tokens int
	Final  *Final // set at the end of the generation
}

// ID returns the generation's identity.
func (g *Generation) ID() walnutramp.GenerationID { return g.id }

// BodyDigest returns the digest of the opening request's body.
func (g *Generation) BodyDigest() string {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.BodyDigest
}

// Chat reports whether the generation answers a chat request.
func (g *Generation) Chat() bool {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Chat
}

// Model returns the model of the generation.
func (g *Generation) Model() walnutramp.ModelName {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Model
}

// Account returns the client account of the generation.
func (g *Generation) Account() walnutramp.ClientAccount {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Account
}

// Follow registers a follower; the returned function removes it. A generation without a
// key is stopped after OrphanGrace without followers.
func (g *Generation) Follow() (leave func()) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.followers++
	if g.orphanTimer != nil {
		g.orphanTimer.Stop()
		g.orphanTimer = nil
	}
	return g.unfollow
}

func (g *Generation) unfollow() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.followers--
	g.rec.lastUsed = time.Now()
	if g.followers > 0 || g.rec.state.Spec.Key != "" || !g.running {
		return
	}
	g.orphanTimer = time.AfterFunc(g.m.cfg.OrphanGrace, g.abandon)
}

// abandon stops a generation without followers; it can be resumed later.
func (g *Generation) abandon() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.followers > 0 || !g.running {
		return
	}
	g.terminate(walnutramp.NewError(walnutramp.CodeOutOfTargets, walnutramp.Unknown, "the generation was stopped: no client followed it"))
}

// Next returns the output released after offset from, or the end of the generation, and
// waits for either. The error is a *walnutramp.Error, or that of ctx.
func (g *Generation) Next(ctx context.Context, from walnutramp.Offset) (Batch, error) {
	for {
		b, changed, err := g.readReleased(from)
		if err != nil || b.Tokens > 0 || b.Final != nil {
			return b, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (g *Generation) readReleased(from walnutramp.Offset) (Batch, <-chan struct{}, error) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	st := &g.rec.state
	if from > g.released && g.previousMembers == nil && from > walnutramp.Offset(len(st.Tokens)) {
		return Batch{}, nil, walnutramp.NewError(walnutramp.CodeBadPosition, walnutramp.Unknown,
			"offset %d is beyond what was released", from)
	}
	if from < g.released {
		b := Batch{To: g.released, Text: joinText(st.Tokens[from:g.released]), Tokens: int(g.released - from)}
		if g.finalReleased {
			b.Final = st.Final
		}
		return b, nil, nil
	}
	if g.finalReleased {
		return Batch{To: from, Final: st.Final}, nil, nil
	}
	if g.err != nil {
		return Batch{}, nil, g.err
	}
	return Batch{}, g.changed, nil
}

func joinText(tokens []walnutramp.Token) string {
	if len(tokens) == 1 {
		return tokens[0].Text
	}
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

// notify wakes followers. The caller holds the record's mutex.
func (g *Generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// terminate stops the work on this node with an error. The caller holds the mutex.
func (g *Generation) terminate(err *walnutramp.Error) {
	if g.err != nil || g.finalReleased {
		return
	}
	g.err = err
	if g.stop != nil {
		g.stop()
	}
	g.notify()
}

// depose ends this node's ownership after a newer epoch was seen. The caller holds the
// mutex.
func (g *Generation) depose() {
	g.rec.owner = nil
	g.terminate(walnutramp.NewError(walnutramp.CodeMoved, walnutramp.Unknown, "another node owns the generation now"))
}

// active reports whether the generation runs or has followers. The caller holds the
// mutex.
func (g *Generation) active() bool { return g.running || g.followers > 0 }

// appendTokens appends to the log and starts replication.
func (g *Generation) appendTokens(tokens []walnutramp.Token, final *Final) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.err != nil {
		return
	}
	st := &g.rec.state
	st.Tokens = append(st.Tokens, tokens...)
	if final != nil {
		st.Final = final
	}
	g.rec.lastUsed = time.Now()
	g.release()
	g.replicateAll()
}

func (g *Generation) setPromptTokens(ids []walnutramp.TokenID) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	st := &g.rec.state
	if st.PromptTokens == nil && g.err == nil {
		st.PromptTokens = ids
		g.replicateAll()
	}
}

func (g *Generation) setSource(src Source) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.err == nil {
		g.rec.state.Source = src
		g.replicateAll()
	}
}

// replicateAll queues the generation for every replica. The caller holds the mutex.
func (g *Generation) replicateAll() {
	for node, c := range g.cursors {
		if !c.restarted {
			g.m.replicator(node).enqueue(g)
		}
	}
}

// release releases to followers what a majority holds. The caller holds the mutex.
func (g *Generation) release() {
	if !g.epochAccepted() {
		return
	}
	st := &g.rec.state
	offset := g.majorityHeld(st.Members)
	if g.m.cfg.Broken == BreakRelease {
		offset = walnutramp.Offset(len(st.Tokens))
	}
	final := st.Final != nil && offset == walnutramp.Offset(len(st.Tokens)) && g.majorityFinal(st.Members)
	if offset <= g.released && final == g.finalReleased {
		return
	}
	g.released = max(g.released, offset)
	g.finalReleased = final
	g.notify()
}

// epochAccepted reports whether majorities of the replica set and of the previous one
// have accepted the epoch. The caller holds the mutex.
func (g *Generation) epochAccepted() bool {
	if g.previousMembers == nil {
		return true
	}
	if g.countOpened(g.previousMembers) < majority(len(g.previousMembers)) {
		return false
	}
	members := g.rec.state.Members
	if g.countOpened(members) < majority(len(members)) {
		return false
	}
	g.previousMembers = nil
	g.dropFormerReplicas()
	g.notify()
	return true
}

func (g *Generation) countOpened(members []Member) int {
	n := 0
	for _, m := range members {
		if m == g.m.store.self {
			n++
			continue
		}
		if c := g.cursors[m.Node]; c != nil && c.member == m && c.opened && !c.restarted {
			n++
		}
	}
	return n
}

// dropFormerReplicas removes the cursors of nodes that left the replica set.
func (g *Generation) dropFormerReplicas() {
	for node, c := range g.cursors {
		if !slices.Contains(g.rec.state.Members, c.member) {
			delete(g.cursors, node)
		}
	}
}

// majorityHeld returns the largest offset that a majority of members holds.
func (g *Generation) majorityHeld(members []Member) walnutramp.Offset {
	held := make([]walnutramp.Offset, 0, 5)
	for _, m := range members {
		held = append(held, g.heldBy(m))
	}
	slices.Sort(held)
	return held[len(held)-majority(len(held))]
}

func (g *Generation) heldBy(m Member) walnutramp.Offset {
	if m == g.m.store.self {
		return walnutramp.Offset(len(g.rec.state.Tokens))
	}
	c := g.cursors[m.Node]
	if c == nil || c.member != m || !c.opened || c.restarted {
		return 0
	}
	return c.held
}

func (g *Generation) majorityFinal(members []Member) bool {
	n := 0
	for _, m := range members {
		c := g.cursors[m.Node]
		if m == g.m.store.self || c != nil && c.member == m && c.final && !c.restarted {
			n++
		}
	}
	return n >= majority(len(members))
}

// appendFor returns what a replica is missing, if anything, and the incarnation that it
// is for.
func (g *Generation) appendFor(node walnutramp.NodeName) (Append, Member, bool) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || c.restarted || g.rec.owner != g {
		return Append{}, Member{}, false
	}
	st := &g.rec.state
	a := Append{Handle: g.handle, From: c.held}
	needed := false
	if !c.opened {
		a.Open = &Opening{Spec: st.Spec, Epoch: g.epoch, Members: slices.Clone(st.Members)}
		a.From = 0
		needed = true
	}
	if int(a.From) < len(st.Tokens) {
		a.Tokens = slices.Clone(st.Tokens[a.From:])
		needed = true
	}
	if !c.prompt && st.PromptTokens != nil {
		a.PromptTokens = st.PromptTokens
		needed = true
	}
	if c.source < st.Source.Seq {
		src := st.Source
		a.Source = &src
		needed = true
	}
	if !c.final && st.Final != nil {
		a.Final = st.Final
		needed = true
	}
	return a, c.member, needed
}

// handleAck processes a replica's answer to an append.
func (g *Generation) handleAck(node walnutramp.NodeName, handle Handle, ack Ack) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || handle != g.handle || g.rec.owner != g {
		return
	}
	c.failingSince = time.Time{}
	switch ack.Code {
	case walnutramp.CodeOK:
		c.opened = true
		c.held = ack.Held
		c.prompt = ack.Prompt
		c.source = ack.SourceSeq
		c.final = ack.Final
		g.release()
	case walnutramp.CodeStaleEpoch:
		if !g.reconfiguring {
			g.depose()
		}
	case walnutramp.CodeNotHeld:
		// The node did not restart but dropped the record: replicate from the start.
		*c = cursor{member: c.member}
		g.m.replicator(node).enqueue(g)
	case walnutramp.CodeWrongIncarnation:
		c.restarted = true
		g.startReconfiguration()
	}
}

// handleTokenAck processes a replica's answer to a token-only append: the offset held,
// or a negated result code.
func (g *Generation) handleTokenAck(node walnutramp.NodeName, handle Handle, held int64) {
	if held < 0 {
		g.handleAck(node, handle, Ack{Code: walnutramp.Code(-held)})
		return
	}
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || handle != g.handle || g.rec.owner != g {
		return
	}
	c.failingSince = time.Time{}
	c.held = walnutramp.Offset(held)
	g.release()
}

// handleUnreachable records that a replica did not answer.
func (g *Generation) handleUnreachable(node walnutramp.NodeName, now time.Time) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || g.rec.owner != g {
		return
	}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if now.Sub(c.failingSince) >= g.m.cfg.ReplaceAfter {
		g.startReconfiguration()
	}
}
