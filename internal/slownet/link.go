package slownet

import (
	"sync"
	"time"
)

// Bounds of a connection whose way has a limited rate: as with TCP and a small
// window, connections share the link in turns.
const (
	segment = 4 << 10 // bytes that pass a link in one piece
	window  = 16      // segments of one direction on their way
)

// Link is a host's way into the network in one direction. What the host's
// connections carry passes it one after the other.
type Link struct {
	rate float64 // bytes a second

	mu   sync.Mutex
	free time.Time // when all that was handed to it has passed
}

// NewLink returns a link that passes so many bytes a second.
func NewLink(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond} }

// pass returns when n bytes that reach the link at a moment have passed it.
func (l *Link) pass(n int, at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.After(at) {
		at = l.free
	}
	l.free = at.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}

// Links are the links that the bytes of one direction pass, in order.
type Links []*Link

func (ls Links) pass(n int, at time.Time) time.Time {
	for _, l := range ls {
		at = l.pass(n, at)
	}
	return at
}
