package loadshare

import (
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/walnutramp/walnutramp/topology"
)

// regionDelay is the approximate one-way delay to another region; a link within a
// country takes about 10 ms.
const regionDelay = 15 * time.Millisecond

// ownRegion returns the region of this node, empty on a site of one region.
func (s *Sharer) ownRegion() string {
	if !s.regions.MultiRegion() {
		return ""
	}
	return s.regions.OwnRegion()
}

// regionOf returns the region of the nodes that a feed covers; empty for a feed of
// the whole site, which is not forwarded by region.
func (s *Sharer) regionOf(f *feed) string {
	switch f.scope {
	case scopeHall:
		return s.ownRegion()
	case scopeRegion:
		return f.region
	}
	return ""
}

// regionLag is the extra delay of updates from other regions compared to other data
// halls: longer batching and one more relay hop.
func (s *Sharer) regionLag(peers int) time.Duration {
	switch {
	case s.ownRegion() == "":
		return 0
	case usesRelays(peers+1, s.location.dataHall):
		return regionBatchDelay + regionDelay + minBatchDelay
	}
	return regionDelay
}

// hasDataFor reports whether this node has current data for a publisher. Data of another
// region is published only while it arrives from a relay of that region; otherwise
// nothing is sent on the feed and subscribers fail over. The caller holds relayMu.
func (s *Sharer) hasDataFor(p *publisher, l *layout, now time.Time) bool {
	if p.scope != scopeRegion || p.region == s.ownRegion() {
		return true
	}
	f := s.feeds[feedKey{scopeRegion, p.region}]
	return f != nil && f.current(now) && slices.Contains(l.relaysIn(p.region), f.source)
}

// addRegions adds a byte counter for each other region.
func (c *counters) addRegions(m topology.Map) {
	if !m.MultiRegion() {
		return
	}
	c.regions = map[string]*atomic.Int64{}
	for _, region := range m.Regions() {
		if region != m.OwnRegion() {
			c.regions[region] = &atomic.Int64{}
		}
	}
}

// countRegions counts the bytes of a datagram by region of each recipient. Peers whose
// data hall is not known are not counted.
func (s *Sharer) countRegions(peers []*net.UDPAddr, size int) {
	if s.counters.regions == nil {
		return
	}
	regions := s.currentLayout().regionOfPeer
	for _, peer := range peers {
		at := peer.AddrPort()
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if bytes := s.counters.regions[regions[at]]; bytes != nil {
			bytes.Add(int64(size))
		}
	}
}

// regionsOfPeers returns the region of each node by address.
func (l *layout) regionsOfPeers(locations map[string]location) map[netip.AddrPort]string {
	regions := make(map[netip.AddrPort]string, len(locations))
	for address, p := range locations {
		if at, err := netip.ParseAddrPort(address); err == nil && p.dataHall != "" {
			regions[at] = l.regionOf(p.dataHall)
		}
	}
	return regions
}
