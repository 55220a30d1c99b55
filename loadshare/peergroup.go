package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// pacing bounds how often a group of peers is sent updates. The batching delay
// grows with the number of peers, so that a node's datagram rate stays bounded.
type pacing struct {
	minDelay     time.Duration // minimum batching delay
	perPeerDelay time.Duration // batching delay per peer
	fullInterval time.Duration // maximum interval between full messages
}

// Nodes of the same data hall mostly choose among the same targets, so they are
// updated more often.
var (
	sameHallPacing  = pacing{minDelay: 10 * time.Millisecond, perPeerDelay: time.Millisecond, fullInterval: time.Second}
	otherHallPacing = pacing{minDelay: 10 * time.Millisecond, perPeerDelay: 3 * time.Millisecond, fullInterval: 1400 * time.Millisecond}
)

// batchDelay returns how long changes are batched for this many peers.
func (p pacing) batchDelay(peers int) time.Duration {
	return max(p.minDelay, time.Duration(peers)*p.perPeerDelay)
}

// peerGroup is a group of peers that receive the same messages, and the state last
// sent to them. Only its own send loop uses it, except for the channel.
type peerGroup struct {
	pacing   pacing
	sameHall bool // peers of this node's data hall
	relays   bool // the relays of this node's data hall, on sites that use relays
	changed  chan struct{}

	lastFull         time.Time // time of the last full message
	peerCount        int       // number of recipients of the last message
	sentRuns         map[uint64]balance.RunReport
	sentEnded        map[string]bool
	sentSuspects     map[string]bool
	sentUnresponsive map[string]bool
	crashCursor      uint64 // sequence number of the last crash report sent
}

func newPeerGroup(sameHall bool, p pacing) *peerGroup {
	return &peerGroup{pacing: p, sameHall: sameHall, changed: make(chan struct{}, 1)}
}

// newRelayGroup returns the group of relays, which stays small on large sites.
func newRelayGroup() *peerGroup {
	a := newPeerGroup(false, sameHallPacing)
	a.relays = true
	return a
}

// wake signals that there may be changes to send.
func (a *peerGroup) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// drain clears a pending wake that the next message covers.
func (a *peerGroup) drain() {
	select {
	case <-a.changed:
	default:
	}
}

// fullDue reports whether a full message is due: after fullInterval, and when
// there are new peers.
func (a *peerGroup) fullDue(now time.Time, peers int) bool {
	return peers > a.peerCount || now.Sub(a.lastFull) >= a.pacing.fullInterval
}

// localState is the state of this node that peers are sent.
type localState struct {
	runs         []balance.RunReport
	ended        []string
	suspects     []string
	unresponsive []string
	counts       map[string]balance.Count
	crashes      []crashReport
}

// buildMessages returns the messages that bring the group up to date: the full
// state, or the changes since the last call, if any.
func (a *peerGroup) buildMessages(state localState, full bool) []message {
	if full {
		a.sentRuns = map[uint64]balance.RunReport{}
		a.sentEnded, a.sentSuspects, a.sentUnresponsive = nil, nil, nil
	}
	runs := a.changedRuns(state.runs)
	finished := a.finishedRuns(state.runs)
	ended := notIn(a.sentEnded, state.ended)
	suspects := notIn(a.sentSuspects, state.suspects)
	unresponsive := notIn(a.sentUnresponsive, state.unresponsive)
	a.sentEnded, a.sentSuspects, a.sentUnresponsive = toSet(state.ended), toSet(state.suspects), toSet(state.unresponsive)
	crashes := state.crashes
	if !full && len(runs)+len(finished)+len(ended)+len(suspects)+len(unresponsive)+len(crashes) == 0 {
		return nil
	}
	first := message{Full: full, Counts: state.counts}
	first.Ended, _ = splitAt(ended, maxTargets)
	first.Suspects, _ = splitAt(suspects, maxTargets)
	first.Silent, _ = splitAt(unresponsive, maxTargets)
	first.Runs, runs = splitAt(runs, maxRuns)
	first.Finished, finished = splitAt(finished, maxFinished)
	first.Crashes, crashes = splitAt(crashes, maxCrashes)
	messages := []message{first}
	for len(runs)+len(finished)+len(crashes) > 0 {
		var m message
		m.Runs, runs = splitAt(runs, maxRuns)
		m.Finished, finished = splitAt(finished, maxFinished)
		m.Crashes, crashes = splitAt(crashes, maxCrashes)
		messages = append(messages, m)
	}
	return messages
}

// changedRuns returns the runs that are new or changed, and records them as sent.
func (a *peerGroup) changedRuns(now []balance.RunReport) []run {
	var changed []run
	for _, r := range now {
		before, known := a.sentRuns[r.Number]
		if known && before.PendingTokens == r.PendingTokens && before.Failed == r.Failed && before.Trace.CopyName == r.Trace.CopyName {
			continue
		}
		a.sentRuns[r.Number] = r
		changed = append(changed, encodeRun(r))
	}
	return changed
}

// finishedRuns returns the numbers of runs that were sent and have ended since.
func (a *peerGroup) finishedRuns(now []balance.RunReport) []uint64 {
	live := make(map[uint64]bool, len(now))
	for _, r := range now {
		live[r.Number] = true
	}
	var finished []uint64
	for number := range a.sentRuns {
		if !live[number] {
			delete(a.sentRuns, number)
			finished = append(finished, number)
		}
	}
	return finished
}

// notIn returns the names that are not in a set.
func notIn(set map[string]bool, names []string) []string {
	var missing []string
	for _, name := range names {
		if !set[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// splitAt splits a list after its first n elements.
func splitAt[E any](list []E, n int) (head, rest []E) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
