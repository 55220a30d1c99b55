// Package eventstream cuts a text/event-stream into whole events without
// changing a byte of them, and tells their ids.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxEvent bounds one event, in bytes.
const MaxEvent = 1 << 20

// ErrTooLong says that an event is longer than MaxEvent.
var ErrTooLong = errors.New("event too long")

// Event is one event as its sender wrote it, blank line included.
type Event struct {
	Raw   []byte
	ID    int64
	HasID bool // ID holds a whole number that the event named
}

// Reader reads events. What follows the last blank line is kept apart: it is
// part of an event that was cut off, or of a stream without a blank line at
// its end.
type Reader struct {
	source *bufio.Reader
	event  []byte
	rest   []byte
}

const readBuffer = 2 << 10

// NewReader returns a reader of r's events.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBuffer)}
}

// Buffered reports whether more bytes are at hand without waiting.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// Rest returns what was read behind the last whole event.
func (r *Reader) Rest() []byte { return r.rest }

// Next returns the next whole event; the event is valid until the next call.
// Any error is the source's, io.EOF at its end.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	e := Event{}
	for {
		start := len(r.event)
		if err := r.line(); err != nil {
			r.rest = r.event
			return Event{}, err
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.event
			return e, nil
		}
		if id, ok := parseID(line); ok {
			e.ID, e.HasID = id, true
		}
	}
}

// line adds one line to the event.
func (r *Reader) line() error {
	for {
		part, err := r.source.ReadSlice('\n')
		r.event = append(r.event, part...)
		if len(r.event) > MaxEvent {
			return ErrTooLong
		}
		if err == nil {
			return nil
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// parseID reads an id line that holds a whole number.
func parseID(line []byte) (int64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
