package loadshare

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/ratelimit"
)

// Nodes ask each other for permits of targets that publish a rate limit. The Sharer carries
// these messages; see package ratelimit.

// LimitHandler handles the messages about rate limits that arrive at this node.
type LimitHandler interface {
	HandleAsk(a ratelimit.Ask) ratelimit.Reply
	HandleChange(c ratelimit.Change)
}

// WithLimits sets the handler of messages about rate limits. Without one they are ignored.
func WithLimits(h LimitHandler) Option { return func(s *Sharer) { s.limits = h } }

const (
	// permitTimeout bounds the wait for a reply to one ask.
	permitTimeout = 30 * time.Millisecond
	// regionPermitTimeout is the same for a node in another region.
	regionPermitTimeout = 150 * time.Millisecond
)

// permitRequest is the encoding of a ratelimit.Ask; see there for the fields.
type permitRequest struct {
	ID     uint64  `msgpack:"i"` // unique per sender
	Target string  `msgpack:"t"`
	Rate   float64 `msgpack:"r"`
	AgeMS  int64   `msgpack:"a,omitempty"`
	WaitMS int64   `msgpack:"w,omitempty"`
	Rank   int     `msgpack:"k,omitempty"`
}

func (p *permitRequest) ask() ratelimit.Ask {
	return ratelimit.Ask{Target: p.Target, Rate: decodeRate(p.Rate), Age: milliseconds(p.AgeMS), MaxWait: milliseconds(p.WaitMS), Rank: max(0, p.Rank)}
}

// permitReply is the encoding of a ratelimit.Reply; see there for the fields.
type permitReply struct {
	ID       uint64  `msgpack:"i"` // of the request
	Granted  bool    `msgpack:"g,omitempty"`
	NotOwner bool    `msgpack:"n,omitempty"`
	WaitUS   int64   `msgpack:"w,omitempty"` // microseconds
	ReturnMS int64   `msgpack:"b,omitempty"`
	Rate     float64 `msgpack:"r"`
	AgeMS    int64   `msgpack:"a,omitempty"`
}

func encodePermitReply(id uint64, r ratelimit.Reply) *permitReply {
	return &permitReply{ID: id, Granted: r.Granted, NotOwner: r.NotOwner, WaitUS: r.Wait.Microseconds(),
		ReturnMS: r.RetryAfter.Milliseconds(), Rate: encodeRate(r.Rate), AgeMS: r.Age.Milliseconds()}
}

func (p *permitReply) reply() ratelimit.Reply {
	return ratelimit.Reply{Granted: p.Granted, NotOwner: p.NotOwner, Wait: milliseconds(p.WaitUS/1000) + time.Duration(p.WaitUS%1000)*time.Microsecond,
		RetryAfter: milliseconds(p.ReturnMS), Rate: decodeRate(p.Rate), Age: milliseconds(p.AgeMS)}
}

// limitChange is the encoding of a ratelimit.Change; see there for the fields.
type limitChange struct {
	Target string  `msgpack:"t"`
	Rate   float64 `msgpack:"r"`
	AgeMS  int64   `msgpack:"a,omitempty"`
}

// noLimit encodes ratelimit.Unlimited.
const noLimit = -1

func encodeRate(rate float64) float64 {
	if rate == ratelimit.Unlimited {
		return noLimit
	}
	return rate
}

// decodeRate returns a received rate. One that no node sends counts as the lowest, so that
// a corrupt message does not lift a limit.
func decodeRate(rate float64) float64 {
	if rate == noLimit {
		return ratelimit.Unlimited
	}
	if !(rate >= 0) || math.IsInf(rate, 1) {
		return 0
	}
	return rate
}

// Ask implements ratelimit.Network.
func (s *Sharer) Ask(ctx context.Context, node string, a ratelimit.Ask) (ratelimit.Reply, bool) {
	peers := s.addressesOf([]string{node})
	if len(peers) == 0 {
		return ratelimit.Reply{}, false // no longer listed: no reply will come
	}
	id, replies := s.asks.start(1)
	defer s.asks.end(id)
	s.sendTo(peers, message{Permit: &permitRequest{
		ID: id, Target: a.Target, Rate: encodeRate(a.Rate), AgeMS: a.Age.Milliseconds(), WaitMS: a.MaxWait.Milliseconds(), Rank: a.Rank,
	}})
	return await(ctx, replies, s.permitTimeout(node))
}

// permitTimeout returns how long to wait for a node's reply.
func (s *Sharer) permitTimeout(node string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.senders[node]
	if state == nil || s.regions.Region(state.location.dataHall) == s.regions.OwnRegion() {
		return permitTimeout
	}
	return regionPermitTimeout
}

// Nodes implements ratelimit.Network.
func (s *Sharer) Nodes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}

// Gossip implements ratelimit.Network.
func (s *Sharer) Gossip(n int, changes []ratelimit.Change) {
	encoded := make([]limitChange, len(changes))
	for i, c := range changes {
		encoded[i] = limitChange{Target: c.Target, Rate: encodeRate(c.Rate), AgeMS: c.Age.Milliseconds()}
	}
	s.sendTo(s.randomPeers(n), message{Limits: encoded})
}

// randomPeers returns the addresses of up to n random peers.
func (s *Sharer) randomPeers(n int) []*net.UDPAddr {
	s.mu.Lock()
	peers := slices.Collect(maps.Values(s.peers))
	s.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// handlePermitRequest replies to a node that asks for a permit.
func (s *Sharer) handlePermitRequest(from string, p *permitRequest) {
	if s.limits == nil {
		return
	}
	reply := s.limits.HandleAsk(p.ask())
	s.sendTo(s.addressesOf([]string{from}), message{PermitReply: encodePermitReply(p.ID, reply)})
}

// handlePermitReply passes a reply to the ask that waits for it. The permit of a late or
// duplicate one is lost.
func (s *Sharer) handlePermitReply(p *permitReply) { s.asks.deliver(p.ID, p.reply()) }

// handleLimits records the limits that another node reports.
func (s *Sharer) handleLimits(changes []limitChange) {
	if s.limits == nil {
		return
	}
	for _, c := range changes {
		s.limits.HandleChange(ratelimit.Change{Target: c.Target, Rate: decodeRate(c.Rate), Age: milliseconds(c.AgeMS)})
	}
}

var _ ratelimit.Network = (*Sharer)(nil)
