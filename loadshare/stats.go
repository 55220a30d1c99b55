package loadshare

import "sync/atomic"

// counters count what a sharer sends.
type counters struct {
	datagrams atomic.Int64
	bytes     atomic.Int64
	whole     atomic.Int64 // subscribers that were told everything
	silent    atomic.Int64 // relays that were left since they fell silent
	borrowed  atomic.Int64 // repeats that peers lent
	lent      atomic.Int64 // repeats that peers were lent
	// regions counts the bytes sent to nodes of each other region; none on a site
	// of one.
	regions map[string]*atomic.Int64
}

// Stats are the figures of a sharer.
type Stats struct {
	Nodes       int   // other nodes that are known
	Relayed     bool  // words pass through relays
	Subscribers int   // nodes that this one tells of others
	Datagrams   int64 // sent
	Bytes       int64 // sent
	Whole       int64 // times that a subscriber was told everything
	Silent      int64 // relays that were left since they fell silent
	Borrowed    int64 // repeats that peers lent this node
	Lent        int64 // repeats that this node lent

	Region      string           // of this node; empty on a site of one
	RegionBytes map[string]int64 // sent to nodes of each other region
}

// Stats returns the figures as they stand.
func (s *Sharer) Stats() Stats {
	st := Stats{
		Relayed: s.layoutNow().relayed, Datagrams: s.count.datagrams.Load(), Bytes: s.count.bytes.Load(),
		Whole: s.count.whole.Load(), Silent: s.count.silent.Load(), Borrowed: s.count.borrowed.Load(), Lent: s.count.lent.Load(),
	}
	st.Region, st.RegionBytes = s.ownRegion(), map[string]int64{}
	for region, bytes := range s.count.regions {
		st.RegionBytes[region] = bytes.Load()
	}
	s.mu.Lock()
	st.Nodes = len(s.peers)
	s.mu.Unlock()
	s.relayMu.Lock()
	for _, p := range s.relay.publishers() {
		st.Subscribers += len(p.subscribers)
	}
	s.relayMu.Unlock()
	return st
}
