package loadshare

import (
	"slices"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
)

// On a site of many nodes, words pass through relays: some nodes of each data
// hall, named by rendezvous hash among those that are there. A node reports to
// the relays of its hall and subscribes to one of them; relays subscribe to a
// relay of each other hall. So what a node sends and hears does not grow with
// the number of nodes.

// Sizes of the layout.
const (
	// directNodes is up to how many nodes each tells every other by itself:
	// with 3 ms a peer (farPace) that is about as quick as the two or three
	// steps through relays, and needs none of them.
	directNodes = 32
	// relaySpan is how many nodes a relay serves, more or less. A flush of its
	// news is that many datagrams.
	relaySpan = 16
	// leastRelays bears the loss of one.
	leastRelays = 2
	// traceHolders is how many nodes keep the trace of a run.
	traceHolders = 2
)

// place is where a node stands.
type place struct {
	dataHall string
	disk     bool // it keeps traces over a loss of power
}

// layout says which nodes relay, and which keep traces.
type layout struct {
	own     string              // this node's address
	hall    string              // its data hall
	relayed bool                // words pass through relays
	relays  map[string][]string // addresses by data hall, the first ranked first
	keepers []string            // nodes that keep traces
	unknown []string            // peers whose data hall is not known yet
}

// newLayout works the layout out from where this node and its peers stand.
func newLayout(own string, places map[string]place) *layout {
	l := &layout{own: own, hall: places[own].dataHall, relays: map[string][]string{}}
	l.relayed = throughRelays(len(places), l.hall)
	var withDisk []string
	for address, p := range places {
		if p.dataHall == "" {
			l.unknown = append(l.unknown, address)
			continue
		}
		l.relays[p.dataHall] = append(l.relays[p.dataHall], address)
		l.keepers = append(l.keepers, address)
		if p.disk {
			withDisk = append(withDisk, address)
		}
	}
	if len(withDisk) > 0 {
		l.keepers = withDisk
	}
	for hall, nodes := range l.relays {
		rendezvous.Sort(nodes, hall)
		n := max(leastRelays, (len(nodes)+relaySpan-1)/relaySpan)
		l.relays[hall] = nodes[:min(n, len(nodes))]
	}
	return l
}

// throughRelays reports whether words pass through relays, on a site of so many
// nodes, as far as a node of a data hall is concerned.
func throughRelays(nodes int, hall string) bool { return nodes > directNodes && hall != "" }

// isRelay reports whether this node is one of its data hall's relays.
func (l *layout) isRelay() bool { return slices.Contains(l.relays[l.hall], l.own) }

// sources returns the relays of a data hall in the order in which this node
// subscribes to them, so that nodes spread over all.
func (l *layout) sources(hall string) []string {
	sources := slices.Clone(l.relays[hall])
	rendezvous.Sort(sources, l.own)
	return sources
}

// holders returns the nodes that keep the trace of a key.
func (l *layout) holders(key string) []string {
	keepers := slices.Clone(l.keepers)
	rendezvous.Sort(keepers, key)
	return keepers[:min(traceHolders, len(keepers))]
}
