package loadshare

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/topology"
)

// A node without a path to a service's targets asks others whether they have one, so that
// it can send requests through them. Only nodes that are in need ask, so the others send
// nothing.

// ReachHandler answers whether this node has a path to a service's targets and may send
// other nodes' requests there, and how many requests it is serving.
type ReachHandler interface {
	Reaches(service string) (ok bool, load int)
}

const (
	// reachFanout is the number of nodes that are asked at once. They are the same at each
	// time, so that a node keeps few connections to others.
	reachFanout = 8
	// reachRounds bounds how often further nodes are asked if none of the first has a path.
	reachRounds = 3
	// reachTimeout bounds the wait for the answers to one round.
	reachTimeout = 30 * time.Millisecond
	// regionReachTimeout is the same where nodes of other regions are asked.
	regionReachTimeout = 150 * time.Millisecond
)

// reachRequest asks whether the receiver has a path to a service's targets.
type reachRequest struct {
	ID      uint64 `msgpack:"i"` // unique per sender
	Service string `msgpack:"s"`
}

// reachReply answers a reachRequest.
type reachReply struct {
	ID   uint64 `msgpack:"i"`
	OK   bool   `msgpack:"o,omitempty"`
	Load int    `msgpack:"l,omitempty"`
	// KeepsVersions is missing in the answers of builds that ignore a request's version.
	KeepsVersions bool `msgpack:"v,omitempty"`
}

// reachAnswer is a node's answer.
type reachAnswer struct {
	node string
	reachReply
}

// SetReachHandler sets what answers other nodes that ask whether this one has a path to a
// service's targets. Without it, or before, they get no answer.
func (s *Sharer) SetReachHandler(h ReachHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachHandler = h
}

// FindEgress implements egress.Finder.
func (s *Sharer) FindEgress(ctx context.Context, service string) []egress.Offer {
	nodes := s.reachOrder()
	for range reachRounds {
		round, rest := splitAt(nodes, reachFanout)
		if len(round) == 0 {
			break
		}
		if offers := s.askReach(ctx, service, round); len(offers) > 0 {
			return offers
		}
		nodes = rest
	}
	return nil
}

// reachOrder returns the peers in the order in which to ask them: nodes of this data hall,
// of this region, then all others; within each in an order of this node's own, so that
// nodes in need spread over the others.
func (s *Sharer) reachOrder() []string {
	s.mu.Lock()
	distances := make(map[string]topology.Distance, len(s.peers))
	nodes := make([]string, 0, len(s.peers))
	for address := range s.peers {
		if s.absentSince[address].IsZero() {
			nodes = append(nodes, address)
			distances[address] = s.distanceTo(address)
		}
	}
	s.mu.Unlock()
	rendezvous.Sort(nodes, s.conn.LocalAddr().String())
	slices.SortStableFunc(nodes, func(a, b string) int { return cmp.Compare(distances[a], distances[b]) })
	return nodes
}

// distanceTo returns the distance to a node's data hall. The caller holds the mutex.
func (s *Sharer) distanceTo(address string) topology.Distance {
	state := s.senders[address]
	if state == nil || state.location.dataHall == "" {
		return topology.SameRegion
	}
	return s.regions.Between(s.location.dataHall, state.location.dataHall)
}

// askReach asks some nodes and returns those that have a path.
func (s *Sharer) askReach(ctx context.Context, service string, nodes []string) (offers []egress.Offer) {
	peers := s.addressesOf(nodes)
	id, answers := s.reach.start(len(peers))
	defer s.reach.end(id)
	s.sendTo(peers, message{Reach: &reachRequest{ID: id, Service: service}})
	timer := time.NewTimer(s.reachTimeout(peers))
	defer timer.Stop()
	for range peers {
		select {
		case a := <-answers:
			if a.OK {
				offers = append(offers, egress.Offer{Node: a.node, Near: s.inOwnHall(a.node), Load: a.Load, KeepsVersions: a.KeepsVersions})
			}
		case <-timer.C:
			return offers
		case <-ctx.Done():
			return offers
		}
	}
	return offers
}

// reachTimeout returns how long to wait for the answers of some nodes.
func (s *Sharer) reachTimeout(peers []*net.UDPAddr) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range peers {
		if s.distanceTo(p.String()) == topology.OtherRegion {
			return regionReachTimeout
		}
	}
	return reachTimeout
}

// inOwnHall reports whether a node is in this node's data hall.
func (s *Sharer) inOwnHall(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distanceTo(node) == topology.SameHall
}

// handleReach answers a node that asks whether this one has a path.
func (s *Sharer) handleReach(from string, r *reachRequest) {
	s.mu.Lock()
	h := s.reachHandler
	s.mu.Unlock()
	if h == nil {
		return
	}
	ok, load := h.Reaches(r.Service)
	s.sendTo(s.addressesOf([]string{from}), message{ReachReply: &reachReply{ID: r.ID, OK: ok, Load: load, KeepsVersions: true}})
}

// handleReachReply passes an answer to the question that waits for it.
func (s *Sharer) handleReachReply(from string, r *reachReply) {
	s.reach.deliver(r.ID, reachAnswer{node: from, reachReply: *r})
}

var _ egress.Finder = (*Sharer)(nil)
