package consensus

import (
	"cmp"
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Handler answers the other members; it is registered under Service.
type Handler struct {
	m *Member
}

// Handler returns what answers the other members.
func (m *Member) Handler() *Handler { return &Handler{m: m} }

// Vote answers a candidate.
func (h *Handler) Vote(args VoteArgs, reply *VoteReply) error {
	*reply = h.m.vote(args)
	return nil
}

// Append answers a leader.
func (h *Handler) Append(args AppendArgs, reply *AppendReply) error {
	*reply = h.m.append(args)
	return nil
}

// proposeLimit bounds how long a proposal waits at the leader.
const proposeLimit = 5 * time.Second

// Propose runs a command if this member leads. CodeNoLeader means that it was
// not taken; CodeOutcomeUnknown that it may yet be.
func (m *Member) Propose(ctx context.Context, command []byte) ProposeReply {
	return m.propose(ctx, Entry{Data: command})
}

// Change proposes another group, which must differ by one member.
func (m *Member) Change(ctx context.Context, g Group) ProposeReply {
	m.mu.Lock()
	old := m.store.group(m.store.lastIndex())
	// Until an entry of its own term is committed, a leader can't know whether
	// an earlier leader's change is still under way.
	t, ok := m.store.term(m.commit)
	pending := m.groupIndex() > m.commit || !ok || t != m.store.ballot.Term
	m.mu.Unlock()
	if !m.cfg.UncheckedChanges && (pending || difference(old, g) != 1) {
		return ProposeReply{Code: walnutramp.CodeBadRequest}
	}
	return m.propose(ctx, Entry{Group: &g})
}

// groupIndex returns the index of the newest change of the group. The caller
// holds the mutex.
func (m *Member) groupIndex() uint64 {
	index := uint64(0)
	for _, e := range m.store.entries {
		if e.Group != nil {
			index = e.Index
		}
	}
	return index
}

// difference counts members that are added, removed or changed.
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
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	successor := m.awaitTaking(ctx)
	m.mu.Lock()
	if m.role != leader || m.successor != "" {
		reply := ProposeReply{Code: walnutramp.CodeNoLeader, Leader: cmp.Or(m.leaderIs, successor)}
		m.mu.Unlock()
		return reply
	}
	index, ok := m.appendOwn(e)
	if !ok {
		m.mu.Unlock()
		return ProposeReply{Code: walnutramp.CodeOutcomeUnknown}
	}
	if e.Group != nil {
		m.syncFollowers(time.Now())
	}
	p := &proposal{term: m.store.ballot.Term, result: make(chan outcome, 1)}
	m.waiting[index] = p
	m.notify()
	m.mu.Unlock()
	select {
	case o := <-p.result:
		return ProposeReply{Code: o.code, Result: o.result}
	case <-ctx.Done():
		return ProposeReply{Code: walnutramp.CodeOutcomeUnknown}
	}
}

// Confirm waits until a majority has confirmed, by calls sent after now, that
// this member leads, and until all that was committed by now is applied. It
// reports whether that came about.
func (m *Member) Confirm(ctx context.Context) bool {
	m.mu.Lock()
	m.round++
	round := m.round
	need := m.commit
	for {
		if m.role != leader || m.dead != nil {
			m.mu.Unlock()
			return false
		}
		// Before its first entry is committed a leader does not know what
		// earlier ones committed.
		t, ok := m.store.term(m.commit)
		current := ok && t == m.store.ballot.Term
		if !current {
			need = m.store.lastIndex()
		}
		if current && m.applied >= need && m.majorityOf(func(p *progress) bool { return p.round >= round }) {
			m.mu.Unlock()
			return true
		}
		for _, p := range m.follow {
			if p.round < round {
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

// Leader returns who leads, as far as this member knows.
func (m *Member) Leader() walnutramp.NodeName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentLeader()
}

// currentLeader returns the leader, if it was heard of lately. The caller
// holds the mutex.
func (m *Member) currentLeader() walnutramp.NodeName {
	if m.role != leader && time.Since(m.heard) > 2*m.electionTimeout() {
		return ""
	}
	return m.leaderIs
}

// Leads reports whether this member takes itself for the leader.
func (m *Member) Leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role == leader
}

// FollowerStatus is what a leader knows of another member.
type FollowerStatus struct {
	Voter  Voter
	Silent time.Duration // since the newest answered call was sent
	Behind uint64        // entries that it is not known to hold
}

// Followers returns what a leader knows of the others; nil if it leads not.
func (m *Member) Followers() []FollowerStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader {
		return nil
	}
	var all []FollowerStatus
	for _, p := range m.follow {
		all = append(all, FollowerStatus{Voter: p.voter, Silent: time.Since(p.asked), Behind: m.store.lastIndex() - p.match})
	}
	return all
}

// Status describes a member.
type Status struct {
	Term    uint64
	Leader  walnutramp.NodeName
	Commit  uint64
	Applied uint64
	Last    uint64
	Group   Group
}

// Status returns what the member knows now.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{
		Term: m.store.ballot.Term, Leader: m.currentLeader(), Commit: m.commit, Applied: m.applied,
		Last: m.store.lastIndex(), Group: m.store.group(m.store.lastIndex()),
	}
}
