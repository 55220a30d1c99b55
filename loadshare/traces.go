package loadshare

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Traces do not pass through relays: they are large, and few nodes need them. A node
// stores the trace of each run at the nodes selected by hashing its key, and a node
// that receives a request queries these.

// Timing and limits of traces.
const (
	// traceRefreshInterval is how often a trace is resent. Traces expire after
	// copyTTL of package balance, 4 s, so that one datagram may be lost.
	traceRefreshInterval = 1800 * time.Millisecond
	// findTimeout bounds the wait for replies: many round trips to another data
	// hall, and short compared to the prefill of a prompt.
	findTimeout = 30 * time.Millisecond
	// findAnywhereTimeout is the same with other regions: two round trips on a
	// long link.
	findAnywhereTimeout = 80 * time.Millisecond
	// maxTraces bounds the traces in a datagram, of about 100 bytes each.
	maxTraces = 100
)

// sentTraces are the traces that were sent to trace stores. Only the send loop of the
// relay group uses them.
type sentTraces struct {
	byRun map[uint64]sentTrace
}

type sentTrace struct {
	trace balance.Trace
	at    time.Time
}

// updates returns the updates to send now, by trace store.
func (t *sentTraces) updates(runs []balance.RunReport, storesOf func(key string) []string, now time.Time) map[string][]traceUpdate {
	if t.byRun == nil {
		t.byRun = map[uint64]sentTrace{}
	}
	byStore := map[string][]traceUpdate{}
	live := make(map[uint64]bool, len(runs))
	for _, r := range runs {
		if r.Trace.Key == "" {
			continue
		}
		live[r.Number] = true
		before, known := t.byRun[r.Number]
		if known && before.trace == r.Trace && now.Sub(before.at) < traceRefreshInterval {
			continue
		}
		t.byRun[r.Number] = sentTrace{trace: r.Trace, at: now}
		for _, h := range storesOf(r.Trace.Key) {
			byStore[h] = append(byStore[h], encodeTrace(r.Trace))
		}
	}
	for number, sent := range t.byRun {
		if live[number] {
			continue
		}
		delete(t.byRun, number)
		update := encodeTrace(sent.trace)
		update.Finished = true
		for _, h := range storesOf(sent.trace.Key) {
			byStore[h] = append(byStore[h], update)
		}
	}
	return byStore
}

// sendTraces sends the traces of this node's runs to their stores.
func (s *Sharer) sendTraces(l *layout, runs []balance.RunReport) {
	for store, updates := range s.sentTraces.updates(runs, l.traceStoresOf, uptime.Now()) {
		if store == l.own {
			continue
		}
		for len(updates) > 0 {
			var m message
			m.Traces, updates = splitAt(updates, maxTraces)
			s.sendTo(s.addressesOf([]string{store}), m)
		}
	}
}

// handleTraces stores traces received from another node.
func (s *Sharer) handleTraces(updates []traceUpdate) {
	for _, n := range updates {
		if n.Key == "" {
			continue
		}
		if n.Finished {
			s.tracker.DropTrace(n.trace())
			continue
		}
		s.tracker.AddPeerTrace(n.trace())
	}
	s.requestSave()
}

// Find fetches the trace of a prompt's key and of a stream from the key's trace stores and
// passes it to the tracker, for a request that may be a repeated one. It waits for up to
// findTimeout. It does nothing if the tracker has a trace with a copy already, or on sites
// without relays, where every node has all traces.
func (s *Sharer) Find(ctx context.Context, key string, stream balance.StreamID) {
	l := s.currentLayout()
	s.find(ctx, l, key, stream, l.traceStoresOf(key), findTimeout)
}

// FindAnywhere is like Find, but also queries other regions, for a request that is
// known to be a repeated one and may have been sent to another region before.
func (s *Sharer) FindAnywhere(ctx context.Context, key string, stream balance.StreamID) {
	l := s.currentLayout()
	wait := findTimeout
	if l.region != "" {
		wait = findAnywhereTimeout
	}
	s.find(ctx, l, key, stream, l.traceStoresAnywhere(key), wait)
}

// find queries trace stores for the trace of a key and a stream, and waits for up to wait
// for the first that has it.
func (s *Sharer) find(ctx context.Context, l *layout, key string, stream balance.StreamID, stores []string, wait time.Duration) {
	if !l.relayed || key == "" {
		return
	}
	if trace, _ := s.tracker.TraceOf(key, stream); trace.Copy != "" {
		return
	}
	stores = without(stores, l.own)
	id, replies := s.startLookup(len(stores))
	defer s.endLookup(id)
	s.sendTo(s.addressesOf(stores), message{Lookup: &lookupRequest{ID: id, Key: key, Content: stream.Content, Attempt: stream.Attempt}})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range stores {
		select {
		case n := <-replies:
			if n != nil {
				s.handleTraces([]traceUpdate{*n})
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// startLookup registers a lookup that n nodes may answer.
func (s *Sharer) startLookup(n int) (id uint64, replies chan *traceUpdate) {
	replies = make(chan *traceUpdate, n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLookup++
	s.pendingLookups[s.lastLookup] = replies
	return s.lastLookup, replies
}

func (s *Sharer) endLookup(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingLookups, id)
}

// handleLookup replies to a lookup.
func (s *Sharer) handleLookup(from string, req *lookupRequest) {
	reply := &lookupReply{ID: req.ID}
	if trace, known := s.tracker.TraceOf(req.Key, balance.StreamID{Content: req.Content, Attempt: req.Attempt}); known {
		n := encodeTrace(trace)
		reply.Trace = &n
	}
	s.sendTo(s.addressesOf([]string{from}), message{LookupReply: reply})
}

// handleLookupReply passes a reply to the waiting lookup, if any.
func (s *Sharer) handleLookupReply(f *lookupReply) {
	s.mu.Lock()
	replies := s.pendingLookups[f.ID]
	s.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- f.Trace:
	default: // duplicate reply
	}
}

// without returns the addresses except one.
func without(addresses []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}
