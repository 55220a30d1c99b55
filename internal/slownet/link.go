package slownet

import (
	"sync"
	"time"
)

// Flow control of a rate-limited connection. The limit on segments in flight keeps
// one connection from filling the queue of a shared link.
const (
	segmentSize    = 4 << 10 // bytes
	windowSegments = 16      // segments in flight in one direction
)

// Link is one direction of a host's network link. All connections of the host
// share its bandwidth.
type Link struct {
	rate float64 // bytes per second

	mu     sync.Mutex
	idleAt time.Time // when all queued data has been transmitted
}

// NewLink returns a link with the given bandwidth.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// transmit queues n bytes that reach the link at the given time, and returns when
// their transmission ends.
func (l *Link) transmit(n int, at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleAt.After(at) {
		at = l.idleAt
	}
	l.idleAt = at.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.idleAt
}

// Links is the path of one direction of a connection, in order.
type Links []*Link

// transmit queues n bytes on each link in turn, and returns when they have passed the
// last one.
func (ls Links) transmit(n int, at time.Time) time.Time {
	for _, l := range ls {
		at = l.transmit(n, at)
	}
	return at
}
