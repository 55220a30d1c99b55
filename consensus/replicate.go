package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// maxEntries bounds the entries in one call to a follower.
const maxEntries = 256

// poke wakes the follower's replicate goroutine.
func (p *progress) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// syncFollowers starts a replication goroutine for each other member of the
// newest group, and stops those of removed members. The caller holds m.mu.
func (m *Member) syncFollowers(now time.Time) {
	group := m.store.group(m.store.lastIndex())
	for node, p := range m.followers {
		if v, ok := group.find(node); !ok || v.Identity != p.voter.Identity {
			p.stop()
			delete(m.followers, node)
		}
	}
	for _, v := range group.Voters {
		if v.Node == m.node {
			continue
		}
		if p := m.followers[v.Node]; p != nil {
			p.voter = v
			continue
		}
		ctx, stop := context.WithCancel(m.ctx)
		p := &progress{node: v.Node, voter: v, next: m.store.lastIndex(), lastAnswered: now, wake: make(chan struct{}, 1), stop: stop}
		p.next = max(p.next, m.store.snapshot.Index+1)
		m.followers[v.Node] = p
		m.spawn(func() { m.replicate(ctx, p) })
	}
}

// replicate sends entries and heartbeats to one follower.
func (m *Member) replicate(ctx context.Context, p *progress) {
	for ctx.Err() == nil {
		args, round, ok := m.nextCall(p)
		if !ok {
			return
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
		var reply AppendReply
		err := m.peers.Call(callCtx, p.node, Service+".Append", args, &reply)
		cancel()
		if err == nil && m.handleReply(p, args, reply, sent, round) {
			continue
		}
		if !m.idle(ctx, p) {
			return
		}
	}
}

// callTimeout bounds one call to a follower. It is half of the election timeout in
// use, so that a lost heartbeat is repeated before the follower campaigns, but at least
// the configured election timeout.
func (m *Member) callTimeout() time.Duration {
	return max(m.cfg.Election, m.electionTimeout()/2)
}

// idle waits until there is something to send or a heartbeat is due.
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

// nextCall returns the next request and the confirmation round that it belongs to, see
// progress.confirmRound; false if this member does not lead.
func (m *Member) nextCall(p *progress) (AppendArgs, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader {
		return AppendArgs{}, 0, false
	}
	m.setElectionTimeout(electionRTTs * m.quorumRTT())
	args := AppendArgs{Term: m.store.ballot.Term, Leader: m.node, To: p.voter.Identity, Commit: m.commit, Election: m.electionTimeout()}
	prevTerm, ok := m.store.term(p.next - 1)
	if !ok {
		args.Snapshot = m.snapshotFor(p)
		args.PrevIndex, args.PrevTerm = args.Snapshot.Index, args.Snapshot.Term
		return m.nextPart(p, args), m.confirmRound, true
	}
	args.PrevIndex, args.PrevTerm = p.next-1, prevTerm
	args.Entries = fitEntries(m.store.from(p.next, maxEntries), m.cfg.CallBytes)
	return m.nextPart(p, args), m.confirmRound, true
}

// handleReply processes a follower's reply. True means that the next call is due at
// once, false that it waits for a wake or the next heartbeat.
func (m *Member) handleReply(p *progress, args AppendArgs, r AppendReply, sent time.Time, round uint64) bool {
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
	p.lastAnswered = sent
	if len(args.Entries) == 0 && args.Snapshot == nil && args.Part == nil {
		m.recordRTT(p.node, sent)
	}
	p.confirmRound = max(p.confirmRound, round)
	p.quorumRTT = r.Quorum
	if r.Partial {
		m.notifyChanged() // a pending Confirm may need this round
		if p.out != nil {
			p.out.received = min(r.Held, len(p.out.bytes))
		}
		return true
	}
	p.out = nil // the payload has been received
	if !r.OK {
		p.next = max(min(r.Hint, p.next-1), 1)
		return true
	}
	p.match = max(p.match, r.Match)
	p.next = p.match + 1
	m.advanceCommit()
	m.notifyChanged()
	return p.next <= m.store.lastIndex()
}

// advanceCommit commits entries of the current term that a majority holds. The
// caller holds m.mu.
func (m *Member) advanceCommit() {
	group := m.store.group(m.store.lastIndex())
	var matches []uint64
	for _, v := range group.Voters {
		if v.Learner {
			continue
		}
		if v.Node == m.node {
			matches = append(matches, m.store.synced)
		} else if p := m.followers[v.Node]; p != nil {
			matches = append(matches, p.match)
		} else {
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-group.majority()]
	if t, ok := m.store.term(index); index > m.commit && ok && t == m.store.ballot.Term {
		m.commit = index
		m.notifyChanged()
		for _, p := range m.followers {
			p.poke()
		}
	}
}

// append handles an Append call of a leader.
func (m *Member) append(args AppendArgs) AppendReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := AppendReply{Term: m.store.ballot.Term}
	if args.To != m.identity || m.fatalErr != nil {
		reply.Alien = true
		return reply
	}
	if args.Term < m.store.ballot.Term {
		return reply
	}
	if args.Term > m.store.ballot.Term || m.role != follower || m.knownLeader != args.Leader {
		m.stepDown(args.Term, args.Leader)
	}
	m.lastContact = time.Now()
	m.setElectionTimeout(args.Election)
	reply.Term, reply.Quorum = m.store.ballot.Term, m.quorumRTT()
	if m.store.ballot.Term != args.Term {
		reply.Alien = true // the term could not be stored
		return reply
	}
	if args.Part != nil && !m.addPart(&args) {
		reply.Partial, reply.Held = true, m.receivedBytes()
		return reply
	}
	if args.Snapshot != nil && !m.installSnapshot(*args.Snapshot) {
		reply.Alien = true
		return reply
	}
	if t, ok := m.store.term(args.PrevIndex); !ok || t != args.PrevTerm {
		m.partial = nil
		reply.Hint = m.conflictHint(args.PrevIndex)
		return reply
	}
	if !m.appendNew(args) {
		reply.Alien = true
		return reply
	}
	m.partial = nil
	reply.OK = true
	reply.Match = args.PrevIndex + uint64(len(args.Entries))
	if commit := min(args.Commit, reply.Match); commit > m.commit {
		m.commit = commit
		m.notifyChanged()
	}
	return reply
}

// conflictHint returns the index from which the leader should retry. The caller
// holds m.mu.
func (m *Member) conflictHint(prev uint64) uint64 {
	if prev > m.store.lastIndex() {
		return m.store.lastIndex() + 1
	}
	return max(prev, m.commit+1)
}

// appendNew persists the entries that are missing or conflict with the log; false if
// that failed. The caller holds m.mu.
func (m *Member) appendNew(args AppendArgs) bool {
	for i, e := range args.Entries {
		if t, ok := m.store.term(e.Index); ok && t == e.Term || e.Index <= m.store.snapshot.Index {
			continue
		}
		if err := m.store.saveEntries(args.Entries[i:]); err != nil {
			m.fail(err)
			return false
		}
		break
	}
	return true
}

// installSnapshot restores a snapshot that is ahead of the commit index, and skips any
// other; false if that failed. The caller holds m.mu.
func (m *Member) installSnapshot(snap Snapshot) bool {
	if snap.Index <= m.commit {
		return true
	}
	// Saved first: a full disk may refuse it, and the state must then stay as it is.
	if err := m.store.saveSnapshot(snap); err != nil {
		m.fail(err)
		return false
	}
	if err := m.machine.Restore(snap.State); err != nil {
		m.fail(err)
		return false
	}
	m.commit = snap.Index
	m.applied = snap.Index
	m.notifyChanged()
	return true
}

// syncLocalEntries syncs a leader's own entries without holding the mutex.
// While its disk stalls, heartbeats go out and the other members form a
// majority. With the mutex held, the stall would end the leader's term, leave
// proposals with an unknown outcome and block their callers.
func (m *Member) syncLocalEntries() {
	for {
		select {
		case <-m.syncWake:
		case <-m.ctx.Done():
			return
		}
		m.syncStaged()
	}
}

// syncStaged writes the leader's own entries that so far are only in memory, and commits
// those that a majority then holds.
func (m *Member) syncStaged() {
	m.mu.Lock()
	batch := m.store.takeStaged()
	if len(batch) == 0 {
		m.mu.Unlock()
		return
	}
	m.store.disk.Lock() // locked before m.mu is released, so that no other write precedes the batch
	m.mu.Unlock()
	err := m.store.writeBatch(batch)
	m.store.disk.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.fail(err)
		return
	}
	m.store.markSynced(batch)
	if m.role == leader {
		m.advanceCommit()
	}
}

// persistCommits writes the applied index to disk, as the commit index. It is a
// goroutine of its own because the disk may stall.
func (m *Member) persistCommits() {
	persisted := m.store.snapshot.Index
	for {
		m.mu.Lock()
		changed, applied := m.changed, m.applied
		m.mu.Unlock()
		if applied > persisted {
			if err := m.store.saveCommitIndex(applied); err != nil {
				klog.InfoS("Could not write the commit index", "node", m.node, "err", err)
			}
			persisted = applied
		}
		select {
		case <-changed:
		case <-m.ctx.Done():
			return
		}
	}
}

// apply applies committed entries to the state machine.
func (m *Member) apply() {
	for {
		m.mu.Lock()
		for m.applied < m.commit && m.fatalErr == nil {
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

// applyNext applies one entry. The caller holds m.mu.
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
	if p := m.proposals[e.Index]; p != nil {
		delete(m.proposals, e.Index)
		code := walnutramp.CodeOK
		if p.term != e.Term {
			code = walnutramp.CodeOutcomeUnknown
		}
		p.result <- outcome{code: code, result: result}
	}
	m.notifyChanged()
}

// compact replaces a log that has grown too large by a snapshot. The caller
// holds m.mu.
func (m *Member) compact() {
	size, ok := m.store.logSize()
	if m.fatalErr != nil || !ok || size < m.cfg.CompactBytes || m.applied == m.store.snapshot.Index || time.Now().Before(m.compactAfter) {
		return
	}
	term, ok := m.store.term(m.applied)
	if !ok {
		return
	}
	snap := Snapshot{Index: m.applied, Term: term, Group: m.store.group(m.applied), State: m.machine.Snapshot()}
	if err := m.store.saveSnapshot(snap); err != nil {
		m.compactAfter = time.Now().Add(compactionRetryDelay)
		m.fail(err)
	}
}
