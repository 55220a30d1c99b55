package consensus

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// preVoteHoldDivisor is the fraction of an election timeout for which a granted
// pre-vote excludes other candidates: longer than a round of vote requests,
// shorter than a candidate's wait before its next attempt.
const preVoteHoldDivisor = 4

// runElectionTimer campaigns when no leader has been heard for an election
// timeout, and steps a leader down when it has lost contact with a majority
// (check-quorum) or its machine was suspended. Time spent suspended does not
// count as silence of other members.
func (m *Member) runElectionTimer() {
	suspended := uptime.Suspended()
	for {
		timeout := m.electionTimeout()
		wait := timeout + m.randomDuration(timeout)
		if !pause.For(m.ctx, wait/4) {
			return
		}
		suspendedBefore := suspended
		suspended = uptime.Suspended()
		m.mu.Lock()
		due := m.role != leader && m.isVoter() && time.Since(m.lastContact) > wait
		if m.role == leader && (suspended-suspendedBefore > 2*timeout || !m.checkQuorum(2*timeout)) {
			klog.InfoS("Leader hears no majority", "node", m.node, "term", m.store.ballot.Term, "suspended", suspended-suspendedBefore)
			m.stepDown(m.store.ballot.Term, "")
		}
		m.mu.Unlock()
		if due {
			m.campaign()
		}
	}
}

func (m *Member) randomDuration(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// checkQuorum reports whether a majority answered calls sent within the window.
// The caller holds m.mu.
func (m *Member) checkQuorum(window time.Duration) bool {
	return m.majorityOf(func(p *progress) bool { return time.Since(p.lastAnswered) <= window })
}

// majorityOf reports whether this member and the voters for which holds is true
// form a majority. The caller holds m.mu.
func (m *Member) majorityOf(holds func(*progress) bool) bool {
	group := m.store.group(m.store.lastIndex())
	n := 0
	for _, v := range group.Voters {
		p := m.followers[v.Node]
		if !v.Learner && (v.Node == m.node || p != nil && holds(p)) {
			n++
		}
	}
	return n >= group.majority()
}

// campaign runs a pre-vote and, if that is granted, an election in the same
// term. If another election has started in between, campaigning in a still
// newer term would depose the leader that has just won. Members that are
// several milliseconds apart often campaign together, which then takes one more
// election.
func (m *Member) campaign() {
	m.mu.Lock()
	term := m.store.ballot.Term + 1
	m.mu.Unlock()
	if m.runElection(ballotPre, term) {
		m.runElection(ballotVote, term)
	}
}

// ballotKind distinguishes the rounds of vote requests.
type ballotKind int

const (
	ballotPre      ballotKind = iota // pre-vote: does not change the term
	ballotVote                       // regular election
	ballotTransfer                   // leadership transfer, requested by the leader
)

// runElection runs one round of vote requests for a term and reports whether
// the member won it.
func (m *Member) runElection(kind ballotKind, term uint64) bool {
	pre := kind == ballotPre
	m.mu.Lock()
	if m.role == leader || m.fatalErr != nil || m.store.ballot.Term+1 != term {
		m.mu.Unlock()
		return false
	}
	if pre && !m.grantPreVote(m.node) {
		m.mu.Unlock()
		return false
	}
	if !pre {
		if !m.setTerm(term, m.node) {
			m.mu.Unlock()
			return false
		}
		m.role = candidate
		m.lastContact = time.Now()
	}
	args := VoteArgs{
		Pre: pre, Transfer: kind == ballotTransfer, Term: term, Candidate: m.node, Identity: m.identity,
		LastIndex: m.store.lastIndex(), LastTerm: m.store.lastTerm(),
	}
	group := m.store.group(m.store.lastIndex())
	m.mu.Unlock()
	if !m.requestVotes(args, group) {
		klog.InfoS("Election lost", "node", m.node, "pre", pre, "term", term, "group", group.Nodes())
		return false
	}
	if !pre {
		return m.becomeLeader(term)
	}
	return true
}

// requestVotes sends the request to every voter and reports whether a majority
// granted it.
func (m *Member) requestVotes(args VoteArgs, group Group) bool {
	ctx, cancel := context.WithTimeout(m.ctx, m.electionTimeout())
	defer cancel()
	replies := make(chan VoteReply, len(group.Voters))
	requested := 0
	granted := 1
	for _, v := range group.Voters {
		if v.Node == m.node || v.Learner {
			continue
		}
		requested++
		to := args
		to.To = v.Identity
		m.spawn(func() {
			var r VoteReply
			sent := time.Now()
			if m.peers.Call(ctx, v.Node, Service+".Vote", to, &r) != nil {
				replies <- VoteReply{}
				return
			}
			if args.Pre { // pre-votes only: a granted vote includes the voter's disk sync
				m.mu.Lock()
				m.recordRTT(v.Node, sent)
				m.mu.Unlock()
			}
			replies <- r
		})
	}
	for range requested {
		if granted >= group.majority() {
			break
		}
		select {
		case r := <-replies:
			if r.Granted {
				granted++
			}
			m.observeTerm(r.Term)
		case <-ctx.Done():
			return false
		}
	}
	return granted >= group.majority()
}

func (m *Member) observeTerm(term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term > m.store.ballot.Term {
		m.stepDown(term, "")
	}
}

// handleVote handles a vote or pre-vote request.
func (m *Member) handleVote(args VoteArgs) VoteReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := VoteReply{Term: m.store.ballot.Term}
	if m.fatalErr != nil || args.To != m.identity || !m.identityKnown(args) {
		return reply
	}
	upToDate := args.LastTerm > m.store.lastTerm() ||
		args.LastTerm == m.store.lastTerm() && args.LastIndex >= m.store.lastIndex()
	leaderAlive := !args.Transfer && (m.role == leader || m.knownLeader != "" && time.Since(m.lastContact) < m.electionTimeout())
	if args.Pre {
		votedRecently := time.Since(m.lastVote) < m.electionTimeout() // that candidate may just have won
		reply.Granted = upToDate && !leaderAlive && !votedRecently && args.Term > m.store.ballot.Term && m.grantPreVote(args.Candidate)
		return reply
	}
	if leaderAlive || args.Term < m.store.ballot.Term {
		return reply
	}
	if args.Term > m.store.ballot.Term {
		m.stepDown(args.Term, "")
	}
	reply.Term = m.store.ballot.Term
	canVote := m.store.ballot.Voted == "" || m.store.ballot.Voted == args.Candidate
	if !upToDate || !canVote || m.fatalErr != nil {
		return reply
	}
	if !m.setTerm(args.Term, args.Candidate) {
		return reply
	}
	m.lastContact = time.Now()
	m.lastVote = m.lastContact
	reply.Granted = true
	return reply
}

// grantPreVote grants a pre-vote to one candidate at a time, so that
// simultaneous candidates do not split the vote and wait for another election
// timeout. The caller holds m.mu.
func (m *Member) grantPreVote(candidate walnutramp.NodeName) bool {
	if m.preVotedFor != candidate && time.Since(m.preVotedAt) < m.electionTimeout()/preVoteHoldDivisor {
		return false
	}
	m.preVotedFor, m.preVotedAt = candidate, time.Now()
	return true
}

// identityKnown reports whether the candidate's identity matches the one in the
// group, or the group does not list its node. The caller holds m.mu.
func (m *Member) identityKnown(args VoteArgs) bool {
	v, ok := m.store.group(m.store.lastIndex()).find(args.Candidate)
	return !ok || v.Identity == args.Identity
}

// becomeLeader makes the member leader of the term it won and appends an empty
// entry, which commits the entries of earlier terms.
func (m *Member) becomeLeader(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != candidate || m.store.ballot.Term != term || m.fatalErr != nil || m.ctx.Err() != nil {
		return false
	}
	m.role = leader
	m.knownLeader = m.node
	m.stats.Elected++
	klog.InfoS("Leader elected", "node", m.node, "term", term, "last", m.store.lastIndex(), "group", m.store.group(m.store.lastIndex()).Nodes())
	if _, ok := m.appendLocal(Entry{}); !ok {
		return false
	}
	m.syncFollowers(time.Now())
	m.notifyChanged()
	return true
}
