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

const (
	quotaInterval = 100 * time.Millisecond // between checks for new and expired entry nodes
	// firstRequestWait is the time within which entry nodes that wait for the first
	// document send a request to a new leader.
	firstRequestWait = 2 * renewRetryDelay
)

// QuotaController commits the set of entry nodes that share the site's retry budget, and
// tells each of them its share.
type QuotaController struct {
	member   *consensus.Member
	server   *Server
	state    *State
	register *quota.Register

	mu     sync.Mutex // serializes updates
	opened bool       // opening the set was proposed, successfully or not
}

// NewQuotaController returns a QuotaController and registers it with a member's server.
// span is the time window of the budget.
func NewQuotaController(m *consensus.Member, s *Server, span time.Duration) *QuotaController {
	c := &QuotaController{member: m, server: s, state: s.state, register: quota.NewRegister(span)}
	s.quota = c
	return c
}

// Run updates the set of entry nodes while this member leads, until ctx is done.
func (c *QuotaController) Run(ctx context.Context) {
	var term uint64 // in which this member last led
	for pause.For(ctx, quotaInterval) {
		if !c.member.Leads() {
			continue
		}
		if now := c.member.Status().Term; now != term {
			term = now
			c.register.BecomeLeader()
		}
		c.update(ctx, c.state.hasDocument())
	}
}

// openEarly opens the set before the site's first document is in force, with the
// entry nodes that wait for it. Nothing is served yet, so they may use their shares
// at once.
func (c *QuotaController) openEarly(ctx context.Context) {
	if c == nil || !c.member.Leads() || c.state.quotaSet().Open {
		return
	}
	pause.For(ctx, firstRequestWait)
	c.update(ctx, true)
}

// update commits the current entry nodes, and opens the set if open is true.
func (c *QuotaController) update(ctx context.Context, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.state.quotaSet()
	if _, in, out := c.register.Next(set); len(in)+len(out) == 0 && (set.Open || !open) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !c.member.Confirm(ctx) {
		return // the set may be stale on this member
	}
	set = c.state.quotaSet()
	set.Open = set.Open || c.opened
	next, in, out := c.register.Next(set)
	next.Open = next.Open || open
	c.opened = next.Open
	if _, ok := c.server.proposeOwn(ctx, Command{Sharers: &next}); !ok {
		return
	}
	c.register.Committed(next)
	klog.InfoS("Retry budget shared among entry nodes", "in", len(in), "out", out, "entries", len(next.Lives), "open", next.Open)
}

// recordQuery registers the entry node that sent a query, and those that a relay
// answers.
func (c *QuotaController) recordQuery(args NewestArgs) {
	if c == nil {
		return
	}
	for _, n := range args.quotaNodes() {
		c.register.RecordRequest(n)
	}
}

// quotaNodes returns the entry nodes on whose behalf a query was sent.
func (a *NewestArgs) quotaNodes() []quota.Node {
	var nodes []quota.Node
	if a.Entry != "" {
		nodes = append(nodes, quota.Node{Address: a.Entry, Incarnation: a.Life})
	}
	for _, entry := range a.Relayed {
		nodes = append(nodes, quota.Node{Address: entry})
	}
	return nodes
}

// shareFor returns the share of the query's sender, or of each of the entry nodes for
// which a relay asks. The caller has had leadership confirmed after the query arrived.
func (c *QuotaController) shareFor(args NewestArgs) quota.Assignment {
	if c == nil || !args.wantsTargets() {
		return quota.Assignment{}
	}
	return c.register.Assignment(c.state.quotaSet(), args.quotaNodes()...)
}

// quotaSet returns the entry nodes that share the budget, as applied by this
// member.
func (s *State) quotaSet() quota.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharers.Clone()
}

// WithQuota makes the client pass this node's share, as told by the leader, to a
// holder. It is called before Start.
func (c *Client) WithQuota(h *quota.Holder) { c.quota = h }

// applyShare applies this node's share from a reply.
func (c *Client) applyShare(a quota.Assignment, requestedAt time.Time) {
	if c.quota != nil {
		c.quota.Apply(a, requestedAt)
	}
}

// relayedShare is the leader's reply about the shares of a relay's entry nodes.
type relayedShare struct {
	share       quota.Assignment
	requestedAt time.Time
	entries     map[string]bool // addresses the share applies to
}

// cacheShare keeps the share for the entry nodes that a query named.
func (r *Relay) cacheShare(args NewestArgs, a quota.Assignment, requestedAt time.Time) {
	if a.Nodes == 0 {
		return
	}
	entries := make(map[string]bool, len(args.Relayed))
	for _, entry := range args.Relayed {
		entries[entry] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = relayedShare{share: a, requestedAt: requestedAt, entries: entries}
}

// shareFor returns the share for an entry node whose query was received at a
// given time.
func (p *relayedShare) shareFor(entry string, receivedAt time.Time) quota.Assignment {
	if !p.entries[entry] || uptime.Since(p.requestedAt) > quota.AnswerTimeout {
		return quota.Assignment{}
	}
	a := p.share
	a.Age = max(0, receivedAt.Sub(p.requestedAt))
	return a
}
