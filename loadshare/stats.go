package loadshare

import "sync/atomic"

// counters are the statistics of a Sharer.
type counters struct {
	datagrams    atomic.Int64
	bytes        atomic.Int64
	snapshots    atomic.Int64 // snapshots sent
	failedRelays atomic.Int64 // failovers from unresponsive relays
	borrowed     atomic.Int64 // retries borrowed from peers
	lent         atomic.Int64 // retries lent to peers
	// regions counts the bytes sent to each other region; nil on a site of one
	// region.
	regions map[string]*atomic.Int64
}

// Stats are statistics of a Sharer.
type Stats struct {
	Nodes          int   // known peers
	Relayed        bool  // updates pass through relays
	Subscribers    int   // of this node's feeds
	Datagrams      int64 // sent
	Bytes          int64 // sent
	Snapshots      int64 // snapshots sent to subscribers
	RelayFailovers int64 // failovers from unresponsive relays
	Borrowed       int64 // retries borrowed from peers
	Lent           int64 // retries lent to peers

	Region      string           // of this node; empty on a site of one region
	RegionBytes map[string]int64 // bytes sent, by other region
}

// Stats returns the current statistics.
func (s *Sharer) Stats() Stats {
	st := Stats{
		Relayed: s.currentLayout().relayed, Datagrams: s.counters.datagrams.Load(), Bytes: s.counters.bytes.Load(),
		Snapshots: s.counters.snapshots.Load(), RelayFailovers: s.counters.failedRelays.Load(), Borrowed: s.counters.borrowed.Load(), Lent: s.counters.lent.Load(),
	}
	st.Region, st.RegionBytes = s.ownRegion(), map[string]int64{}
	for region, bytes := range s.counters.regions {
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
