package loadshare

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/topology"
)

// On a site of many nodes, words pass through relays: some nodes of each data
// hall, named by rendezvous hash among those that are there. A node reports to
// the relays of its hall and subscribes to one of them; relays subscribe to a
// relay of each other hall of their region. So what a node sends and hears does
// not grow with the number of nodes. Word of another region comes in through one
// of a region's relays at a time, its importer, to which the others subscribe.

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
	// regionImporters is how many relays of a region may be asked for word of
	// another one: the second is asked while the first is silent.
	regionImporters = 2
	// exportersFirst is how many relays of another region an importer asks before
	// it asks another importer.
	exportersFirst = 2
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
	region  string              // its region; empty on a site of one
	relayed bool                // words pass through relays
	relays  map[string][]string // addresses by data hall, the first ranked first
	keepers map[string][]string // nodes that keep traces, by region
	unknown []string            // peers whose data hall is not known yet
	regions topology.Map
	// regionOfPeer is that of each node; nil on a site of one region.
	regionOfPeer map[netip.AddrPort]string
}

// newLayout works the layout out from where this node and its peers stand.
func newLayout(own string, places map[string]place, regions topology.Map) *layout {
	l := &layout{own: own, hall: places[own].dataHall, relays: map[string][]string{}, keepers: map[string][]string{}, regions: regions}
	l.region = l.regionOf(l.hall)
	l.relayed = throughRelays(len(places), l.hall)
	withDisk := map[string][]string{}
	for address, p := range places {
		if p.dataHall == "" {
			l.unknown = append(l.unknown, address)
			continue
		}
		l.relays[p.dataHall] = append(l.relays[p.dataHall], address)
		region := l.regionOf(p.dataHall)
		l.keepers[region] = append(l.keepers[region], address)
		if p.disk {
			withDisk[region] = append(withDisk[region], address)
		}
	}
	maps.Copy(l.keepers, withDisk)
	if l.region != "" {
		l.regionOfPeer = l.regionsOfPeers(places)
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

// regionOf returns the region of a data hall, empty on a site of one. A hall
// whose region is not known is held to be in the own one.
func (l *layout) regionOf(hall string) string {
	if !l.regions.Several() {
		return ""
	}
	if region := l.regions.Region(hall); region != "" {
		return region
	}
	return l.regions.OwnRegion()
}

// otherRegions returns the regions but the own one that have relays, sorted.
func (l *layout) otherRegions() []string {
	var others []string
	for hall := range l.relays {
		if region := l.regionOf(hall); region != l.region && !slices.Contains(others, region) {
			others = append(others, region)
		}
	}
	slices.Sort(others)
	return others
}

// relaysIn returns all relays of a region.
func (l *layout) relaysIn(region string) []string {
	var all []string
	for hall, relays := range l.relays {
		if l.regionOf(hall) == region {
			all = append(all, relays...)
		}
	}
	return all
}

// exporters returns the relays of another region in the order in which this node
// subscribes to them.
func (l *layout) exporters(region string) []string {
	all := l.relaysIn(region)
	rendezvous.Sort(all, l.own)
	return all
}

// importers returns the relays of the own region that may be asked for word of
// another one, the first ranked first.
func (l *layout) importers(region string) []string {
	all := l.relaysIn(l.region)
	rendezvous.Sort(all, region)
	return all[:min(regionImporters, len(all))]
}

// regionSources returns whom this relay asks for word of another region, in this
// order. An importer that others ask takes that word from the other region
// itself. It asks another importer after two relays there were silent: then its
// own link to that region is cut, most likely.
func (l *layout) regionSources(region string, asked bool) []string {
	importers, exporters := l.importers(region), l.exporters(region)
	rank := slices.Index(importers, l.own)
	switch {
	case rank < 0:
		return importers
	case rank > 0 && !asked:
		return slices.Concat(importers[:rank], exporters)
	}
	first, rest := cut(exporters, exportersFirst)
	return slices.Concat(first, without(importers, l.own), rest)
}

// holders returns the nodes of the own region that keep the trace of a key: a
// client that comes again comes to its own region, mostly.
func (l *layout) holders(key string) []string { return l.holdersIn(l.region, key) }

// holdersIn returns the nodes of a region that keep the trace of a key.
func (l *layout) holdersIn(region, key string) []string {
	keepers := slices.Clone(l.keepers[region])
	rendezvous.Sort(keepers, key)
	return keepers[:min(traceHolders, len(keepers))]
}

// holdersAnywhere returns the nodes of all regions that keep the trace of a key,
// those of the own region first.
func (l *layout) holdersAnywhere(key string) []string {
	all := l.holders(key)
	for _, region := range l.otherRegions() {
		all = append(all, l.holdersIn(region, key)...)
	}
	return all
}
