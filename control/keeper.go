package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// Intervals, timeouts and bounds of membership changes.
const (
	membershipInterval = 100 * time.Millisecond
	joinInterval       = 250 * time.Millisecond
	joinTimeout        = 500 * time.Millisecond
	joinRequestTTL     = 2 * time.Second         // since the last join request
	replaceAfter       = 1500 * time.Millisecond // a voter unresponsive for longer is replaced by a learner that has caught up
	changeTimeout      = 2 * time.Second
	suspectAfter       = 500 * time.Millisecond  // a voter unresponsive for longer may have failed
	removeAfter        = 2500 * time.Millisecond // a voter unresponsive for longer is removed without a replacement
	minVoters          = 2                       // no voter is replaced at or below this number
	sufficientVoters   = 3                       // no voter is removed without a replacement at or below this number
)

// MembershipManager manages the group's membership on the leader, one change at a time. No
// change needs the vote of a failed member. A joining node is added as a learner
// and becomes a voter once it has caught up. If a voter is unresponsive by then, it is
// removed first, so that the group does not accumulate failed members. A failed
// voter above sufficientVoters is removed without a replacement. A member that was
// only partitioned joins again as a learner.
type MembershipManager struct {
	member *consensus.Member
	node   walnutramp.NodeName

	mu           sync.Mutex
	joinRequests map[walnutramp.NodeName]joinRequest
}

type joinRequest struct {
	identity    consensus.Identity
	requestedAt time.Time
}

// NewMembershipManager returns a MembershipManager for a member.
func NewMembershipManager(node walnutramp.NodeName, m *consensus.Member) *MembershipManager {
	return &MembershipManager{member: m, node: node, joinRequests: map[walnutramp.NodeName]joinRequest{}}
}

// requestJoin records a node's request to join.
func (m *MembershipManager) requestJoin(args JoinArgs) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joinRequests[args.Node] = joinRequest{identity: args.Identity, requestedAt: time.Now()}
}

// Run changes the membership while this member leads, until ctx ends.
func (m *MembershipManager) Run(ctx context.Context) {
	for pause.For(ctx, membershipInterval) {
		if !m.member.Leads() {
			continue
		}
		status := m.member.Status()
		next, reason := m.step(status.Group, m.member.Followers())
		if reason == "" {
			continue
		}
		changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		reply := m.member.Change(changeCtx, next)
		cancel()
		klog.InfoS("Group changed", "why", reason, "term", status.Term, "members", next.Nodes(), "counted", next.Counted(), "code", int(reply.Code))
	}
}

// step returns the next membership and the reason for the change, which is empty if
// there is none to make now.
func (m *MembershipManager) step(g consensus.Group, followers []consensus.FollowerStatus) (consensus.Group, string) {
	for node, request := range m.pendingJoins() {
		known, ok := g.Find(node)
		switch {
		case ok && known.Identity == request.identity:
			continue
		case ok:
			return g.Without(node), "disk lost"
		}
		return g.With(consensus.Voter{Node: node, Identity: request.identity, Learner: true}), "node joins"
	}
	unresponsive, since := unresponsiveVoter(followers)
	if since > removeAfter && g.Counted() > sufficientVoters {
		return g.Without(unresponsive.Node), "voter silent"
	}
	learner, ok := caughtUp(followers)
	if !ok {
		return g, ""
	}
	if since > replaceAfter && g.Counted() > minVoters {
		return g.Without(unresponsive.Node), "voter silent, replacement caught up"
	}
	if since > suspectAfter && since <= replaceAfter {
		return g, "" // that voter may have failed: wait, so that the group does not grow
	}
	learner.Learner = false
	return g.With(learner), "learner caught up"
}

// pendingJoins returns the join requests that have not expired.
func (m *MembershipManager) pendingJoins() map[walnutramp.NodeName]joinRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := map[walnutramp.NodeName]joinRequest{}
	for node, request := range m.joinRequests {
		if time.Since(request.requestedAt) > joinRequestTTL {
			delete(m.joinRequests, node)
			continue
		}
		pending[node] = request
	}
	return pending
}

// caughtUp returns a responsive learner that holds the whole log.
func caughtUp(followers []consensus.FollowerStatus) (consensus.Voter, bool) {
	for _, f := range followers {
		if f.Voter.Learner && f.Lag == 0 && f.Unresponsive < replaceAfter/2 {
			return f.Voter, true
		}
	}
	return consensus.Voter{}, false
}

// unresponsiveVoter returns the voter that has been unresponsive longest, and for how long.
func unresponsiveVoter(followers []consensus.FollowerStatus) (consensus.Voter, time.Duration) {
	var longest consensus.FollowerStatus
	for _, f := range followers {
		if !f.Voter.Learner && f.Unresponsive > longest.Unresponsive {
			longest = f
		}
	}
	return longest.Voter, longest.Unresponsive
}

// Joiner asks to join the group while this node is not a voter or hears no leader.
type Joiner struct {
	peers    Peers
	node     walnutramp.NodeName
	identity consensus.Identity
	member   *consensus.Member
	client   *Client
}

// NewJoiner returns a joiner that discovers the group through a client.
func NewJoiner(peers Peers, node walnutramp.NodeName, identity consensus.Identity, m *consensus.Member, c *Client) *Joiner {
	return &Joiner{peers: peers, node: node, identity: identity, member: m, client: c}
}

// Run sends join requests until ctx ends. A member that was removed while it was
// partitioned hears no leader, so it asks too.
func (j *Joiner) Run(ctx context.Context) {
	for pause.For(ctx, joinInterval) {
		if j.joined() {
			continue
		}
		for _, node := range j.client.joinCandidates(j.node) {
			if j.requestJoin(ctx, node) {
				break
			}
		}
	}
}

// joined reports whether this node is a voter and knows the leader.
func (j *Joiner) joined() bool {
	s := j.member.Status()
	v, ok := s.Group.Find(j.node)
	return ok && !v.Learner && v.Identity == j.identity && s.Leader != ""
}

func (j *Joiner) requestJoin(ctx context.Context, node walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply JoinReply
	if j.peers.Call(ctx, node, Service+".Join", JoinArgs{Node: j.node, Identity: j.identity}, &reply) != nil {
		return false
	}
	j.client.SetMembers(reply.Group)
	return reply.Code == walnutramp.CodeOK
}

// joinCandidates returns the nodes to ask, the last known leader first, without self. A
// node may occur twice.
func (c *Client) joinCandidates(self walnutramp.NodeName) []walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.candidates()
	if c.leader != "" {
		candidates = slices.Insert(candidates, 0, c.leader)
	}
	return slices.DeleteFunc(candidates, func(n walnutramp.NodeName) bool { return n == self })
}
