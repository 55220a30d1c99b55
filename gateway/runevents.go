package gateway

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/eventstream"
)

// maxFiller bounds the bytes of a run without an event by which it advances.
const maxFiller = 64 << 10

// errFiller ends a run that exceeds maxFiller.
var errFiller = errors.Newf("more than %d bytes without an event", maxFiller)

// runEvents reads the events by which one run advances. Comments and other blocks that are no
// such event may be sent without end, so they are no sign of progress. They are passed on
// unchanged, but not before the run's first event: an answer of which only they were forwarded
// could neither be replaced by another one nor be refused.
type runEvents struct {
	*eventstream.Reader
	relay  *relay
	begun  bool
	lastID int64 // of the run; valid if hasID
	hasID  bool
	filler int // bytes since the last event
}

// newRunEvents returns the events of a run's answer.
func (r *relay) newRunEvents(answer io.Reader) *runEvents {
	r.held = r.held[:0]
	return &runEvents{Reader: eventstream.NewReader(answer), relay: r}
}

// Next returns the next event by which the run advances. Errors are those of the reader, or
// errFiller.
func (e *runEvents) Next() (eventstream.Event, error) {
	for {
		next, err := e.Reader.Next()
		if err != nil || e.advances(next) {
			e.filler, e.begun = 0, true
			return next, err
		}
		if e.filler += len(next.Raw); e.filler > maxFiller {
			return eventstream.Event{}, errFiller
		}
		if !next.HasData || !next.HasID { // otherwise the client already has it
			e.relay.passOn(next.Raw, e.begun)
		}
	}
}

// advances reports whether the run advances by an event. Where the client may resume, that
// takes an ID higher than the last one, once the stream has IDs.
func (e *runEvents) advances(next eventstream.Event) bool {
	if !next.HasData {
		return false
	}
	if !e.relay.call.resumable() || !e.hasID && !next.HasID {
		return true
	}
	if !next.HasID || e.hasID && next.ID <= e.lastID {
		return false
	}
	e.lastID, e.hasID = next.ID, true
	return true
}

// passOn forwards bytes that are no event, or holds them until the next event if the run has
// not begun or the client does not keep up.
func (r *relay) passOn(raw []byte, begun bool) {
	if begun && r.started && len(r.held) == 0 && r.out.TryPut(raw) {
		return
	}
	r.held = append(r.held, raw...)
}
