package member

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
)

// entry is a node in the membership list.
type entry struct {
	node          Node
	statusSince   time.Time // when the status was last updated
	transmissions int       // how often this update was sent
}

// list is the membership list, this node included.
type list struct {
	mu       sync.Mutex
	self     walnutramp.NodeName
	entries  map[walnutramp.NodeName]*entry
	order    []walnutramp.NodeName // probe order, reshuffled each round
	next     int
	onChange func(Node)
}

func newList(self Node, onChange func(Node)) *list {
	l := &list{self: self.Name, entries: map[walnutramp.NodeName]*entry{}, onChange: onChange}
	l.entries[self.Name] = &entry{node: self}
	return l
}

func (l *list) local() Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[l.self].node
}

func (l *list) get(name walnutramp.NodeName) (Node, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[name]
	if e == nil {
		return Node{}, false
	}
	return e.node, true
}

// seed adds a configured or listed node, unless it is already known. It is not
// disseminated.
func (l *list) seed(n Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[n.Name] != nil {
		return
	}
	l.entries[n.Name] = &entry{node: n, statusSince: time.Now(), transmissions: math.MaxInt32}
}

// merge applies updates and calls onChange for every new node, status or incarnation.
// Reports that this node is not alive are refuted by raising its version.
func (l *list) merge(updates []Node, now time.Time) {
	l.mu.Lock()
	var changed []Node
	for _, n := range updates {
		if l.mergeOne(n, now) {
			changed = append(changed, n)
		}
	}
	l.mu.Unlock()
	for _, n := range changed {
		l.onChange(n)
	}
}

func (l *list) mergeOne(n Node, now time.Time) bool {
	e := l.entries[n.Name]
	if n.Name == l.self {
		l.refute(e, n)
		return false
	}
	if e == nil {
		l.entries[n.Name] = &entry{node: n, statusSince: now}
		return true
	}
	if !n.overrides(e.node) {
		return false
	}
	changed := n.Status != e.node.Status || n.Incarnation != e.node.Incarnation
	e.node = n
	e.statusSince = now
	e.transmissions = 0
	return changed
}

func (l *list) refute(e *entry, n Node) {
	if n.Incarnation != e.node.Incarnation || n.Status <= e.node.Status || n.Version < e.node.Version {
		return
	}
	e.node.Version = n.Version + 1
	e.transmissions = 0
}

// setStatus changes this node's status, which is then disseminated.
func (l *list) setStatus(status Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[l.self]
	e.node.Status = status
	e.node.Version++
	e.transmissions = 0
}

// maxUpdates bounds the updates piggybacked on a probe.
const maxUpdates = 32

// retransmitFactor times the logarithm of the number of nodes is how often an update
// is sent.
const retransmitFactor = 2

// updates returns the updates that were sent least often, and counts them as sent.
func (l *list) updates() []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(l.entries)+2))))
	pending := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		if e.transmissions < limit {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.transmissions != b.transmissions {
			return a.transmissions - b.transmissions
		}
		return cmp.Compare(a.node.Name, b.node.Name)
	})
	pending = pending[:min(len(pending), maxUpdates)]
	updates := make([]Node, len(pending))
	for i, e := range pending {
		e.transmissions++
		updates[i] = e.node
	}
	return updates
}

// updatesFor returns the updates to send to a node. If that node is not believed
// alive, its status is always included, so that it can refute it.
func (l *list) updatesFor(name walnutramp.NodeName) []Node {
	updates := l.updates()
	if n, ok := l.get(name); ok && n.Status != Alive {
		updates = append(updates, n)
	}
	return updates
}

// probeNext returns the next node to probe; each node is probed once per round, except
// those that have left. It returns false if there is none.
func (l *list) probeNext(shuffle func([]walnutramp.NodeName)) (Node, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 2 {
		for l.next < len(l.order) {
			e := l.entries[l.order[l.next]]
			l.next++
			if e != nil && e.node.Status != Left {
				return e.node, true
			}
		}
		l.reshuffle(shuffle)
	}
	return Node{}, false
}

func (l *list) reshuffle(shuffle func([]walnutramp.NodeName)) {
	l.order = l.order[:0]
	for name := range l.entries {
		if name != l.self {
			l.order = append(l.order, name)
		}
	}
	slices.Sort(l.order)
	shuffle(l.order)
	l.next = 0
}

// others returns the other nodes that match, sorted by name.
func (l *list) others(match func(Node) bool) []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var nodes []Node
	for name, e := range l.entries {
		if name != l.self && match(e.node) {
			nodes = append(nodes, e.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// expiredSuspects returns the suspects that did not refute in time.
func (l *list) expiredSuspects(now time.Time, timeout time.Duration) []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var nodes []Node
	for _, e := range l.entries {
		if e.node.Status == Suspect && now.Sub(e.statusSince) >= timeout {
			nodes = append(nodes, e.node)
		}
	}
	return nodes
}

// prune removes nodes that have been dead, or have left, for longer than the retention.
func (l *list) prune(now time.Time, retention time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.entries {
		if e.node.Status >= Dead && now.Sub(e.statusSince) > retention && name != l.self {
			delete(l.entries, name)
		}
	}
}
