package loadshare

import (
	"slices"
	"time"
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
