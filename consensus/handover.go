package consensus

import (
	"cmp"
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"k8s.io/klog/v2"
)

// TimeoutNowArgs asks a follower to campaign at once (leadership transfer).
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

// TimeoutNow handles a leadership transfer request.
func (h *Handler) TimeoutNow(args TimeoutNowArgs, reply *TimeoutNowReply) error {
	*reply = h.m.timeoutNow(args)
	return nil
}

// timeoutNow campaigns if the caller is this member's current leader.
func (m *Member) timeoutNow(args TimeoutNowArgs) TimeoutNowReply {
	m.mu.Lock()
	term := m.store.ballot.Term
	taken := args.To == m.identity && args.Term == term && m.role == follower && m.knownLeader == args.Leader &&
		m.isVoter() && m.fatalErr == nil && m.ctx.Err() == nil
	m.mu.Unlock()
	if taken {
		m.spawn(func() { m.runElection(ballotTransfer, term+1) })
	}
	return TimeoutNowReply{Term: term, Taken: taken}
}

// TransferLeadership transfers leadership to a follower whose log is up to date, and
// reports whether this member has stopped leading. It fails if this member does
// not lead, another transfer is in progress, no voter answers, or the transfer
// takes longer than an election timeout. Proposals that arrive
// meanwhile block and are then rejected with CodeNoLeader; entries appended
// before are committed and acknowledged first.
func (m *Member) TransferLeadership(ctx context.Context) bool { return m.transferTo(ctx, "") }

// transferTo transfers leadership to the preferred member, or to any if it is
// empty.
func (m *Member) transferTo(ctx context.Context, preferred walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, m.electionTimeout())
	defer cancel()
	target, term, ok := m.beginTransfer(preferred)
	if !ok {
		return false
	}
	began := time.Now()
	done := m.awaitCaughtUp(ctx, target) && m.sendTimeoutNow(ctx, target, term) && m.awaitSuccessor(ctx)
	m.endTransfer(done, preferred != "")
	klog.InfoS("Leadership transfer finished", "node", m.node, "to", target, "term", term, "done", done, "took", time.Since(began))
	return done
}

// beginTransfer blocks new proposals and selects the successor.
func (m *Member) beginTransfer(preferred walnutramp.NodeName) (target walnutramp.NodeName, term uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != leader || m.successor != "" || m.fatalErr != nil {
		return "", 0, false
	}
	m.successor = cmp.Or(preferred, m.selectSuccessor())
	return m.successor, m.store.ballot.Term, m.successor != ""
}

// endTransfer unblocks proposals and records the outcome.
func (m *Member) endTransfer(done, toBetterPlaced bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.countTransfer(done, toBetterPlaced)
	m.successor = ""
	m.notifyChanged()
}

// selectSuccessor returns the most up-to-date voter that answered within an
// election timeout, preferring the shortest round trip; empty if there is none.
// The caller holds m.mu.
func (m *Member) selectSuccessor() walnutramp.NodeName {
	var best *progress
	for _, p := range m.followers {
		if p.voter.Learner || time.Since(p.lastAnswered) > m.electionTimeout() {
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

// precedes reports whether p is a better successor than other. The caller holds
// m.mu.
func (m *Member) precedes(p, other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	rtt, otherRTT := m.rttTo(p.node), m.rttTo(other.node)
	if rtt != otherRTT {
		return otherRTT == 0 || rtt != 0 && rtt < otherRTT // 0: unknown
	}
	return p.node < other.node
}

// awaitCaughtUp waits until the target holds the whole log and every entry of
// it is committed and applied.
func (m *Member) awaitCaughtUp(ctx context.Context, target walnutramp.NodeName) bool {
	return m.await(ctx, func() (done, failed bool) {
		p := m.followers[target]
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

// awaitSuccessor waits until this member no longer leads.
func (m *Member) awaitSuccessor(ctx context.Context) bool {
	return m.await(ctx, func() (done, failed bool) { return m.role != leader, false })
}

// await evaluates the condition, with m.mu held, at every state change until it
// reports done or failed.
func (m *Member) await(ctx context.Context, condition func() (done, failed bool)) bool {
	for {
		m.mu.Lock()
		done, failed := condition()
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

// awaitTransfer blocks while a leadership transfer is in progress. It returns
// the designated successor, to which callers redirect proposals.
func (m *Member) awaitTransfer(ctx context.Context) walnutramp.NodeName {
	m.mu.Lock()
	successor := m.successor
	m.mu.Unlock()
	if successor == "" {
		return ""
	}
	m.await(ctx, func() (done, failed bool) { return m.successor == "" || m.role != leader, false })
	return successor
}
