// Package logsink provides an asynchronous log writer that never blocks its callers.
// A goroutine writes queued lines to the output; lines that exceed the queue's bounds
// are dropped and counted.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Config bounds the queue of a Sink.
type Config struct {
	Lines int // maximum number of queued lines
	Bytes int // maximum size of all queued lines
}

// Option sets a field of Config.
type Option func(*Config)

// WithBounds sets the maximum number and total size of queued lines.
func WithBounds(lines, bytes int) Option {
	return func(c *Config) { c.Lines, c.Bytes = lines, bytes }
}

// Sink is an io.Writer whose Write never blocks on the output.
type Sink struct {
	cfg     Config
	out     io.Writer
	pending chan struct{}
	done    chan struct{}

	mu                 sync.Mutex
	queue              [][]byte
	queuedBytes        int
	droppedSinceReport int // since the last "Log lines dropped" line
	droppedTotal       int // since the start
	closed             bool
}

// New returns a sink that writes to out.
func New(out io.Writer, opts ...Option) *Sink {
	cfg := Config{Lines: 2000, Bytes: 512 << 10}
	for _, opt := range opts {
		opt(&cfg)
	}
	s := &Sink{cfg: cfg, out: out, pending: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	switch {
	case s.closed:
	case len(s.queue) >= s.cfg.Lines || s.queuedBytes+len(line) > s.cfg.Bytes:
		s.droppedSinceReport++
		s.droppedTotal++
	default:
		s.queue = append(s.queue, append([]byte(nil), line...))
		s.queuedBytes += len(line)
	}
	s.mu.Unlock()
	select {
	case s.pending <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedTotal
}

// run writes the queued lines, each batch in a single write.
func (s *Sink) run() {
	defer close(s.done)
	for {
		batch, dropped, closed := s.drain()
		if len(batch) > 0 {
			if _, err := s.out.Write(batch); err != nil {
				s.recordDropped(bytes.Count(batch, []byte("\n")))
			}
		}
		if dropped > 0 {
			fmt.Fprintf(s.out, "W%s logsink \"Log lines dropped\" lines=%d\n", time.Now().Format("0102 15:04:05.000000"), dropped)
		}
		if closed {
			return
		}
		<-s.pending
	}
}

// recordDropped counts lines that could not be written.
func (s *Sink) recordDropped(lines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedSinceReport += lines
	s.droppedTotal += lines
}

func (s *Sink) drain() (batch []byte, dropped int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.queue {
		batch = append(batch, line...)
	}
	dropped = s.droppedSinceReport
	s.queue, s.queuedBytes, s.droppedSinceReport = nil, 0, 0
	return batch, dropped, s.closed
}

// Close stops accepting lines and waits for queued ones to be written, for at most
// limit.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.pending <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}
