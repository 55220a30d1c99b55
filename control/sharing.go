package control

import (
	"context"
	"maps"
	"slices"
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

	listMu       sync.Mutex
	list         directory // entry nodes of the set
	listRevision uint64    // of the set that list was last brought up to
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
	if c == nil || !c.member.Leads() || c.state.quotaSetOpen() {
		return
	}
	pause.For(ctx, firstRequestWait)
	c.update(ctx, true)
}

// update commits the current entry nodes, and opens the set if open is true.
func (c *QuotaController) update(ctx context.Context, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, _ := c.state.quotaSet()
	if _, in, out := c.register.Next(set); len(in)+len(out) == 0 && (set.Open || !open) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !c.member.Confirm(ctx) {
		return // the set may be stale on this member
	}
	set, _ = c.state.quotaSet()
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

// fillShare adds the share of the query's sender, or of each of the entry nodes for
// which a relay asks, and the nodes among which it is one. The caller has had leadership
// confirmed after the query arrived.
func (c *QuotaController) fillShare(args NewestArgs, reply *NewestReply) {
	if c == nil || !args.wantsTargets() {
		return
	}
	set, revision := c.state.quotaSet()
	reply.Share = c.register.Assignment(set, args.quotaNodes()...)
	if reply.Share.Nodes == 0 || !args.Ownership {
		return
	}
	c.listMu.Lock()
	defer c.listMu.Unlock()
	if c.listRevision != revision {
		c.listRevision = revision
		c.list.add(newDirectoryVersion(entryNodesAt(slices.Sorted(maps.Keys(set.Lives)))))
	}
	reply.Share.Members = c.list.newest().version
	reply.Sharers = c.list.reply(args.Sharers)
}

// entryNodesAt returns entry nodes of which only the addresses are known.
func entryNodesAt(addresses []string) []EntryNode {
	nodes := make([]EntryNode, len(addresses))
	for i, address := range addresses {
		nodes[i].Address = address
	}
	return nodes
}

// quotaSet returns the entry nodes that share the budget, as applied by this
// member, and the revision of the set.
func (s *State) quotaSet() (set quota.Set, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharers.Clone(), s.sharersRevision
}

// quotaSetOpen reports whether entry nodes may be assigned shares.
func (s *State) quotaSetOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sharers.Open
}

// WithQuota makes the client pass this node's share, as told by the leader, to a
// holder. It is called before Start.
func (c *Client) WithQuota(h *quota.Holder) { c.quota = h }

// WithOwnership makes the client pass the list of nodes that have a share to o. It is
// called before Start.
func (c *Client) WithOwnership(o *quota.Ownership) { c.ownership = o }

// applyShare applies this node's share from a reply, and the nodes that have one.
func (c *Client) applyShare(r *NewestReply, requestedAt time.Time) {
	if c.quota == nil {
		return
	}
	c.applySharers(&r.Sharers)
	c.quota.Apply(r.Share, requestedAt)
}

// applySharers applies the list of nodes that have a share.
func (c *Client) applySharers(r *DirectoryReply) {
	if c.ownership == nil || r.Version == 0 || r.Version == c.sharersVersion {
		return
	}
	nodes, ok := r.apply(c.sharersVersion, c.sharers)
	if !ok {
		c.sharersVersion = 0 // request the full list
		return
	}
	c.sharersVersion, c.sharers = r.Version, nodes
	c.ownership.SetMembers(quota.NewMembers(r.Version, addressesOf(nodes)))
}

// relayedShare is the leader's reply about the shares of a relay's entry nodes.
type relayedShare struct {
	share       quota.Assignment
	requestedAt time.Time
	entries     map[string]bool // addresses the share applies to
	nodes       directory       // nodes that have a share
}

// cacheShare keeps the share for the entry nodes that a query named, and the nodes that
// have one.
func (r *Relay) cacheShare(args NewestArgs, reply *NewestReply, requestedAt time.Time) {
	if reply.Share.Nodes == 0 {
		return
	}
	entries := make(map[string]bool, len(args.Relayed))
	for _, entry := range args.Relayed {
		entries[entry] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.share, r.share.requestedAt, r.share.entries = reply.Share, requestedAt, entries
	r.share.nodes.applyReply(&reply.Sharers)
}

// fillShare adds the share of an entry node whose query was received at a given time.
func (p *relayedShare) fillShare(args NewestArgs, reply *NewestReply, receivedAt time.Time) {
	if !p.entries[args.Entry] || uptime.Since(p.requestedAt) > quota.AnswerTimeout {
		return
	}
	reply.Share = p.share
	reply.Share.Age = max(0, receivedAt.Sub(p.requestedAt))
	if args.Ownership {
		reply.Sharers = p.nodes.reply(args.Sharers)
	}
}
