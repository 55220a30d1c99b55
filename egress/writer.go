package egress

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ResponseWriter sends a target's answer to the ingress in frames. It implements
// http.ResponseWriter and the methods that http.ResponseController uses.
type ResponseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	header  http.Header

	mu      sync.Mutex
	started bool // the head was sent
	target  Target
	buffer  []byte
	err     error
}

func newResponseWriter(w http.ResponseWriter) *ResponseWriter {
	return &ResponseWriter{w: w, control: http.NewResponseController(w), header: http.Header{}}
}

// Target describes the target that answers.
type Target struct {
	Incarnation string
	DataHall    string
	Software    string // version
	Copy        *Copy  // that grows with the run; nil for none
}

// SetTarget sets the target whose answer is written. It must be called before the head is
// written.
func (w *ResponseWriter) SetTarget(t Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target = t
}

// Sent announces to the ingress the target to which the request is about to be sent.
func (w *ResponseWriter) Sent(s Sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeMessage(frameSent, s)
	if w.err == nil {
		w.err = w.control.Flush()
	}
}

// Started reports whether the head of an answer was sent.
func (w *ResponseWriter) Started() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// Header implements http.ResponseWriter. The Content-Length header gives the length of the
// answer.
func (w *ResponseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *ResponseWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.started {
		return
	}
	w.started = true
	head := Head{Status: status, Header: maps.Clone(w.header), Length: -1, Target: w.target.Incarnation, DataHall: w.target.DataHall, Software: w.target.Software, Copy: w.target.Copy}
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		head.Length = n
	}
	w.writeMessage(frameHead, head)
}

// Write implements http.ResponseWriter.
func (w *ResponseWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for rest := p; len(rest) > 0 && w.err == nil; {
		n := min(len(rest), maxData)
		w.buffer = append(appendFrameHeader(w.buffer[:0], frameData, n), rest[:n]...)
		_, w.err = w.w.Write(w.buffer)
		rest = rest[n:]
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// FlushError implements what http.ResponseController.Flush calls.
func (w *ResponseWriter) FlushError() error { return w.control.Flush() }

// SetWriteDeadline implements what http.ResponseController.SetWriteDeadline calls.
func (w *ResponseWriter) SetWriteDeadline(t time.Time) error { return w.control.SetWriteDeadline(t) }

// end sends the last message.
func (w *ResponseWriter) end(e End) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeMessage(frameEnd, e)
	if w.err == nil {
		w.err = w.control.Flush()
	}
	return w.err
}

// writeMessage sends a message unless sending has failed before. The caller holds the
// mutex.
func (w *ResponseWriter) writeMessage(kind frameKind, message any) {
	if w.err != nil {
		return
	}
	if w.buffer, w.err = appendMessage(w.buffer[:0], kind, message); w.err == nil {
		_, w.err = w.w.Write(w.buffer)
	}
}
