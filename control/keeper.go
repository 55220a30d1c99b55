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

// Times of the keeping of members.
const (
	keepEvery    = 100 * time.Millisecond
	joinEvery    = 250 * time.Millisecond
	joinLimit    = 500 * time.Millisecond
	newcomerLife = 2 * time.Second         // since a newcomer last asked
	silentLimit  = 1500 * time.Millisecond // after which a voter gives way to a newcomer
	changeLimit  = 2 * time.Second
	doubtLimit   = 500 * time.Millisecond  // after which a voter may be lost
	deadLimit    = 2500 * time.Millisecond // after which a voter goes though nobody is new
	fewestVoters = 2                       // that are left when a newcomer is ready
	enoughVoters = 3                       // of more than these a dead one is of no use
)

// Keeper changes the group's members on the leader, one step at a time, none
// of which needs the word of a member that is lost. A newcomer comes in as a
// learner and counts once it has caught up. Where a voter is silent by then,
// that one is removed first, so that the group does not grow by dead members;
// where more than three are left, a dead one is removed without a newcomer. A
// member that was only cut off comes in again as a newcomer.
type Keeper struct {
	member *consensus.Member
	node   walnutramp.NodeName

	mu        sync.Mutex
	newcomers map[walnutramp.NodeName]newcomer
}

type newcomer struct {
	identity consensus.Identity
	asked    time.Time
}

// NewKeeper returns a keeper for a member.
func NewKeeper(node walnutramp.NodeName, m *consensus.Member) *Keeper {
	return &Keeper{member: m, node: node, newcomers: map[walnutramp.NodeName]newcomer{}}
}

// asked notes that a node wants to come in.
func (k *Keeper) asked(args JoinArgs) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newcomers[args.Node] = newcomer{identity: args.Identity, asked: time.Now()}
}

// Run keeps the members until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for pause.For(ctx, keepEvery) {
		if !k.member.Leads() {
			continue
		}
		status := k.member.Status()
		next, why := k.step(status.Group, k.member.Followers())
		if why == "" {
			continue
		}
		changeCtx, cancel := context.WithTimeout(ctx, changeLimit)
		reply := k.member.Change(changeCtx, next)
		cancel()
		klog.InfoS("Group changed", "why", why, "term", status.Term, "members", next.Nodes(), "counted", next.Counted(), "code", int(reply.Code))
	}
}

// step returns the next group and why, or nothing to do.
func (k *Keeper) step(g consensus.Group, followers []consensus.FollowerStatus) (consensus.Group, string) {
	for node, n := range k.waiting() {
		known, ok := g.Find(node)
		switch {
		case ok && known.Identity == n.identity:
			continue
		case ok:
			return g.Without(node), "its disk was lost"
		}
		return g.With(consensus.Voter{Node: node, Identity: n.identity, Learner: true}), "newcomer"
	}
	silent, since := silentVoter(followers)
	if since > deadLimit && g.Counted() > enoughVoters {
		return g.Without(silent.Node), "silent"
	}
	learner, ok := caughtUp(followers)
	if !ok {
		return g, ""
	}
	if since > silentLimit && g.Counted() > fewestVoters {
		return g.Without(silent.Node), "silent, and a newcomer is ready"
	}
	if since > doubtLimit && since <= silentLimit {
		return g, "" // it may be lost: wait, so that the group does not grow by it
	}
	learner.Learner = false
	return g.With(learner), "caught up"
}

// waiting returns the newcomers that asked lately.
func (k *Keeper) waiting() map[walnutramp.NodeName]newcomer {
	k.mu.Lock()
	defer k.mu.Unlock()
	live := map[walnutramp.NodeName]newcomer{}
	for node, n := range k.newcomers {
		if time.Since(n.asked) > newcomerLife {
			delete(k.newcomers, node)
			continue
		}
		live[node] = n
	}
	return live
}

// caughtUp returns a learner that holds the whole log and answers.
func caughtUp(followers []consensus.FollowerStatus) (consensus.Voter, bool) {
	for _, f := range followers {
		if f.Voter.Learner && f.Behind == 0 && f.Silent < silentLimit/2 {
			return f.Voter, true
		}
	}
	return consensus.Voter{}, false
}

// silentVoter returns the voter that has been silent longest, and how long.
func silentVoter(followers []consensus.FollowerStatus) (consensus.Voter, time.Duration) {
	var longest consensus.FollowerStatus
	for _, f := range followers {
		if !f.Voter.Learner && f.Silent > longest.Silent {
			longest = f
		}
	}
	return longest.Voter, longest.Silent
}

// Joiner asks to be let into the group for as long as this node is no voter.
type Joiner struct {
	peers    Peers
	node     walnutramp.NodeName
	identity consensus.Identity
	member   *consensus.Member
	client   *Client
}

// NewJoiner returns a joiner that finds the group through a client.
func NewJoiner(peers Peers, node walnutramp.NodeName, identity consensus.Identity, m *consensus.Member, c *Client) *Joiner {
	return &Joiner{peers: peers, node: node, identity: identity, member: m, client: c}
}

// Run asks until ctx ends. A member that was removed while it was cut off
// hears of no leader, so it asks too.
func (j *Joiner) Run(ctx context.Context) {
	for pause.For(ctx, joinEvery) {
		if j.settled() {
			continue
		}
		for _, node := range j.client.ask(j.node) {
			if j.ask(ctx, node) {
				break
			}
		}
	}
}

// settled reports whether this node counts in the group and hears its leader.
func (j *Joiner) settled() bool {
	s := j.member.Status()
	v, ok := s.Group.Find(j.node)
	return ok && !v.Learner && v.Identity == j.identity && s.Leader != ""
}

func (j *Joiner) ask(ctx context.Context, node walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	var reply JoinReply
	if j.peers.Call(ctx, node, Service+".Join", JoinArgs{Node: j.node, Identity: j.identity}, &reply) != nil {
		return false
	}
	j.client.LearnGroup(reply.Group)
	return reply.Code == walnutramp.CodeOK
}

// ask returns whom to ask, the leader first, without the node itself.
func (c *Client) ask(self walnutramp.NodeName) []walnutramp.NodeName {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.known()
	if c.leader != "" {
		list = slices.Insert(list, 0, c.leader)
	}
	return slices.DeleteFunc(list, func(n walnutramp.NodeName) bool { return n == self })
}
