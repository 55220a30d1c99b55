// Package eventstream splits a text/event-stream into events without altering their bytes,
// and parses their IDs.
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

// ErrTooLong reports an event longer than MaxEvent, which its text repeats.
var ErrTooLong = errors.New("event longer than 1 MiB")

// Event is one event with its original bytes, including the final blank line.
type Event struct {
	Raw   []byte
	ID    int64
	HasID bool // the event has an integer ID
	// HasData says that the event has a data field: others, such as comments, are not
	// dispatched by clients.
	HasData bool
}

// Reader reads events. When Next fails, the bytes after the last blank line are kept as
// the remainder: a truncated event, or the end of a stream without a final blank line.
type Reader struct {
	source    *bufio.Reader
	event     []byte
	remainder []byte
}

// readBuffer is the size of the read buffer in bytes; lines may be longer.
const readBuffer = 2 << 10

// NewReader returns a reader of r's events.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, readBuffer)}
}

// Remainder returns the bytes read after the last complete event, once Next has failed;
// nil before. After ErrTooLong the rest of the long event is not included.
func (r *Reader) Remainder() []byte { return r.remainder }

// Next returns the next complete event, which is valid until the next call. Errors are
// those of the source, or ErrTooLong.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	e := Event{}
	for {
		start := len(r.event)
		if err := r.readLine(); err != nil {
			r.remainder = r.event
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
		e.HasData = e.HasData || isData(line)
	}
}

// readLine appends one line to the event.
func (r *Reader) readLine() error {
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

// isData reports whether a line is a data field.
func isData(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("data"))
	return ok && (len(rest) == 0 || rest[0] == ':')
}

// parseID parses an id line with an integer value.
func parseID(line []byte) (int64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
