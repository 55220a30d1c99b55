package loadshare

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/origins"
)

// A node that has started without its records of streams asks its peers for them. On large sites
// none are sent: few nodes are lost of those that keep a record, and many ask.

const (
	// originTransferInterval is the minimum time between two transfers of all records to a
	// node that asks for them.
	originTransferInterval = 500 * time.Millisecond
	// originRequestSpan is how long after its start a node asks the peers that it learns of.
	originRequestSpan = peerRetention
)

// originTransfer is part of each datagram of a transfer of records.
type originTransfer struct {
	ID     uint64 `msgpack:"i"` // of the transfer, unique per sender
	Parts  int    `msgpack:"p"` // number of its datagrams
	KeptMS int64  `msgpack:"k"` // time in which the sender has lost no record
	Nodes  int    `msgpack:"n"` // number of nodes that the sender knows, itself included
}

// receivedTransfer is the latest transfer from a peer.
type receivedTransfer struct {
	id      uint64
	missing int       // number of datagrams
	since   time.Time // since when the peer has lost no record; valid once none is missing
	nodes   int       // see originTransfer
}

// requestOrigins asks all peers for the records that this node is to keep, once it has
// started and knows them.
func (s *Sharer) requestOrigins() {
	if s.origins == nil {
		return
	}
	peers := s.Peers()
	if usesRelays(len(peers)+1, s.location.dataHall) {
		return
	}
	s.sendTo(s.addressesOf(peers), message{WantOrigins: true})
}

// transferOrigins sends a node that has started the records that it is to keep.
func (s *Sharer) transferOrigins(to string) {
	l := s.currentLayout()
	s.mu.Lock()
	nodes := len(s.peers) + 1
	due := s.peers[to] != nil && uptime.Since(s.originsSentAt[to]) >= originTransferInterval
	if due {
		s.originsSentAt[to] = uptime.Now()
	}
	s.mu.Unlock()
	if l.relayed || !due {
		return
	}
	kept := min(uptime.Since(s.origins.KeptSince()), origins.MaxTTL) // before the records are read, as one may be dropped
	records := s.origins.Records(func(k origins.Key) bool { return slices.Contains(l.originHolders(k, originReplicas), to) })
	transfer := originTransfer{ID: s.transferID.Add(1), Parts: max(1, (len(records)+maxOrigins-1)/maxOrigins), KeptMS: kept.Milliseconds(), Nodes: nodes}
	for range transfer.Parts {
		var part []origins.Record
		part, records = splitAt(records, maxOrigins)
		m := message{OriginTransfer: &transfer, Origins: make([]originRecord, len(part))}
		for i, r := range part {
			m.Origins[i] = encodeOrigin(r)
		}
		s.sendTo(s.addressesOf([]string{to}), m)
	}
}

// receiveTransferPart records that a datagram of a transfer has arrived. Once nothing is missing
// that a keeper may have, this node has lost no record.
func (s *Sharer) receiveTransferPart(from string, t *originTransfer) {
	s.mu.Lock()
	r := s.transfers[from]
	if r == nil || r.id != t.ID {
		r = &receivedTransfer{id: t.ID, missing: t.Parts, since: uptime.Now().Add(-milliseconds(t.KeptMS)), nodes: t.Nodes}
		s.transfers[from] = r
	}
	r.missing--
	since := s.transferredSince()
	s.mu.Unlock()
	s.origins.Inherit(since)
}

// transferredSince returns the time since which at least one keeper of each key of this node has
// transferred all its records. The caller holds the mutex.
func (s *Sharer) transferredSince() time.Time {
	var since []time.Time // of each peer
	others := len(s.peers)
	for peer := range s.peers {
		if r := s.transfers[peer]; r != nil && r.missing <= 0 {
			since = append(since, r.since)
			others = max(others, r.nodes-1)
		}
	}
	// All but one of the other keepers may be among those that have transferred least.
	last := min(originReplicas-1, others) - 1
	if s.regions.MultiRegion() {
		last = 0
	}
	last -= others - len(since) // those that have transferred nothing
	if last < 0 || last >= len(since) {
		return uptime.Now()
	}
	slices.SortFunc(since, func(a, b time.Time) int { return b.Compare(a) })
	return since[last]
}
