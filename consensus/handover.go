package consensus

import (
	"cmp"
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// TimeoutNowArgs has a follower campaign at once, in the place of the leader
// that sends it.
type TimeoutNowArgs struct {
	Term   uint64
	Leader walnutramp.NodeName
	To     Identity
}

// TimeoutNowReply answers TimeoutNowArgs.
type TimeoutNowReply struct {
	Term  uint64
	Taken bool
}

// TimeoutNow answers a leader that hands over.
func (h *Handler) TimeoutNow(args TimeoutNowArgs, reply *TimeoutNowReply) error {
	*reply = h.m.timeoutNow(args)
	return nil
}

// timeoutNow campaigns if the caller is the leader that this member follows.
func (m *Member) timeoutNow(args TimeoutNowArgs) TimeoutNowReply {
	m.mu.Lock()
	term := m.store.ballot.Term
	taken := args.To == m.identity && args.Term == term && m.role == follower && m.leaderIs == args.Leader &&
		m.isVoter() && m.dead == nil && m.ctx.Err() == nil
	m.mu.Unlock()
	if taken {
		m.spawn(func() { m.poll(ballotTransfer, term+1) })
	}
	return TimeoutNowReply{Term: term, Taken: taken}
}

// HandOver passes the leadership to a follower that holds the whole log, and
// reports whether this member has stopped leading. Proposals that come
// meanwhile wait, and are then answered as not taken; what was taken before is
// committed and answered first, so that no acknowledgement is lost.
func (m *Member) HandOver(ctx context.Context) bool { return m.handOverTo(ctx, "") }

// handOverTo is HandOver to a member; an empty name is any.
func (m *Member) handOverTo(ctx context.Context, preferred walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, m.electionTimeout())
	defer cancel()
	target, term, ok := m.beginHandOver(preferred)
	if !ok {
		return false
	}
	began := time.Now()
	done := m.awaitCaughtUp(ctx, target) && m.sendTimeoutNow(ctx, target, term) && m.awaitSuccessor(ctx)
	m.endHandOver(done, preferred != "")
	klog.InfoS("Leadership handed over", "node", m.node, "to", target, "term", term, "done", done, "took", time.Since(began))
	return done
}

// beginHandOver stops taking proposals and chooses who leads next.
func (m *Member) beginHandOver(preferred walnutramp.NodeName) (target walnutramp.NodeName, term uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader || m.successor != "" || m.dead != nil {
		return "", 0, false
	}
	m.successor = cmp.Or(preferred, m.nextLeader())
	return m.successor, m.store.ballot.Term, m.successor != ""
}

// endHandOver takes proposals again, or sends them elsewhere.
func (m *Member) endHandOver(done, nearer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.noteHandOver(done, nearer)
	m.successor = ""
	m.notify()
}

// nextLeader returns the voter that answered lately and is least behind, the
// nearest of these; empty if there is none. The caller holds the mutex.
func (m *Member) nextLeader() walnutramp.NodeName {
	var best *progress
	for _, p := range m.follow {
		if p.voter.Learner || time.Since(p.asked) > m.electionTimeout() {
			continue
		}
		if best == nil || m.precedes(p, best) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.node
}

// precedes reports whether p is a better next leader than other. The caller
// holds the mutex.
func (m *Member) precedes(p, other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	trip, others := m.tripTo(p.node), m.tripTo(other.node)
	if trip != others {
		return others == 0 || trip != 0 && trip < others // 0 is not known
	}
	return p.node < other.node
}

// awaitCaughtUp waits until the target holds the whole log and everything in
// it is committed and answered.
func (m *Member) awaitCaughtUp(ctx context.Context, target walnutramp.NodeName) bool {
	return m.await(ctx, func() (done, failed bool) {
		p := m.follow[target]
		if m.role != leader || p == nil {
			return false, true
		}
		last := m.store.lastIndex()
		if p.match < last {
			p.poke()
		}
		return p.match == last && m.applied == last, false
	})
}

func (m *Member) sendTimeoutNow(ctx context.Context, target walnutramp.NodeName, term uint64) bool {
	m.mu.Lock()
	v, ok := m.store.group(m.store.lastIndex()).find(target)
	m.mu.Unlock()
	if !ok {
		return false
	}
	var reply TimeoutNowReply
	args := TimeoutNowArgs{Term: term, Leader: m.node, To: v.Identity}
	return m.peers.Call(ctx, target, Service+".TimeoutNow", args, &reply) == nil && reply.Taken
}

// awaitSuccessor waits until a newer term has ended this one.
func (m *Member) awaitSuccessor(ctx context.Context) bool {
	return m.await(ctx, func() (done, failed bool) { return m.role != leader, false })
}

// await looks at the member's state, with the mutex held, at every change of it
// until look reports an end.
func (m *Member) await(ctx context.Context, look func() (done, failed bool)) bool {
	for {
		m.mu.Lock()
		done, failed := look()
		changed := m.changed
		m.mu.Unlock()
		if done || failed {
			return done
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitTaking waits while the leadership is handed over. It returns the member
// that takes it, where proposals go next.
func (m *Member) awaitTaking(ctx context.Context) walnutramp.NodeName {
	m.mu.Lock()
	successor := m.successor
	m.mu.Unlock()
	if successor == "" {
		return ""
	}
	m.await(ctx, func() (done, failed bool) { return m.successor == "" || m.role != leader, false })
	return successor
}
