package loadshare

import (
	"context"
	"maps"
	"slices"

	"github.com/walnutramp/walnutramp/inflight"
)

// Nodes ask each other for leases of slots of brittle targets. The Sharer carries these
// messages; see package inflight.

// LeaseHandler handles the messages about brittle targets that arrive at this node.
type LeaseHandler interface {
	HandleAsk(node string, a inflight.Ask) inflight.Reply
	HandleGrant(owner string, g inflight.Grant)
	HandleRelease(r inflight.Release)
	HandleNotice(n inflight.Notice)
	Notices() []inflight.Notice
}

// WithLeases sets the handler of messages about brittle targets. Without one they are
// ignored.
func WithLeases(h LeaseHandler) Option { return func(s *Sharer) { s.leases = h } }

// leaseRequest is the encoding of an inflight.Ask; see there for the fields.
type leaseRequest struct {
	ID     uint64 `msgpack:"i"` // unique per sender
	Target string `msgpack:"t"`
	Slots  int    `msgpack:"s"`
	Part   int    `msgpack:"p"`
	TTLMS  int64  `msgpack:"l"`
}

// leaseReply is the encoding of an inflight.Reply; see there for the fields.
type leaseReply struct {
	ID       uint64 `msgpack:"i"` // of the request
	Granted  bool   `msgpack:"g,omitempty"`
	NotOwner bool   `msgpack:"n,omitempty"`
	Lease    uint64 `msgpack:"l,omitempty"`
}

// leaseGrant is the encoding of an inflight.Grant; see there for the fields.
type leaseGrant struct {
	Target string `msgpack:"t"`
	Part   int    `msgpack:"p"`
	Lease  uint64 `msgpack:"l"`
	TTLMS  int64  `msgpack:"m"`
}

// leaseEnd is the encoding of an inflight.Release; see there for the fields.
type leaseEnd struct {
	Target   string `msgpack:"t"`
	Part     int    `msgpack:"p"`
	Lease    uint64 `msgpack:"l"`
	Rejected bool   `msgpack:"r,omitempty"`
}

// brittleNotice is the encoding of an inflight.Notice; see there for the fields.
type brittleNotice struct {
	Service string `msgpack:"s"`
	Brittle bool   `msgpack:"b,omitempty"`
	AgeMS   int64  `msgpack:"a,omitempty"`
}

// AskLease implements inflight.Network.
func (s *Sharer) AskLease(ctx context.Context, node string, a inflight.Ask) (inflight.Reply, bool) {
	peers := s.addressesOf([]string{node})
	if len(peers) == 0 {
		return inflight.Reply{}, false // no longer listed: no reply will come
	}
	id, replies := s.leaseAsks.start(1)
	defer s.leaseAsks.end(id)
	s.sendTo(peers, message{Lease: &leaseRequest{ID: id, Target: a.Target, Slots: a.Slots, Part: a.Part, TTLMS: a.TTL.Milliseconds()}})
	return await(ctx, replies, s.permitTimeout(node))
}

// ReleaseLease implements inflight.Network.
func (s *Sharer) ReleaseLease(node string, r inflight.Release) {
	s.sendTo(s.addressesOf([]string{node}), message{LeaseEnd: &leaseEnd{Target: r.Target, Part: r.Part, Lease: r.ID, Rejected: r.Rejected}})
}

// GrantLease implements inflight.Network.
func (s *Sharer) GrantLease(node string, g inflight.Grant) {
	s.sendTo(s.addressesOf([]string{node}), message{LeaseGrant: &leaseGrant{Target: g.Target, Part: g.Part, Lease: g.ID, TTLMS: g.TTL.Milliseconds()}})
}

// Peers implements inflight.Network.
func (s *Sharer) Peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.peers))
}

// SpreadNotice implements inflight.Network.
func (s *Sharer) SpreadNotice(n int, notice inflight.Notice) {
	s.sendTo(s.randomPeers(n), message{Brittle: []brittleNotice{encodeNotice(notice)}})
}

func encodeNotice(n inflight.Notice) brittleNotice {
	return brittleNotice{Service: n.Service, Brittle: n.Brittle, AgeMS: n.Age.Milliseconds()}
}

// brittleNotices returns this node's notices, for a node that has just started.
func (s *Sharer) brittleNotices() (encoded []brittleNotice) {
	if s.leases == nil {
		return nil
	}
	for _, n := range s.leases.Notices() {
		encoded = append(encoded, encodeNotice(n))
	}
	return encoded
}

// handleLeases dispatches the parts of a message about brittle targets.
func (s *Sharer) handleLeases(from string, m *message) {
	if m.Lease != nil {
		s.handleLeaseRequest(from, m.Lease)
	}
	if m.LeaseReply != nil {
		s.handleLeaseReply(m.LeaseReply)
	}
	if m.LeaseGrant != nil && s.leases != nil {
		g := m.LeaseGrant
		s.leases.HandleGrant(from, inflight.Grant{Target: g.Target, Part: g.Part, ID: g.Lease, TTL: milliseconds(g.TTLMS)})
	}
	if m.LeaseEnd != nil {
		s.handleLeaseEnd(m.LeaseEnd)
	}
	if s.leases != nil {
		for _, n := range m.Brittle {
			s.leases.HandleNotice(inflight.Notice{Service: n.Service, Brittle: n.Brittle, Age: milliseconds(n.AgeMS)})
		}
	}
}

// handleLeaseRequest replies to a node that asks for a lease.
func (s *Sharer) handleLeaseRequest(from string, r *leaseRequest) {
	if s.leases == nil {
		return
	}
	reply := s.leases.HandleAsk(from, inflight.Ask{Target: r.Target, Slots: r.Slots, Part: r.Part, TTL: milliseconds(r.TTLMS)})
	s.sendTo(s.addressesOf([]string{from}), message{LeaseReply: &leaseReply{ID: r.ID, Granted: reply.Granted, NotOwner: reply.NotOwner, Lease: reply.ID}})
}

// handleLeaseReply passes a reply to the question that waits for it. The lease of a late one
// lasts until its TTL.
func (s *Sharer) handleLeaseReply(r *leaseReply) {
	s.leaseAsks.deliver(r.ID, inflight.Reply{Granted: r.Granted, NotOwner: r.NotOwner, ID: r.Lease})
}

// handleLeaseEnd ends a lease that this node has granted.
func (s *Sharer) handleLeaseEnd(e *leaseEnd) {
	if s.leases != nil {
		s.leases.HandleRelease(inflight.Release{Target: e.Target, Part: e.Part, ID: e.Lease, Rejected: e.Rejected})
	}
}

var _ inflight.Network = (*Sharer)(nil)
