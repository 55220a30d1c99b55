package consensus

import (
	"cmp"
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Handler serves calls of other members; it is registered under Service.
type Handler struct {
	m *Member
}

// Handler returns the RPC handler for calls of other members.
func (m *Member) Handler() *Handler { return &Handler{m: m} }

// Vote handles a vote or pre-vote request.
func (h *Handler) Vote(args VoteArgs, reply *VoteReply) error {
	*reply = h.m.handleVote(args)
	return nil
}

// Append handles replicated entries, snapshots and heartbeats.
func (h *Handler) Append(args AppendArgs, reply *AppendReply) error {
	*reply = h.m.append(args)
	return nil
}

// proposeTimeout bounds how long a proposal waits for its commit.
const proposeTimeout = 5 * time.Second

// Propose appends a command if this member leads, and waits until it is
// applied. CodeNoLeader means that it was not appended, CodeOutcomeUnknown that
// it may yet be committed.
func (m *Member) Propose(ctx context.Context, command []byte) ProposeReply {
	return m.propose(ctx, Entry{Data: command})
}

// Change proposes a new group. CodeBadRequest means that nothing was appended,
// because the group does not differ from the current one by exactly one member,
// another change is pending, or no entry of the current term is committed yet.
// Other codes are those of Propose.
func (m *Member) Change(ctx context.Context, g Group) ProposeReply {
	m.mu.Lock()
	old := m.store.group(m.store.lastIndex())
	// Until an entry of its own term is committed, a leader cannot know whether
	// an earlier leader's group change is still pending.
	t, ok := m.store.term(m.commit)
	pending := m.groupIndex() > m.commit || !ok || t != m.store.ballot.Term
	m.mu.Unlock()
	if !m.cfg.UncheckedChanges && (pending || difference(old, g) != 1) {
		return ProposeReply{Code: walnutramp.CodeBadRequest}
	}
	return m.propose(ctx, Entry{Group: &g})
}

// groupIndex returns the index of the newest group change in the log. The
// caller holds m.mu.
func (m *Member) groupIndex() uint64 {
	index := uint64(0)
	for _, e := range m.store.entries {
		if e.Group != nil {
			index = e.Index
		}
	}
	return index
}

// difference counts the members that were added, removed or changed.
func difference(a, b Group) int {
	n := 0
	for _, v := range b.Voters {
		if old, ok := a.find(v.Node); !ok || old != v {
			n++
		}
	}
	for _, v := range a.Voters {
		if _, ok := b.find(v.Node); !ok {
			n++
		}
	}
	return n
}

func (m *Member) propose(ctx context.Context, e Entry) ProposeReply {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	successor := m.awaitTransfer(ctx)
	m.mu.Lock()
	if m.role != leader || m.successor != "" {
		reply := ProposeReply{Code: walnutramp.CodeNoLeader, Leader: cmp.Or(m.knownLeader, successor)}
		m.mu.Unlock()
		return reply
	}
	index, ok := m.appendLocal(e)
	if !ok {
		m.mu.Unlock()
		return ProposeReply{Code: walnutramp.CodeOutcomeUnknown}
	}
	if e.Group != nil {
		m.syncFollowers(time.Now())
	}
	p := &proposal{term: m.store.ballot.Term, result: make(chan outcome, 1)}
	m.proposals[index] = p
	m.notifyChanged()
	m.mu.Unlock()
	select {
	case o := <-p.result:
		return ProposeReply{Code: o.code, Result: o.result}
	case <-ctx.Done():
		return ProposeReply{Code: walnutramp.CodeOutcomeUnknown}
	}
}

// Confirm waits until a majority has confirmed this member's leadership, in
// calls sent after Confirm began, and all entries committed by then are applied
// (read index). It returns false if leadership is lost or ctx ends.
func (m *Member) Confirm(ctx context.Context) bool {
	m.mu.Lock()
	m.confirmRound++
	round := m.confirmRound
	required := m.commit
	for {
		if m.role != leader || m.fatalErr != nil {
			m.mu.Unlock()
			return false
		}
		// Before an entry of its own term is committed, a leader does not know
		// the commit index of earlier leaders.
		t, ok := m.store.term(m.commit)
		current := ok && t == m.store.ballot.Term
		if !current {
			required = m.store.lastIndex()
		}
		if current && m.applied >= required && m.majorityOf(func(p *progress) bool { return p.confirmRound >= round }) {
			m.mu.Unlock()
			return true
		}
		for _, p := range m.followers {
			if p.confirmRound < round {
				p.poke()
			}
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
		m.mu.Lock()
	}
}

// Leader returns the current leader as known to this member; empty if unknown.
func (m *Member) Leader() walnutramp.NodeName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentLeader()
}

// currentLeader returns the leader if it was heard within two election
// timeouts. The caller holds m.mu.
func (m *Member) currentLeader() walnutramp.NodeName {
	if m.role != leader && time.Since(m.lastContact) > 2*m.electionTimeout() {
		return ""
	}
	return m.knownLeader
}

// Leads reports whether this member considers itself the leader.
func (m *Member) Leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role == leader
}

// FollowerStatus is a leader's view of another member.
type FollowerStatus struct {
	Voter        Voter
	Unresponsive time.Duration // time since the newest answered call was sent
	Lag          uint64        // entries not known to be replicated to it
}

// Followers returns the leader's view of the other members; nil on a member
// that does not lead.
func (m *Member) Followers() []FollowerStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader {
		return nil
	}
	var all []FollowerStatus
	for _, p := range m.followers {
		all = append(all, FollowerStatus{Voter: p.voter, Unresponsive: time.Since(p.lastAnswered), Lag: m.store.lastIndex() - p.match})
	}
	return all
}

// Status is a snapshot of a member's state.
type Status struct {
	Term    uint64
	Leader  walnutramp.NodeName
	Commit  uint64
	Applied uint64
	Last    uint64
	Group   Group
}

// Status returns the member's current state.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{
		Term: m.store.ballot.Term, Leader: m.currentLeader(), Commit: m.commit, Applied: m.applied,
		Last: m.store.lastIndex(), Group: m.store.group(m.store.lastIndex()),
	}
}
