package loadshare

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/topology"
)

// On large sites updates pass through relays: some nodes of each data hall, chosen
// by rendezvous hashing among the live ones. A node reports to the relays of its
// hall and subscribes to one of them; relays subscribe to a relay of each other
// hall of their region. The traffic of a node thus does not grow with the number
// of nodes. Updates from another region enter through one relay at a time, the
// importer, to which the region's other relays subscribe.

// Sizes of the relay overlay.
const (
	// maxDirectNodes is the largest site without relays: up to it, a full mesh at
	// 3 ms per peer (otherHallPacing) is about as fast as two or three relay hops.
	maxDirectNodes = 32
	// nodesPerRelay is about how many nodes a relay serves, and so how many
	// datagrams it sends per flush.
	nodesPerRelay = 16
	// minRelays tolerates the loss of one.
	minRelays = 2
	// traceReplicas is how many nodes of a region store the trace of a run.
	traceReplicas = 2
	// importersPerRegion is how many relays of a region may import another one;
	// the second is used while the first is unresponsive.
	importersPerRegion = 2
	// primaryExporters is how many relays of another region an importer tries
	// before it falls back to another importer.
	primaryExporters = 2
)

// location is where a node runs and whether it has a disk.
type location struct {
	dataHall string
	disk     bool // traces survive a power loss
}

// layout assigns the roles of relays and trace stores to nodes.
type layout struct {
	own         string              // this node's address
	hall        string              // its data hall
	region      string              // its region; empty on a site of one region
	relayed     bool                // updates pass through relays
	relays      map[string][]string // addresses by data hall, highest rank first
	traceStores map[string][]string // addresses of nodes that may store traces, by region
	unknownHall []string            // peers whose data hall is not known
	hallNodes   map[string][]string // all nodes of this region, by data hall; empty for those whose hall is not known
	regions     topology.Map
	// regionOfPeer is the region of each node; nil on a site of one region.
	regionOfPeer map[netip.AddrPort]string
}

// newLayout computes the layout from the locations of this node and its peers.
func newLayout(own string, locations map[string]location, regions topology.Map) *layout {
	l := &layout{own: own, hall: locations[own].dataHall, relays: map[string][]string{}, traceStores: map[string][]string{}, hallNodes: map[string][]string{}, regions: regions}
	l.region = l.regionOf(l.hall)
	l.relayed = usesRelays(len(locations), l.hall)
	withDisk := map[string][]string{}
	for address, loc := range locations {
		if loc.dataHall == "" || l.regionOf(loc.dataHall) == l.region {
			l.hallNodes[loc.dataHall] = append(l.hallNodes[loc.dataHall], address)
		}
		if loc.dataHall == "" {
			l.unknownHall = append(l.unknownHall, address)
			continue
		}
		l.relays[loc.dataHall] = append(l.relays[loc.dataHall], address)
		region := l.regionOf(loc.dataHall)
		l.traceStores[region] = append(l.traceStores[region], address)
		if loc.disk {
			withDisk[region] = append(withDisk[region], address)
		}
	}
	maps.Copy(l.traceStores, withDisk)
	if l.region != "" {
		l.regionOfPeer = l.regionsOfPeers(locations)
	}
	for hall, nodes := range l.relays {
		rendezvous.Sort(nodes, hall)
		n := max(minRelays, (len(nodes)+nodesPerRelay-1)/nodesPerRelay)
		l.relays[hall] = nodes[:min(n, len(nodes))]
	}
	return l
}

// usesRelays reports whether a node of a data hall uses relays on a site of this
// many nodes.
func usesRelays(nodes int, hall string) bool { return nodes > maxDirectNodes && hall != "" }

// isRelay reports whether this node is a relay of its data hall.
func (l *layout) isRelay() bool { return slices.Contains(l.relays[l.hall], l.own) }

// sources returns the relays of a data hall in this node's order of preference,
// which spreads subscribers over them.
func (l *layout) sources(hall string) []string {
	sources := slices.Clone(l.relays[hall])
	rendezvous.Sort(sources, l.own)
	return sources
}

// regionOf returns the region of a data hall, empty on a site of one region. A hall of
// unknown region counts as part of this node's region.
func (l *layout) regionOf(hall string) string {
	if !l.regions.MultiRegion() {
		return ""
	}
	if region := l.regions.Region(hall); region != "" {
		return region
	}
	return l.regions.OwnRegion()
}

// otherRegions returns the other regions that have relays, sorted.
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

// relaysIn returns all relays of a region, in no particular order.
func (l *layout) relaysIn(region string) []string {
	var all []string
	for hall, relays := range l.relays {
		if l.regionOf(hall) == region {
			all = append(all, relays...)
		}
	}
	return all
}

// exporters returns the relays of another region, from which its runs are imported, in
// this node's order of preference.
func (l *layout) exporters(region string) []string {
	all := l.relaysIn(region)
	rendezvous.Sort(all, l.own)
	return all
}

// importers returns the relays of this region that import another one, highest
// rank first.
func (l *layout) importers(region string) []string {
	all := l.relaysIn(l.region)
	rendezvous.Sort(all, region)
	return all[:min(importersPerRegion, len(all))]
}

// regionSources returns the sources of another region's feed for this relay, in
// order of preference. An importer with subscribers uses that region's own relays;
// after two of them timed out it tries another importer, since its own link to the
// region is probably down.
func (l *layout) regionSources(region string, hasSubscribers bool) []string {
	importers, exporters := l.importers(region), l.exporters(region)
	rank := slices.Index(importers, l.own)
	switch {
	case rank < 0:
		return importers
	case rank > 0 && !hasSubscribers:
		return slices.Concat(importers[:rank], exporters)
	}
	first, rest := splitAt(exporters, primaryExporters)
	return slices.Concat(first, without(importers, l.own), rest)
}

// traceStoresOf returns the nodes of this region that store the trace of a key.
// Clients mostly reconnect to the same region.
func (l *layout) traceStoresOf(key string) []string { return l.traceStoresIn(l.region, key) }

// traceStoresIn returns the nodes of a region that store the trace of a key.
func (l *layout) traceStoresIn(region, key string) []string {
	stores := slices.Clone(l.traceStores[region])
	rendezvous.Sort(stores, key)
	return stores[:min(traceReplicas, len(stores))]
}

// traceStoresAnywhere returns the nodes of all regions that store the trace of a
// key, those of this region first.
func (l *layout) traceStoresAnywhere(key string) []string {
	all := l.traceStoresOf(key)
	for _, region := range l.otherRegions() {
		all = append(all, l.traceStoresIn(region, key)...)
	}
	return all
}
