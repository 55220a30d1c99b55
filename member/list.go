package member

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
)

// entry is a node in the list with what the list keeps beside it.
type entry struct {
	node    Node
	since   time.Time // when the status was taken
	spreads int       // how often this news was sent on
}

// list is everything known of the nodes, this one included.
type list struct {
	mu      sync.Mutex
	self    walnutramp.NodeName
	entries map[walnutramp.NodeName]*entry
	order   []walnutramp.NodeName // probe order, reshuffled each round
	next    int
	onEvent func(Node)
}

func newList(self Node, onEvent func(Node)) *list {
	l := &list{self: self.Name, entries: map[walnutramp.NodeName]*entry{}, onEvent: onEvent}
	l.entries[self.Name] = &entry{node: self}
	return l
}

func (l *list) me() Node {
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

// seed adds a node from the settings that nothing else is known of.
func (l *list) seed(n Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[n.Name] != nil {
		return
	}
	l.entries[n.Name] = &entry{node: n, since: time.Now(), spreads: math.MaxInt32}
}

// merge takes news in. News that this node is not alive is refuted by a newer
// version of itself.
func (l *list) merge(news []Node, now time.Time) {
	l.mu.Lock()
	var events []Node
	for _, n := range news {
		if l.mergeOne(n, now) {
			events = append(events, n)
		}
	}
	l.mu.Unlock()
	for _, n := range events {
		l.onEvent(n)
	}
}

func (l *list) mergeOne(n Node, now time.Time) bool {
	e := l.entries[n.Name]
	if n.Name == l.self {
		l.refute(e, n)
		return false
	}
	if e == nil {
		l.entries[n.Name] = &entry{node: n, since: now}
		return true
	}
	if !n.overrides(e.node) {
		return false
	}
	changed := n.Status != e.node.Status || n.Incarnation != e.node.Incarnation
	e.node = n
	e.since = now
	e.spreads = 0
	return changed
}

func (l *list) refute(e *entry, n Node) {
	if n.Incarnation != e.node.Incarnation || n.Status <= e.node.Status || n.Version < e.node.Version {
		return
	}
	e.node.Version = n.Version + 1
	e.spreads = 0
}

// set changes this node's own status and spreads it.
func (l *list) set(status Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[l.self]
	e.node.Status = status
	e.node.Version++
	e.spreads = 0
}

// maxUpdates bounds the news on one probe.
const maxUpdates = 32

// spreadFactor times the logarithm of the number of nodes is how often news
// is sent on before it is old.
const spreadFactor = 2

// updates returns the least spread news, and counts it as spread once more.
func (l *list) updates() []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := spreadFactor * int(math.Ceil(math.Log2(float64(len(l.entries)+2))))
	fresh := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		if e.spreads < limit {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if a.spreads != b.spreads {
			return a.spreads - b.spreads
		}
		return cmp.Compare(a.node.Name, b.node.Name)
	})
	fresh = fresh[:min(len(fresh), maxUpdates)]
	news := make([]Node, len(fresh))
	for i, e := range fresh {
		e.spreads++
		news[i] = e.node
	}
	return news
}

// updatesFor returns the news for one node. If that node is not believed
// alive it is told so each time, so that it can refute it.
func (l *list) updatesFor(name walnutramp.NodeName) []Node {
	news := l.updates()
	if n, ok := l.get(name); ok && n.Status != Alive {
		news = append(news, n)
	}
	return news
}

// probeNext returns the next node to probe: every node once a round.
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
		l.reorder(shuffle)
	}
	return Node{}, false
}

func (l *list) reorder(shuffle func([]walnutramp.NodeName)) {
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

// others returns the nodes for which keep holds, this one left out.
func (l *list) others(keep func(Node) bool) []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var nodes []Node
	for name, e := range l.entries {
		if name != l.self && keep(e.node) {
			nodes = append(nodes, e.node)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// overdue returns suspects that had their time to refute.
func (l *list) overdue(now time.Time, patience time.Duration) []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var nodes []Node
	for _, e := range l.entries {
		if e.node.Status == Suspect && now.Sub(e.since) >= patience {
			nodes = append(nodes, e.node)
		}
	}
	return nodes
}

// prune forgets nodes that have been gone for long.
func (l *list) prune(now time.Time, keep time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, e := range l.entries {
		if e.node.Status >= Dead && now.Sub(e.since) > keep && name != l.self {
			delete(l.entries, name)
		}
	}
}
