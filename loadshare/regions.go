package loadshare

import (
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/walnutramp/walnutramp/topology"
)

// regionDelay is what a datagram takes to another region, about: a link within a
// country takes some 10 ms one way.
const regionDelay = 15 * time.Millisecond

// ownRegion returns the region of this node, empty on a site of one.
func (s *Sharer) ownRegion() string {
	if !s.regions.Several() {
		return ""
	}
	return s.regions.OwnRegion()
}

// regionOf returns the region of the nodes that a feed tells of. What a feed of
// the whole site tells is not passed on by region.
func (s *Sharer) regionOf(f *feed) string {
	switch f.scope {
	case scopeHall:
		return s.ownRegion()
	case scopeRegion:
		return f.region
	}
	return ""
}

// regionLag is by how much word of other regions comes later than that of other
// data halls: it is gathered for longer, and passes one relay more.
func (s *Sharer) regionLag(peers int) time.Duration {
	switch {
	case s.ownRegion() == "":
		return 0
	case throughRelays(peers+1, s.place.dataHall):
		return regionGather + regionDelay + leastGather
	}
	return regionDelay
}

// knowsFor reports whether this node has what a publisher tells. Word of another
// region is told only while that region is heard, and not from relays that have it
// from others: who subscribed finds the feed silent, and asks the next relay. The
// caller holds relayMu.
func (s *Sharer) knowsFor(p *publisher, l *layout, now time.Time) bool {
	if p.scope != scopeRegion || p.region == s.ownRegion() {
		return true
	}
	f := s.feeds[feedKey{scopeRegion, p.region}]
	return f != nil && f.current(now) && slices.Contains(l.relaysIn(p.region), f.source)
}

// addRegions has the bytes to each other region counted.
func (c *counters) addRegions(m topology.Map) {
	if !m.Several() {
		return
	}
	c.regions = map[string]*atomic.Int64{}
	for _, region := range m.Regions() {
		if region != m.OwnRegion() {
			c.regions[region] = &atomic.Int64{}
		}
	}
}

// countRegions counts a datagram to each of some peers by their region. Peers
// whose data hall is not known yet are not counted.
func (s *Sharer) countRegions(peers []*net.UDPAddr, size int) {
	if s.count.regions == nil {
		return
	}
	regions := s.layoutNow().regionOfPeer
	for _, peer := range peers {
		at := peer.AddrPort()
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if bytes := s.count.regions[regions[at]]; bytes != nil {
			bytes.Add(int64(size))
		}
	}
}

// regionsOfPeers returns the regions of nodes by address.
func (l *layout) regionsOfPeers(places map[string]place) map[netip.AddrPort]string {
	regions := make(map[netip.AddrPort]string, len(places))
	for address, p := range places {
		if at, err := netip.ParseAddrPort(address); err == nil && p.dataHall != "" {
			regions[at] = l.regionOf(p.dataHall)
		}
	}
	return regions
}
