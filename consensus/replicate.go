package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// maxEntries bounds one call to a follower.
const maxEntries = 256

func (p *progress) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// syncFollowers makes one task for each other member of the newest group. The
// caller holds the mutex.
func (m *Member) syncFollowers(now time.Time) {
	group := m.store.group(m.store.lastIndex())
	for node, p := range m.follow {
		if v, ok := group.find(node); !ok || v.Identity != p.voter.Identity {
			p.stop()
			delete(m.follow, node)
		}
	}
	for _, v := range group.Voters {
		if v.Node == m.node {
			continue
		}
		if p := m.follow[v.Node]; p != nil {
			p.voter = v
			continue
		}
		ctx, stop := context.WithCancel(m.ctx)
		p := &progress{node: v.Node, voter: v, next: m.store.lastIndex(), asked: now, wake: make(chan struct{}, 1), stop: stop}
		p.next = max(p.next, m.store.snapshot.Index+1)
		m.follow[v.Node] = p
		m.spawn(func() { m.replicate(ctx, p) })
	}
}

// replicate is the one task that brings the log to a follower.
func (m *Member) replicate(ctx context.Context, p *progress) {
	for ctx.Err() == nil {
		args, round, ok := m.nextCall(p)
		if !ok {
			return
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, m.callLimit())
		var reply AppendReply
		err := m.peers.Call(callCtx, p.node, Service+".Append", args, &reply)
		cancel()
		if err == nil && m.answered(p, args, reply, sent, round) {
			continue
		}
		if !m.idle(ctx, p) {
			return
		}
	}
}

// callLimit bounds one call to a follower. Where members are far apart it is
// half of their election timeout, so that one lost heartbeat is followed by
// another in time: with a whole one, 55 of 240 plays of
// TestFarMembersKeepTheirLeader lost their leader, now none of 240.
func (m *Member) callLimit() time.Duration {
	return max(m.cfg.Election, m.electionTimeout()/2)
}

// idle waits for something to send, a heartbeat at the latest.
func (m *Member) idle(ctx context.Context, p *progress) bool {
	t := time.NewTimer(m.cfg.Heartbeat)
	defer t.Stop()
	select {
	case <-p.wake:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// nextCall returns what to send, and the confirmation round it belongs to.
func (m *Member) nextCall(p *progress) (AppendArgs, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader {
		return AppendArgs{}, 0, false
	}
	m.setElectionTimeout(electionTrips * m.quorumTrip())
	args := AppendArgs{Term: m.store.ballot.Term, Leader: m.node, To: p.voter.Identity, Commit: m.commit, Election: m.electionTimeout()}
	prevTerm, ok := m.store.term(p.next - 1)
	if !ok {
		args.Snapshot = m.snapshotFor(p)
		args.PrevIndex, args.PrevTerm = args.Snapshot.Index, args.Snapshot.Term
		return m.split(p, args), m.round, true
	}
	args.PrevIndex, args.PrevTerm = p.next-1, prevTerm
	args.Entries = fitting(m.store.from(p.next, maxEntries), m.cfg.CallBytes)
	return m.split(p, args), m.round, true
}

// answered takes a follower's answer; true means there is more to send.
func (m *Member) answered(p *progress, args AppendArgs, r AppendReply, sent time.Time, round uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader || args.Term != m.store.ballot.Term {
		return false
	}
	if r.Term > m.store.ballot.Term {
		m.stepDown(r.Term, "")
		return false
	}
	if r.Alien {
		return false
	}
	p.asked = sent
	if len(args.Entries) == 0 && args.Snapshot == nil && args.Part == nil {
		m.noteTrip(p.node, sent)
	}
	p.round = max(p.round, round)
	p.quorum = r.Quorum
	if r.Partial {
		m.notify() // a confirmation may wait for this round
		if p.out != nil {
			p.out.held = min(r.Held, len(p.out.bytes))
		}
		return true
	}
	p.out = nil // the whole has arrived
	if !r.OK {
		p.next = max(min(r.Hint, p.next-1), 1)
		return true
	}
	p.match = max(p.match, r.Match)
	p.next = p.match + 1
	m.advance()
	m.notify()
	return p.next <= m.store.lastIndex()
}

// advance commits what a majority holds, if it is of this term. The caller
// holds the mutex.
func (m *Member) advance() {
	group := m.store.group(m.store.lastIndex())
	var held []uint64
	for _, v := range group.Voters {
		if v.Learner {
			continue
		}
		if v.Node == m.node {
			held = append(held, m.store.synced)
		} else if p := m.follow[v.Node]; p != nil {
			held = append(held, p.match)
		} else {
			held = append(held, 0)
		}
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	index := held[len(held)-group.majority()]
	if t, ok := m.store.term(index); index > m.commit && ok && t == m.store.ballot.Term {
		m.commit = index
		m.notify()
		for _, p := range m.follow {
			p.poke()
		}
	}
}

// append answers a leader.
func (m *Member) append(args AppendArgs) AppendReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := AppendReply{Term: m.store.ballot.Term}
	if args.To != m.identity || m.dead != nil {
		reply.Alien = true
		return reply
	}
	if args.Term < m.store.ballot.Term {
		return reply
	}
	if args.Term > m.store.ballot.Term || m.role != follower || m.leaderIs != args.Leader {
		m.stepDown(args.Term, args.Leader)
	}
	m.heard = time.Now()
	m.setElectionTimeout(args.Election)
	reply.Term, reply.Quorum = m.store.ballot.Term, m.quorumTrip()
	if m.dead != nil {
		return reply
	}
	if args.Part != nil && !m.gather(&args) {
		reply.Partial, reply.Held = true, m.gathered()
		return reply
	}
	if args.Snapshot != nil && !m.install(*args.Snapshot) {
		return reply
	}
	if t, ok := m.store.term(args.PrevIndex); !ok || t != args.PrevTerm {
		reply.Hint = m.hint(args.PrevIndex)
		return reply
	}
	if !m.take(args) {
		return reply
	}
	reply.OK = true
	reply.Match = args.PrevIndex + uint64(len(args.Entries))
	if commit := min(args.Commit, reply.Match); commit > m.commit {
		m.commit = commit
		m.notify()
	}
	return reply
}

// hint says where the logs may still agree. The caller holds the mutex.
func (m *Member) hint(prev uint64) uint64 {
	if prev > m.store.lastIndex() {
		return m.store.lastIndex() + 1
	}
	return max(prev, m.commit+1)
}

// take syncs the entries that are new. The caller holds the mutex.
func (m *Member) take(args AppendArgs) bool {
	for i, e := range args.Entries {
		if t, ok := m.store.term(e.Index); ok && t == e.Term || e.Index <= m.store.snapshot.Index {
			continue
		}
		if err := m.store.saveEntries(args.Entries[i:]); err != nil {
			m.die(err)
			return false
		}
		break
	}
	return true
}

// install takes a snapshot that is ahead. The caller holds the mutex.
func (m *Member) install(snap Snapshot) bool {
	if snap.Index <= m.commit {
		return true
	}
	if err := m.machine.Restore(snap.State); err != nil {
		m.die(err)
		return false
	}
	if err := m.store.saveSnapshot(snap); err != nil {
		m.die(err)
		return false
	}
	m.commit = snap.Index
	m.applied = snap.Index
	m.notify()
	return true
}

// syncOwn is the one task that syncs a leader's own entries. It does so without
// the mutex: while the disk stalls, heartbeats go out, and the others make a
// majority without this member. With the sync under the mutex, a stall of the
// leader's disk of 1 s ended its term, left what was proposed unknown and held
// up its callers for as long (TestStalledDiskOfTheLeaderHoldsNobodyUp).
func (m *Member) syncOwn() {
	for {
		select {
		case <-m.unsynced:
		case <-m.ctx.Done():
			return
		}
		m.syncStaged()
	}
}

func (m *Member) syncStaged() {
	m.mu.Lock()
	batch := m.store.takeStaged()
	if len(batch) == 0 {
		m.mu.Unlock()
		return
	}
	m.store.disk.Lock() // under the mutex, so that nothing is written before the batch
	m.mu.Unlock()
	err := m.store.writeBatch(batch)
	m.store.disk.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.die(err)
		return
	}
	m.store.noteSynced(batch)
	if m.role == leader {
		m.advance()
	}
}

// noteCommits is the one task that leaves word of how far commands were run,
// which a stalled disk holds up.
func (m *Member) noteCommits() {
	noted := m.store.snapshot.Index
	for {
		m.mu.Lock()
		changed, applied := m.changed, m.applied
		m.mu.Unlock()
		if applied > noted {
			if err := m.store.noteCommit(applied); err != nil {
				klog.InfoS("Commit not noted", "node", m.node, "err", err)
			}
			noted = applied
		}
		select {
		case <-changed:
		case <-m.ctx.Done():
			return
		}
	}
}

// apply is the one task that runs committed commands.
func (m *Member) apply() {
	for {
		m.mu.Lock()
		for m.applied < m.commit && m.dead == nil {
			m.applyNext()
		}
		m.compact()
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-m.ctx.Done():
			return
		}
	}
}

// applyNext runs one command. The caller holds the mutex.
func (m *Member) applyNext() {
	e, ok := m.store.entry(m.applied + 1)
	if !ok {
		return
	}
	var result []byte
	if len(e.Data) > 0 {
		result = m.machine.Apply(e.Index, e.Data)
	}
	m.applied = e.Index
	if p := m.waiting[e.Index]; p != nil {
		delete(m.waiting, e.Index)
		code := walnutramp.CodeOK
		if p.term != e.Term {
			code = walnutramp.CodeOutcomeUnknown
		}
		p.result <- outcome{code: code, result: result}
	}
	m.notify()
}

// compact puts a snapshot in place of a long log. The caller holds the mutex.
func (m *Member) compact() {
	size, ok := m.store.sizeAtRest()
	if m.dead != nil || !ok || size < m.cfg.CompactBytes || m.applied == m.store.snapshot.Index {
		return
	}
	term, ok := m.store.term(m.applied)
	if !ok {
		return
	}
	snap := Snapshot{Index: m.applied, Term: term, Group: m.store.group(m.applied), State: m.machine.Snapshot()}
	if err := m.store.saveSnapshot(snap); err != nil {
		m.die(err)
	}
}
