package loadshare

import (
	"time"

	"github.com/walnutramp/walnutramp/balance"
)

// pace is how often a group of peers is told. The more peers there are, the
// longer changes are gathered, so that a node's datagrams a second stay
// bounded.
type pace struct {
	settle  time.Duration // shortest time in which changes are gathered
	perPeer time.Duration // the same for each peer
	refresh time.Duration // longest time between two full messages
}

// Paces of telling. Nodes of the own data hall mostly choose among the same
// targets, so they are told sooner.
var (
	nearPace = pace{settle: 10 * time.Millisecond, perPeer: time.Millisecond, refresh: time.Second}
	farPace  = pace{settle: 10 * time.Millisecond, perPeer: 3 * time.Millisecond, refresh: 1400 * time.Millisecond}
)

// gather returns how long changes are gathered before that many peers are told.
func (p pace) gather(peers int) time.Duration {
	return max(p.settle, time.Duration(peers)*p.perPeer)
}

// audience is a group of peers that are told the same, and what they were
// told last. Only its own task uses it, but for the channel.
type audience struct {
	pace    pace
	near    bool // peers of the own data hall
	relays  bool // relays of the own data hall, on a site of many nodes
	changed chan struct{}

	fullAt   time.Time // when the last full message was sent
	peers    int       // that were told last
	told     map[uint64]balance.Shared
	ended    map[string]bool
	suspects map[string]bool
	silent   map[string]bool
	noted    uint64 // number of the newest of this node's notes of ends
}

func newAudience(near bool, p pace) *audience {
	return &audience{pace: p, near: near, changed: make(chan struct{}, 1)}
}

// newRelayAudience returns that of the relays: few peers, however many nodes.
func newRelayAudience() *audience {
	a := newAudience(false, nearPace)
	a.relays = true
	return a
}

// wake says that there may be something to tell.
func (a *audience) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// drain forgets a wake that what is sent now answers.
func (a *audience) drain() {
	select {
	case <-a.changed:
	default:
	}
}

// fullDue reports whether a full message is due: after a while, and where
// peers are new.
func (a *audience) fullDue(now time.Time, peers int) bool {
	return peers > a.peers || now.Sub(a.fullAt) >= a.pace.refresh
}

// news is what a node has to tell.
type news struct {
	runs     []balance.Shared
	ended    []string
	suspects []string
	silent   []string
	counts   map[string]balance.Count
	ends     []endNote
}

// compose returns the messages that bring the audience up to date: all there
// is, or what has changed. None are returned if nothing has.
func (a *audience) compose(n news, full bool) []message {
	if full {
		a.told = map[uint64]balance.Shared{}
		a.ended, a.suspects, a.silent = nil, nil, nil
	}
	runs := a.changedRuns(n.runs)
	over := a.overRuns(n.runs)
	ended := unknownTo(a.ended, n.ended)
	suspects := unknownTo(a.suspects, n.suspects)
	silent := unknownTo(a.silent, n.silent)
	a.ended, a.suspects, a.silent = setOf(n.ended), setOf(n.suspects), setOf(n.silent)
	ends := n.ends
	if !full && len(runs)+len(over)+len(ended)+len(suspects)+len(silent)+len(ends) == 0 {
		return nil
	}
	first := message{Full: full, Counts: n.counts}
	first.Ended, _ = cut(ended, maxTargets)
	first.Suspects, _ = cut(suspects, maxTargets)
	first.Silent, _ = cut(silent, maxTargets)
	first.Runs, runs = cut(runs, maxRuns)
	first.Over, over = cut(over, maxOver)
	first.Ends, ends = cut(ends, maxEnds)
	messages := []message{first}
	for len(runs)+len(over)+len(ends) > 0 {
		var m message
		m.Runs, runs = cut(runs, maxRuns)
		m.Over, over = cut(over, maxOver)
		m.Ends, ends = cut(ends, maxEnds)
		messages = append(messages, m)
	}
	return messages
}

// changedRuns returns the runs that are new or changed, and notes them told.
func (a *audience) changedRuns(now []balance.Shared) []run {
	var changed []run
	for _, r := range now {
		before, known := a.told[r.Number]
		if known && before.Read == r.Read && before.Broken == r.Broken && before.Trace.CopyName == r.Trace.CopyName {
			continue
		}
		a.told[r.Number] = r
		changed = append(changed, encodeRun(r))
	}
	return changed
}

// overRuns returns the runs that were told and are no more.
func (a *audience) overRuns(now []balance.Shared) []uint64 {
	live := make(map[uint64]bool, len(now))
	for _, r := range now {
		live[r.Number] = true
	}
	var over []uint64
	for number := range a.told {
		if !live[number] {
			delete(a.told, number)
			over = append(over, number)
		}
	}
	return over
}

// unknownTo returns the names that are not in a set.
func unknownTo(known map[string]bool, names []string) []string {
	var unknown []string
	for _, name := range names {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// cut divides a list behind its first n elements.
func cut[E any](list []E, n int) (head, rest []E) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
