package loadshare

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// A node whose requests and part of the slack allow no more repeats borrows one of a peer,
// which counts it as its own: what is lent stays within the bound, whatever becomes of it.

// Times of borrowing.
const (
	// borrowWait bounds the wait for an answer: many times the way within a region.
	borrowWait  = 30 * time.Millisecond
	borrowAsks  = 2 // peers at once
	borrowTries = 3
	// borrowRest is how long after nobody lent one no peer is asked again: in a site
	// that has spent everything, each call would ask in vain.
	borrowRest = 100 * time.Millisecond
	// borrowLate is how long after the question an answer is of no use any more.
	borrowLate = time.Second
)

// borrow asks a peer for a repeat of a service; lent answers.
type borrow struct {
	ID      uint64 `msgpack:"i"`
	Service string `msgpack:"s"`
}

type lent struct {
	ID uint64 `msgpack:"i"`
	OK bool   `msgpack:"o,omitempty"`
}

// borrowing is what this node asked peers for.
type borrowing struct {
	newest  uint64
	pending map[uint64]*pendingBorrow
	vain    map[string]time.Time // when nobody lent a service's, by service
}

type pendingBorrow struct {
	service  string
	asked    time.Time
	unheard  int // answers that are still awaited
	answered chan bool
}

// Borrow asks peers for a repeat of a service, and reports whether one came in time. It
// is in the service's budget then, and so is one that comes later.
func (s *Sharer) Borrow(ctx context.Context, service string) bool {
	for range borrowTries {
		peers := s.lenders(service)
		if len(peers) == 0 {
			return false
		}
		if s.borrowOf(ctx, service, peers) {
			return true
		}
	}
	s.mu.Lock()
	s.borrows.vain[service] = uptime.Now()
	s.mu.Unlock()
	return false
}

// lenders draws the peers that are asked next: none for a while after nobody lent one.
func (s *Sharer) lenders(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vain, known := s.borrows.vain[service]; known && uptime.Since(vain) < borrowRest {
		return nil
	}
	var near []string
	for peer := range s.peers {
		heard := s.heard[peer]
		if heard == nil || s.regions.Region(heard.place.dataHall) == s.regions.OwnRegion() {
			near = append(near, peer)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(borrowAsks, len(near))]
}

// borrowOf asks some peers, and waits until one lends a repeat or none does.
func (s *Sharer) borrowOf(ctx context.Context, service string, peers []string) bool {
	id, p := s.addBorrow(service, len(peers))
	s.sendTo(s.addressesOf(peers), message{Borrow: &borrow{ID: id, Service: service}})
	timer := time.NewTimer(borrowWait)
	defer timer.Stop()
	for range peers {
		select {
		case ok := <-p.answered:
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

// addBorrow opens a question to so many peers, and forgets those whose answers would come
// too late.
func (s *Sharer) addBorrow(service string, peers int) (uint64, *pendingBorrow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := uptime.Now()
	for id, p := range s.borrows.pending {
		if now.Sub(p.asked) > borrowLate {
			delete(s.borrows.pending, id)
		}
	}
	s.borrows.newest++
	p := &pendingBorrow{service: service, asked: now, unheard: peers, answered: make(chan bool, peers)}
	s.borrows.pending[s.borrows.newest] = p
	return s.borrows.newest, p
}

// lend answers a peer that asks for a repeat.
func (s *Sharer) lend(from string, b *borrow) {
	ok := s.budgets.Of(b.Service).Lend()
	if ok {
		s.count.lent.Add(1)
	}
	s.sendTo(s.addressesOf([]string{from}), message{Lent: &lent{ID: b.ID, OK: ok}})
}

// takeLent takes the answer of a peer. It counts from the question, since the peer may
// have counted it from then on.
func (s *Sharer) takeLent(l *lent) {
	s.mu.Lock()
	p := s.borrows.pending[l.ID]
	if p != nil {
		if p.unheard--; p.unheard <= 0 {
			delete(s.borrows.pending, l.ID)
		}
	}
	s.mu.Unlock()
	if p == nil {
		return
	}
	if l.OK {
		s.budgets.Of(p.service).Borrowed(p.asked)
		s.count.borrowed.Add(1)
	}
	select {
	case p.answered <- l.OK:
	default: // an answer came twice
	}
}
