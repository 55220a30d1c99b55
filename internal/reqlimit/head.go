package reqlimit

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	// lineCost and byteCost are the memory, in bytes, that a line and a byte of a head take
	// until their request has ended: once parsed, and in the requests to targets.
	lineCost = 320
	byteCost = 2
	// freeCost is the part of a head's memory, in bytes, that is not taken from the budget: a
	// common head takes nothing, so that large ones can't starve it.
	freeCost = 16 << 10
	// readSize is the size of the buffer, in bytes, through which net/http reads.
	readSize = 4 << 10
	// retryAfter is when a client may come back whose request found no memory.
	retryAfter = 250 * time.Millisecond
)

// Refusal is the error of a head or a body that must not be read further. Its request has not
// run.
type Refusal struct {
	Status     int           // of the answer
	RetryAfter time.Duration // 0 if to come back is of no use
	Why        string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Why }

// HeadMeter measures the heads that arrive on one connection, and takes their memory from a budget
// until the next one. Its methods must not be called concurrently.
type HeadMeter struct {
	budget   *Budget
	maxBytes func() int

	phase     phase
	bytes     int // of the head
	lines     int
	lineEmpty bool  // nothing but a carriage return has arrived of the line
	taken     int64 // from the budget
	last      tally // of the latest read, which may hold a part of the next head
}

// phase says what the bytes that arrive belong to.
type phase int

const (
	inHead phase = iota
	behindHead
	closed
)

type tally struct{ bytes, lines int }

// NewHeadMeter returns the meter of a new connection. maxBytes returns the limit of the size of a
// head; what is read behind a head together with it does not count as exceeding it.
func NewHeadMeter(b *Budget, maxBytes func() int) *HeadMeter {
	return &HeadMeter{budget: b, maxBytes: maxBytes, lineEmpty: true}
}

// Read counts what a read has returned. Background says that it was the single byte that
// net/http reads while a request is handled.
func (m *HeadMeter) Read(p []byte, background bool) *Refusal {
	if !background {
		m.last = tally{}
	}
	if len(p) <= readSize { // others bypass the buffer
		m.last.bytes += len(p)
		m.last.lines += bytes.Count(p, []byte{'\n'})
	}
	if m.phase != inHead {
		return nil
	}
	return m.count(p)
}

// count counts bytes of a head, up to its end.
func (m *HeadMeter) count(p []byte) *Refusal {
	for len(p) > 0 && m.phase == inHead {
		line, rest, found := bytes.Cut(p, []byte{'\n'})
		m.bytes += len(p) - len(rest)
		if len(bytes.TrimSuffix(line, []byte{'\r'})) > 0 {
			m.lineEmpty = false
		}
		if found {
			m.endLine()
		}
		p = rest
	}
	return m.check()
}

// endLine counts a line. An empty one ends the head unless it is the first.
func (m *HeadMeter) endLine() {
	if m.lineEmpty && m.lines > 0 {
		m.phase = behindHead
	}
	m.lines++
	m.lineEmpty = true
}

func (m *HeadMeter) check() *Refusal {
	if limit := m.maxBytes(); m.bytes > limit+readSize {
		m.budget.tooLarge.Add(1)
		return &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Why: fmt.Sprintf("the request head is larger than %d bytes", limit)}
	}
	more := headCost(m.lines, m.bytes) - m.taken
	if more <= 0 {
		return nil
	}
	if !m.budget.Take(more, m.taken) {
		return headMemoryRefusal()
	}
	m.taken += more
	return nil
}

// headCost returns the memory that is taken for a head; 0 or less for a common one.
func headCost(lines, bytes int) int64 { return int64(lineCost*lines+byteCost*bytes) - freeCost }

func headMemoryRefusal() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Why: "the memory for large request heads is used up"}
}

// TakeHeader takes the memory of a head that another node has read, until giveBack is called.
func (b *Budget) TakeHeader(h http.Header) (giveBack func(), refusal *Refusal) {
	var lines, bytes int
	for name, values := range h {
		for _, v := range values {
			lines++
			bytes += len(name) + len(v)
		}
	}
	taken := max(0, headCost(lines, bytes))
	if taken > 0 && !b.Take(taken, 0) {
		return nil, headMemoryRefusal()
	}
	return func() { b.GiveBack(taken) }, nil
}

// Parsed says that the head has been read whole.
func (m *HeadMeter) Parsed() {
	if m.phase == inHead {
		m.phase = behindHead
	}
}

// Next gives back the memory of the request before, and expects a further head.
func (m *HeadMeter) Next() {
	if m.phase == closed {
		return
	}
	m.giveBack()
	m.phase, m.bytes, m.lines, m.lineEmpty = inHead, 0, 0, true
}

// Pipelined says that the head, or its first part, was read together with the request before.
func (m *HeadMeter) Pipelined() *Refusal {
	if m.phase == closed {
		return nil
	}
	m.bytes, m.lines, m.lineEmpty = m.last.bytes, m.last.lines, false
	return m.check()
}

// Close gives everything back.
func (m *HeadMeter) Close() {
	m.giveBack()
	m.phase = closed
}

func (m *HeadMeter) giveBack() {
	m.budget.GiveBack(m.taken)
	m.taken = 0
}
