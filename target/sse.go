package target

import (
	"bufio"
	"io"
	"strings"
)

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 4 << 20

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// EventReader reads server-sent events.
type EventReader struct {
	lines *bufio.Scanner
}

// NewEventReader returns a reader of r's events.
func NewEventReader(r io.Reader) *EventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	return &EventReader{lines: lines}
}

// Next returns the next event with data, io.EOF, or bufio.ErrTooLong for one above maxEvent. A
// truncated event is discarded.
func (r *EventReader) Next() (Event, error) {
	var e Event
	var data []string
	size := 0 // of data
	for r.lines.Scan() {
		line := r.lines.Text()
		if line == "" {
			if data == nil {
				continue
			}
			e.Data = strings.Join(data, "\n")
			return e, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			e.ID = value
		case "event":
			e.Name = value
		case "data":
			if size += len(line) + 1; size > maxEvent {
				return Event{}, bufio.ErrTooLong
			}
			data = append(data, value)
		}
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}
