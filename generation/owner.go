package generation

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/quarantine"
)

// Generation is a generation this node owns. Its replicated state lives in
// the node's own record, whose mutex guards every field here as well.
type Generation struct {
	m   *Manager
	rec *record
	id  walnutramp.GenerationID

	epoch    Epoch
	handle   Handle // of the epoch, between this run and its replicas
	cursors  map[walnutramp.NodeName]*cursor
	previous []Member // set whose majority must still accept the epoch; nil once in force
	changing bool     // a change of the replica set is under way

	released      walnutramp.Offset
	finalReleased bool
	err           *walnutramp.Error // why nothing more is released here
	sent          bool              // something went to an engine
	look          *quarantine.Look  // whether the engine that broke off last has ended; the feeding task's
	changed       chan struct{}     // closed at every change a follower may wait for

	followers int
	orphan    *time.Timer
	running   bool
	stop      context.CancelFunc
}

// cursor is how far one replica has followed.
type cursor struct {
	member  Member
	opened  bool
	held    walnutramp.Offset
	prompt  bool
	source  int
	final   bool
	failing time.Time // since when it doesn't answer; zero while it does
	lost    bool      // it restarted and will never count again
}

// Batch is output that is released together.
type Batch struct {
	To     walnutramp.Offset // offset after the text
	Text   string
	Tokens int
	Final  *Final // set with the end of the generation
}

// ID returns the generation's identity.
func (g *Generation) ID() walnutramp.GenerationID { return g.id }

// BodyDigest returns the digest of the request that opened the generation.
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

// Model returns the model that generates.
func (g *Generation) Model() walnutramp.ModelName {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Model
}

// Account returns the client account that asked.
func (g *Generation) Account() walnutramp.ClientAccount {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	return g.rec.state.Spec.Account
}

// Follow counts a follower in; the returned function counts it out. A
// generation without a key that nobody follows for a while is stopped.
func (g *Generation) Follow() (leave func()) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.followers++
	if g.orphan != nil {
		g.orphan.Stop()
		g.orphan = nil
	}
	return g.unfollow
}

func (g *Generation) unfollow() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.followers--
	g.rec.touched = time.Now()
	if g.followers > 0 || g.rec.state.Spec.Key != "" || !g.running {
		return
	}
	g.orphan = time.AfterFunc(g.m.cfg.OrphanGrace, g.abandon)
}

// abandon stops work that nobody follows; it can be taken up again.
func (g *Generation) abandon() {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.followers > 0 || !g.running {
		return
	}
	g.end(walnutramp.NewError(walnutramp.CodeOutOfTargets, walnutramp.Unknown, "nobody followed the generation"))
}

// Next returns what is released beyond from, waiting for it if need be.
func (g *Generation) Next(ctx context.Context, from walnutramp.Offset) (Batch, error) {
	for {
		b, changed, err := g.read(from)
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

func (g *Generation) read(from walnutramp.Offset) (Batch, <-chan struct{}, error) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	st := &g.rec.state
	if from > g.released && g.previous == nil && from > walnutramp.Offset(len(st.Tokens)) {
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

// notify wakes followers; the caller holds the record's mutex, as for every
// method below that says so.
func (g *Generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// end stops the work here for a reason. The caller holds the mutex.
func (g *Generation) end(err *walnutramp.Error) {
	if g.err != nil || g.finalReleased {
		return
	}
	g.err = err
	if g.stop != nil {
		g.stop()
	}
	g.notify()
}

// deposed notes that a newer epoch exists. The caller holds the mutex.
func (g *Generation) deposed() {
	g.rec.owner = nil
	g.end(walnutramp.NewError(walnutramp.CodeMoved, walnutramp.Unknown, "another node owns the generation now"))
}

// busy reports whether the generation is worked on or read. The caller holds
// the mutex.
func (g *Generation) busy() bool { return g.running || g.followers > 0 }

// extend appends tokens and starts their replication.
func (g *Generation) extend(tokens []walnutramp.Token, final *Final) {
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
	g.rec.touched = time.Now()
	g.release()
	g.markAll()
}

func (g *Generation) setPrompt(ids []walnutramp.TokenID) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	st := &g.rec.state
	if st.PromptTokens == nil && g.err == nil {
		st.PromptTokens = ids
		g.markAll()
	}
}

func (g *Generation) setSource(src Source) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.err == nil {
		g.rec.state.Source = src
		g.markAll()
	}
}

// markAll tells every replica's link that there is something to send. The
// caller holds the mutex.
func (g *Generation) markAll() {
	for node, c := range g.cursors {
		if !c.lost {
			g.m.link(node).mark(g)
		}
	}
}

// release lets out what a majority holds. The caller holds the mutex.
func (g *Generation) release() {
	if !g.inForce() {
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

// inForce reports whether the epoch was accepted by the replica set and by
// the one before it. The caller holds the mutex.
func (g *Generation) inForce() bool {
	if g.previous == nil {
		return true
	}
	if g.countOpened(g.previous) < majority(len(g.previous)) {
		return false
	}
	members := g.rec.state.Members
	if g.countOpened(members) < majority(len(members)) {
		return false
	}
	g.previous = nil
	g.dropFormer()
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
		if c := g.cursors[m.Node]; c != nil && c.member == m && c.opened && !c.lost {
			n++
		}
	}
	return n
}

// dropFormer forgets replicas that are no longer in the set.
func (g *Generation) dropFormer() {
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
	if c == nil || c.member != m || !c.opened || c.lost {
		return 0
	}
	return c.held
}

func (g *Generation) majorityFinal(members []Member) bool {
	n := 0
	for _, m := range members {
		c := g.cursors[m.Node]
		if m == g.m.store.self || c != nil && c.member == m && c.final && !c.lost {
			n++
		}
	}
	return n >= majority(len(members))
}

// appendFor returns what a replica still needs, if anything, and which run of
// the replica is meant.
func (g *Generation) appendFor(node walnutramp.NodeName) (Append, Member, bool) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || c.lost || g.rec.owner != g {
		return Append{}, Member{}, false
	}
	st := &g.rec.state
	a := Append{Handle: g.handle, From: c.held}
	some := false
	if !c.opened {
		a.Open = &Opening{Spec: st.Spec, Epoch: g.epoch, Members: slices.Clone(st.Members)}
		a.From = 0
		some = true
	}
	if int(a.From) < len(st.Tokens) {
		a.Tokens = slices.Clone(st.Tokens[a.From:])
		some = true
	}
	if !c.prompt && st.PromptTokens != nil {
		a.PromptTokens = st.PromptTokens
		some = true
	}
	if c.source < st.Source.Seq {
		src := st.Source
		a.Source = &src
		some = true
	}
	if !c.final && st.Final != nil {
		a.Final = st.Final
		some = true
	}
	return a, c.member, some
}

// acked takes a replica's answer to an append with the given handle.
func (g *Generation) acked(node walnutramp.NodeName, handle Handle, ack Ack) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || handle != g.handle || g.rec.owner != g {
		return
	}
	c.failing = time.Time{}
	switch ack.Code {
	case walnutramp.CodeOK:
		c.opened = true
		c.held = ack.Held
		c.prompt = ack.Prompt
		c.source = ack.SourceSeq
		c.final = ack.Final
		g.release()
	case walnutramp.CodeStaleEpoch:
		if !g.changing {
			g.deposed()
		}
	case walnutramp.CodeNotHeld:
		// The run of the node is the same but it dropped the record: what it
		// held no longer counts.
		*c = cursor{member: c.member}
		g.m.link(node).mark(g)
	case walnutramp.CodeWrongIncarnation:
		c.lost = true
		g.wantReplacement()
	}
}

// held takes a replica's answer to a plain append: what it holds, or a code
// below 0. What it knew beside tokens has not changed.
func (g *Generation) held(node walnutramp.NodeName, handle Handle, held int64) {
	if held < 0 {
		g.acked(node, handle, Ack{Code: walnutramp.Code(-held)})
		return
	}
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || handle != g.handle || g.rec.owner != g {
		return
	}
	c.failing = time.Time{}
	c.held = walnutramp.Offset(held)
	g.release()
}

// unreachable notes that a replica did not answer.
func (g *Generation) unreachable(node walnutramp.NodeName, now time.Time) {
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	c := g.cursors[node]
	if c == nil || g.rec.owner != g {
		return
	}
	if c.failing.IsZero() {
		c.failing = now
	}
	if now.Sub(c.failing) >= g.m.cfg.ReplaceAfter {
		g.wantReplacement()
	}
}
