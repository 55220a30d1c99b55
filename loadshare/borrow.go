package loadshare

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A node that has exhausted its retry budget borrows a retry from a peer. The peer
// charges it to its own budget, so the site-wide bound holds even if the reply is lost.

// Limits of borrowing.
const (
	// borrowTimeout bounds the wait for the replies to one attempt: many round trips
	// within a region.
	borrowTimeout  = 30 * time.Millisecond
	borrowFanout   = 2 // peers asked at once
	borrowAttempts = 3
	// borrowBackoff is the pause after a failed borrow, so that a site that has no
	// retries left is not flooded with requests.
	borrowBackoff = 100 * time.Millisecond
	// borrowExpiry is how long after the request a late reply is still accepted.
	borrowExpiry = time.Second
)

// borrowRequest asks a peer for a retry of a service.
type borrowRequest struct {
	ID      uint64 `msgpack:"i"`
	Service string `msgpack:"s"`
}

type borrowReply struct {
	ID uint64 `msgpack:"i"`
	OK bool   `msgpack:"o,omitempty"`
}

// borrowState tracks this node's borrow requests.
type borrowState struct {
	lastID    uint64
	pending   map[uint64]*pendingBorrow
	refusedAt map[string]time.Time // time of the last failed borrow, by service
}

type pendingBorrow struct {
	service     string
	sentAt      time.Time
	outstanding int // replies still expected
	replies     chan bool
}

// Borrow asks peers for a retry of a service, and reports whether one was granted in
// time. After a failure it asks none for borrowBackoff. Granted retries, late ones
// included, are added to the service's budget.
func (s *Sharer) Borrow(ctx context.Context, service string) bool {
	for range borrowAttempts {
		peers := s.pickLenders(service)
		if len(peers) == 0 {
			return false
		}
		if s.borrowFrom(ctx, service, peers) {
			return true
		}
	}
	s.mu.Lock()
	s.borrows.refusedAt[service] = uptime.Now()
	s.mu.Unlock()
	return false
}

// pickLenders picks random peers of this region to ask; none during borrowBackoff.
func (s *Sharer) pickLenders(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused, known := s.borrows.refusedAt[service]; known && uptime.Since(refused) < borrowBackoff {
		return nil
	}
	var sameRegion []string
	for peer := range s.peers {
		state := s.senders[peer]
		if state == nil || s.regions.Region(state.location.dataHall) == s.regions.OwnRegion() {
			sameRegion = append(sameRegion, peer)
		}
	}
	rand.Shuffle(len(sameRegion), func(i, j int) { sameRegion[i], sameRegion[j] = sameRegion[j], sameRegion[i] })
	return sameRegion[:min(borrowFanout, len(sameRegion))]
}

// borrowFrom asks the peers, and waits until one grants a retry or all refuse, for at
// most borrowTimeout.
func (s *Sharer) borrowFrom(ctx context.Context, service string, peers []string) bool {
	id, p := s.startBorrow(service, len(peers))
	s.sendTo(s.addressesOf(peers), message{Borrow: &borrowRequest{ID: id, Service: service}})
	timer := time.NewTimer(borrowTimeout)
	defer timer.Stop()
	for range peers {
		select {
		case ok := <-p.replies:
			if ok {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// startBorrow registers a request to this many peers, and drops expired requests.
func (s *Sharer) startBorrow(service string, peers int) (uint64, *pendingBorrow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := uptime.Now()
	for id, p := range s.borrows.pending {
		if now.Sub(p.sentAt) > borrowExpiry {
			delete(s.borrows.pending, id)
		}
	}
	s.borrows.lastID++
	p := &pendingBorrow{service: service, sentAt: now, outstanding: peers, replies: make(chan bool, peers)}
	s.borrows.pending[s.borrows.lastID] = p
	return s.borrows.lastID, p
}

// handleBorrow replies to a peer that asks for a retry, and charges a granted one to
// this node's budget.
func (s *Sharer) handleBorrow(from string, req *borrowRequest) {
	ok := s.budgets.Of(req.Service).Lend()
	if ok {
		s.counters.lent.Add(1)
	}
	s.sendTo(s.addressesOf([]string{from}), message{BorrowReply: &borrowReply{ID: req.ID, OK: ok}})
}

// handleBorrowReply processes a peer's reply. A granted retry counts from the time of
// the request, the earliest time at which the peer may have charged it.
func (s *Sharer) handleBorrowReply(reply *borrowReply) {
	s.mu.Lock()
	p := s.borrows.pending[reply.ID]
	if p != nil {
		if p.outstanding--; p.outstanding <= 0 {
			delete(s.borrows.pending, reply.ID)
		}
	}
	s.mu.Unlock()
	if p == nil {
		return
	}
	if reply.OK {
		s.budgets.Of(p.service).AddBorrowed(p.sentAt)
		s.counters.borrowed.Add(1)
	}
	select {
	case p.replies <- reply.OK:
	default: // duplicate reply
	}
}
