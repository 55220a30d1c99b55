package control

import (
	"context"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quota"
	"k8s.io/klog/v2"
)

// Times of keeping the set of entries.
const (
	sharingEvery = 100 * time.Millisecond // between two looks at who came in or is long silent
	// firstNoted is the time within which entries that wait for the first document ask
	// a new leader.
	firstNoted = 2 * renewPause
)

// Sharing has the group agree on the entries among which the site's bound on repeats is
// parted, and tells each of them how many there are.
type Sharing struct {
	member   *consensus.Member
	server   *Server
	state    *State
	register *quota.Register

	mu     sync.Mutex // held by one change at a time
	opened bool       // opening the set was proposed, whatever came of it
}

// NewSharing returns what a member's server tells entries of their parts from then on.
// Span is the time within which no more than the whole may be used.
func NewSharing(m *consensus.Member, s *Server, span time.Duration) *Sharing {
	sh := &Sharing{member: m, server: s, state: s.state, register: quota.NewRegister(span)}
	s.sharing = sh
	return sh
}

// Run keeps the set of entries up to date while this member leads, until ctx ends.
func (sh *Sharing) Run(ctx context.Context) {
	var term uint64 // in which this member led last
	for pause.For(ctx, sharingEvery) {
		if !sh.member.Leads() {
			continue
		}
		if now := sh.member.Status().Term; now != term {
			term = now
			sh.register.Begin()
		}
		sh.update(ctx, sh.state.inForce())
	}
}

// openBefore opens the set before the site's first document is in force, with the entries
// that wait for it: nothing is served yet, so they may use their parts at once.
func (sh *Sharing) openBefore(ctx context.Context) {
	if sh == nil || !sh.member.Leads() || sh.state.sharers().Open {
		return
	}
	pause.For(ctx, firstNoted)
	sh.update(ctx, true)
}

// update has the group agree on the entries there are now, and opens the set.
func (sh *Sharing) update(ctx context.Context, open bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	set := sh.state.sharers()
	if _, in, out := sh.register.Next(set); len(in)+len(out) == 0 && (set.Open || !open) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	if !sh.member.Confirm(ctx) {
		return // the set may be an old one here
	}
	set = sh.state.sharers()
	set.Open = set.Open || sh.opened
	next, in, out := sh.register.Next(set)
	next.Open = next.Open || open
	sh.opened = next.Open
	if _, ok := sh.server.agree(ctx, Command{Sharers: &next}); !ok {
		return
	}
	sh.register.Agreed(next)
	klog.InfoS("Entries share the bound on repeats", "in", len(in), "out", out, "entries", len(next.Lives), "open", next.Open)
}

// note notes that an entry asks, and those that a relay answers.
func (sh *Sharing) note(args NewestArgs) {
	if sh == nil {
		return
	}
	for _, n := range args.sharers() {
		sh.register.Note(n)
	}
}

// sharers are the entries that a question is asked for.
func (a *NewestArgs) sharers() []quota.Node {
	var nodes []quota.Node
	if a.Entry != "" {
		nodes = append(nodes, quota.Node{Address: a.Entry, Life: a.Life})
	}
	for _, entry := range a.Relayed {
		nodes = append(nodes, quota.Node{Address: entry})
	}
	return nodes
}

// word returns what a leader that was confirmed after a question tells the asker.
func (sh *Sharing) word(args NewestArgs) quota.Word {
	if sh == nil || !args.wantsRoster() {
		return quota.Word{}
	}
	return sh.register.Word(sh.state.sharers(), args.sharers()...)
}

// sharers returns the entries that share the bound, as far as this member has applied
// the log.
func (s *State) sharers() quota.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharing.Clone()
}

// WithQuota has the client tell a holder of its part what the group's leader says of it.
// It is called before Start.
func (c *Client) WithQuota(h *quota.Holder) { c.quota = h }

// takeShare takes what an answer says of this node's part.
func (c *Client) takeShare(w quota.Word, asked time.Time) {
	if c.quota != nil {
		c.quota.Take(w, asked)
	}
}

// passedWord is the leader's word to a relay on the entries that it answers.
type passedWord struct {
	word  quota.Word
	asked time.Time
	told  map[string]bool // entries that it holds for
}

// passWord keeps the word on the entries that a question named.
func (r *Relay) passWord(args NewestArgs, w quota.Word, asked time.Time) {
	if w.Nodes == 0 {
		return
	}
	told := make(map[string]bool, len(args.Relayed))
	for _, entry := range args.Relayed {
		told[entry] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = passedWord{word: w, asked: asked, told: told}
}

// to returns the word for an entry whose question came in at a time.
func (p *passedWord) to(entry string, came time.Time) quota.Word {
	if !p.told[entry] || uptime.Since(p.asked) > quota.AskLimit {
		return quota.Word{}
	}
	w := p.word
	w.Age = max(0, came.Sub(p.asked))
	return w
}
