package loadshare

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Where words pass through relays, traces do not: they are long, and few nodes
// need one. So a run's node tells it to the nodes that its key names, and a
// node to which a request comes asks these.

// Times of traces.
const (
	// traceRefresh is how often a trace is told again: the trace of a node that
	// has gone counts for copyLife of package balance, 4 s, and one may be lost.
	traceRefresh = 1800 * time.Millisecond
	// findWait bounds the wait for an answer: many times the way to another
	// data hall, and little beside the reading of a prompt.
	findWait = 30 * time.Millisecond
	// findFarWait is the same where other regions are asked: twice the way there
	// and back on a long link.
	findFarWait = 80 * time.Millisecond
	// maxTraces bounds a datagram of traces, of some 80 bytes each.
	maxTraces = 100
)

// toldTraces are the traces that this node's keepers know. Only the task that
// reports uses it.
type toldTraces struct {
	byRun map[uint64]toldTrace
}

type toldTrace struct {
	trace balance.Trace
	at    time.Time
}

// news returns what is to be told now, by keeper.
func (t *toldTraces) news(runs []balance.Shared, holders func(key string) []string, now time.Time) map[string][]traceNote {
	if t.byRun == nil {
		t.byRun = map[uint64]toldTrace{}
	}
	notes := map[string][]traceNote{}
	live := make(map[uint64]bool, len(runs))
	for _, r := range runs {
		if r.Trace.Key == "" {
			continue
		}
		live[r.Number] = true
		before, known := t.byRun[r.Number]
		if known && before.trace == r.Trace && now.Sub(before.at) < traceRefresh {
			continue
		}
		t.byRun[r.Number] = toldTrace{trace: r.Trace, at: now}
		for _, h := range holders(r.Trace.Key) {
			notes[h] = append(notes[h], encodeTrace(r.Trace))
		}
	}
	for number, told := range t.byRun {
		if live[number] {
			continue
		}
		delete(t.byRun, number)
		note := encodeTrace(told.trace)
		note.Over = true
		for _, h := range holders(told.trace.Key) {
			notes[h] = append(notes[h], note)
		}
	}
	return notes
}

// tellTraces tells keepers the traces of this node's runs.
func (s *Sharer) tellTraces(l *layout, runs []balance.Shared) {
	for keeper, notes := range s.traces.news(runs, l.holders, uptime.Now()) {
		if keeper == l.own {
			continue
		}
		for len(notes) > 0 {
			var m message
			m.Traces, notes = cut(notes, maxTraces)
			s.sendTo(s.addressesOf([]string{keeper}), m)
		}
	}
}

// takeTraces keeps another node's traces.
func (s *Sharer) takeTraces(notes []traceNote) {
	for _, n := range notes {
		if n.Key == "" {
			continue
		}
		if n.Over {
			s.tracker.DropTrace(n.trace())
			continue
		}
		s.tracker.NoteTrace(n.trace())
	}
	s.note()
}

// Find learns the trace of a key from the nodes that keep it, for a request
// that may have come before. Where every node knows all runs it does nothing.
func (s *Sharer) Find(ctx context.Context, key string) {
	l := s.layoutNow()
	s.find(ctx, l, key, l.holders(key), findWait)
}

// FindAnywhere does what Find does, and asks the nodes of other regions as well:
// for a request that did come before, maybe to another region.
func (s *Sharer) FindAnywhere(ctx context.Context, key string) {
	l := s.layoutNow()
	wait := findWait
	if l.region != "" {
		wait = findFarWait
	}
	s.find(ctx, l, key, l.holdersAnywhere(key), wait)
}

// find asks keepers for the trace of a key, for so long.
func (s *Sharer) find(ctx context.Context, l *layout, key string, keepers []string, wait time.Duration) {
	if !l.relayed || key == "" {
		return
	}
	if trace, _ := s.tracker.TraceOf(key); trace.Copy != "" {
		return
	}
	keepers = without(keepers, l.own)
	id, answers := s.awaitFound(len(keepers))
	defer s.forgetFound(id)
	s.sendTo(s.addressesOf(keepers), message{Lookup: &lookup{ID: id, Key: key}})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range keepers {
		select {
		case n := <-answers:
			if n != nil {
				s.takeTraces([]traceNote{*n})
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitFound opens a question that so many nodes may answer.
func (s *Sharer) awaitFound(n int) (id uint64, answers chan *traceNote) {
	answers = make(chan *traceNote, n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
	s.asked[s.lookups] = answers
	return s.lookups, answers
}

func (s *Sharer) forgetFound(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asked, id)
}

// answerLookup tells the asker what is known here.
func (s *Sharer) answerLookup(from string, q *lookup) {
	answer := &found{ID: q.ID}
	if trace, known := s.tracker.TraceOf(q.Key); known {
		n := encodeTrace(trace)
		answer.Trace = &n
	}
	s.sendTo(s.addressesOf([]string{from}), message{Found: answer})
}

// takeFound hands an answer to who asked, if that still waits.
func (s *Sharer) takeFound(f *found) {
	s.mu.Lock()
	answers := s.asked[f.ID]
	s.mu.Unlock()
	if answers == nil {
		return
	}
	select {
	case answers <- f.Trace:
	default: // an answer came twice
	}
}

// without returns the addresses but one.
func without(addresses []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}
