// Package logsink takes log lines without ever holding up who writes them: a
// task of its own hands them to the output, and lines that find the queue
// full are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Config bounds a Sink.
type Config struct {
	Lines int // that may wait
	Bytes int // of all lines that wait
}

// Option sets a field of Config.
type Option func(*Config)

// WithBounds sets how many lines and bytes may wait.
func WithBounds(lines, bytes int) Option {
	return func(c *Config) { c.Lines, c.Bytes = lines, bytes }
}

// Sink is an io.Writer whose Write never waits for the output.
type Sink struct {
	cfg  Config
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	waiting [][]byte
	bytes   int
	dropped int // since the output was told last
	total   int // dropped ever
	closed  bool
}

// New returns a sink that hands lines to out.
func New(out io.Writer, opts ...Option) *Sink {
	cfg := Config{Lines: 2000, Bytes: 512 << 10}
	for _, opt := range opts {
		opt(&cfg)
	}
	s := &Sink{cfg: cfg, out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	switch {
	case s.closed:
	case len(s.waiting) >= s.cfg.Lines || s.bytes+len(line) > s.cfg.Bytes:
		s.dropped++
		s.total++
	default:
		s.waiting = append(s.waiting, append([]byte(nil), line...))
		s.bytes += len(line)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// run hands over what waits, all of it in one write.
func (s *Sink) run() {
	defer close(s.done)
	for {
		batch, dropped, closed := s.take()
		if len(batch) > 0 {
			s.out.Write(batch)
		}
		if dropped > 0 {
			fmt.Fprintf(s.out, "W%s logsink \"Log lines dropped\" lines=%d\n", time.Now().Format("0102 15:04:05.000000"), dropped)
		}
		if closed {
			return
		}
		<-s.wake
	}
}

func (s *Sink) take() (batch []byte, dropped int, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.waiting {
		batch = append(batch, line...)
	}
	dropped = s.dropped
	s.waiting, s.bytes, s.dropped = nil, 0, 0
	return batch, dropped, s.closed
}

// Close hands over what waits, for at most limit.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}
