package consensus

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// endorseShare of an election timeout is how long a pre-vote is kept for one
// candidate: longer than it takes to ask for the votes, and shorter than the
// wait of the others before they ask again.
const endorseShare = 4

// keepTimer starts an election when no leader is heard of, and makes a leader
// that hears no majority step down. A leader whose machine was suspended heard
// none meanwhile. The silence of others is measured without that time: nobody
// could have been heard in it.
func (m *Member) keepTimer() {
	slept := uptime.Suspended()
	for {
		shortest := m.electionTimeout()
		wait := shortest + m.draw(shortest)
		if !pause.For(m.ctx, wait/4) {
			return
		}
		before := slept
		slept = uptime.Suspended()
		m.mu.Lock()
		due := m.role != leader && m.isVoter() && time.Since(m.heard) > wait
		if m.role == leader && (slept-before > 2*shortest || !m.hearsMajority(2*shortest)) {
			klog.InfoS("Leader hears no majority", "node", m.node, "term", m.store.ballot.Term, "suspended", slept-before)
			m.stepDown(m.store.ballot.Term, "")
		}
		m.mu.Unlock()
		if due {
			m.campaign()
		}
	}
}

func (m *Member) draw(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// hearsMajority reports whether a majority answered calls sent within the
// window. The caller holds the mutex.
func (m *Member) hearsMajority(window time.Duration) bool {
	return m.majorityOf(func(p *progress) bool { return time.Since(p.asked) <= window })
}

// majorityOf reports whether this member and those voters for which holds is
// true are a majority. The caller holds the mutex.
func (m *Member) majorityOf(holds func(*progress) bool) bool {
	group := m.store.group(m.store.lastIndex())
	n := 0
	for _, v := range group.Voters {
		p := m.follow[v.Node]
		if !v.Learner && (v.Node == m.node || p != nil && holds(p)) {
			n++
		}
	}
	return n >= group.majority()
}

// campaign asks first whether it would be elected, and only then in earnest,
// in the term that it asked about: where another election has begun meanwhile,
// one in the term behind it would depose the leader that has just won. Of six
// members 12 ms apart two often campaign together: without this 1.16 terms
// followed each lost leader, and 0.7 s where it was more than one.
func (m *Member) campaign() {
	m.mu.Lock()
	term := m.store.ballot.Term + 1
	m.mu.Unlock()
	if m.poll(ballotPre, term) {
		m.poll(ballotVote, term)
	}
}

// ballotKind is what a round of votes is for.
type ballotKind int

const (
	ballotPre      ballotKind = iota // whether the candidate would be elected
	ballotVote                       // an election
	ballotTransfer                   // an election at the leader's order: it ends its own term
)

// poll runs one round of votes for a term and reports whether it was won.
func (m *Member) poll(kind ballotKind, term uint64) bool {
	pre := kind == ballotPre
	m.mu.Lock()
	if m.role == leader || m.dead != nil || m.store.ballot.Term+1 != term {
		m.mu.Unlock()
		return false
	}
	if pre && !m.endorse(m.node) {
		m.mu.Unlock()
		return false
	}
	if !pre {
		if !m.enter(term, m.node) {
			m.mu.Unlock()
			return false
		}
		m.role = candidate
		m.heard = time.Now()
	}
	args := VoteArgs{
		Pre: pre, Transfer: kind == ballotTransfer, Term: term, Candidate: m.node, Identity: m.identity,
		LastIndex: m.store.lastIndex(), LastTerm: m.store.lastTerm(),
	}
	group := m.store.group(m.store.lastIndex())
	m.mu.Unlock()
	if !m.collect(args, group) {
		klog.InfoS("Election not won", "node", m.node, "pre", pre, "term", term, "group", group.Nodes())
		return false
	}
	if !pre {
		return m.lead(term)
	}
	return true
}

// collect asks every voter and reports whether a majority granted.
func (m *Member) collect(args VoteArgs, group Group) bool {
	ctx, cancel := context.WithTimeout(m.ctx, m.electionTimeout())
	defer cancel()
	replies := make(chan VoteReply, len(group.Voters))
	asked := 0
	granted := 1
	for _, v := range group.Voters {
		if v.Node == m.node || v.Learner {
			continue
		}
		asked++
		to := args
		to.To = v.Identity
		m.spawn(func() {
			var r VoteReply
			sent := time.Now()
			if m.peers.Call(ctx, v.Node, Service+".Vote", to, &r) != nil {
				replies <- VoteReply{}
				return
			}
			if args.Pre { // a vote waits for the voter's disk
				m.mu.Lock()
				m.noteTrip(v.Node, sent)
				m.mu.Unlock()
			}
			replies <- r
		})
	}
	for range asked {
		if granted >= group.majority() {
			break
		}
		select {
		case r := <-replies:
			if r.Granted {
				granted++
			}
			m.learnTerm(r.Term)
		case <-ctx.Done():
			return false
		}
	}
	return granted >= group.majority()
}

func (m *Member) learnTerm(term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term > m.store.ballot.Term {
		m.stepDown(term, "")
	}
}

// vote answers a candidate.
func (m *Member) vote(args VoteArgs) VoteReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := VoteReply{Term: m.store.ballot.Term}
	if m.dead != nil || args.To != m.identity || !m.knows(args) {
		return reply
	}
	upToDate := args.LastTerm > m.store.lastTerm() ||
		args.LastTerm == m.store.lastTerm() && args.LastIndex >= m.store.lastIndex()
	leaderLives := !args.Transfer && (m.role == leader || m.leaderIs != "" && time.Since(m.heard) < m.electionTimeout())
	if args.Pre {
		electing := time.Since(m.voted) < m.electionTimeout() // the one this member voted for may just have won
		reply.Granted = upToDate && !leaderLives && !electing && args.Term > m.store.ballot.Term && m.endorse(args.Candidate)
		return reply
	}
	if leaderLives || args.Term < m.store.ballot.Term {
		return reply
	}
	if args.Term > m.store.ballot.Term {
		m.stepDown(args.Term, "")
	}
	reply.Term = m.store.ballot.Term
	free := m.store.ballot.Voted == "" || m.store.ballot.Voted == args.Candidate
	if !upToDate || !free || m.dead != nil {
		return reply
	}
	if !m.enter(args.Term, args.Candidate) {
		return reply
	}
	m.heard = time.Now()
	m.voted = m.heard
	reply.Granted = true
	return reply
}

// endorse grants one candidate at a time a pre-vote. Where two ask at the same
// moment they would both go on, split the votes and wait for another election
// timeout; so one goes on, or both ask again when they next look at the timer.
// With six members 12 ms apart the slowest of 400 elections took 1.36 s without
// this and 0.88 s with it (TestOneElectionFollowsALostLeader). The caller holds
// the mutex.
func (m *Member) endorse(candidate walnutramp.NodeName) bool {
	if m.endorsed != candidate && time.Since(m.endorsedAt) < m.electionTimeout()/endorseShare {
		return false
	}
	m.endorsed, m.endorsedAt = candidate, time.Now()
	return true
}

// knows reports whether the candidate's disk is one this member knows of, or
// this member knows of no group yet. The caller holds the mutex.
func (m *Member) knows(args VoteArgs) bool {
	v, ok := m.store.group(m.store.lastIndex()).find(args.Candidate)
	return !ok || v.Identity == args.Identity
}

// lead makes the member the leader of a term it won, with an entry that
// commits what earlier terms left.
func (m *Member) lead(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != candidate || m.store.ballot.Term != term || m.dead != nil || m.ctx.Err() != nil {
		return false
	}
	m.role = leader
	m.leaderIs = m.node
	m.stats.Elected++
	klog.InfoS("Leader elected", "node", m.node, "term", term, "last", m.store.lastIndex(), "group", m.store.group(m.store.lastIndex()).Nodes())
	if _, ok := m.appendOwn(Entry{}); !ok {
		return false
	}
	m.syncFollowers(time.Now())
	m.notify()
	return true
}
