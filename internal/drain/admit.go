package drain

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

const (
	// spareShare is the part of the connections that is kept free by closing those that wait
	// for a request.
	spareShare = 1.0 / 8
	// retryWhenFull is when a client may come back for which there is no connection.
	retryWhenFull = 250 * time.Millisecond
)

// errTooManyConns answers a client for which there is no connection.
var errTooManyConns = &reqlimit.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryWhenFull, Why: "too many connections"}

// connState says what a connection waits for. One in a lower state is closed first when connections run short.
type connState int

const (
	connRefused connState = iota // for its client to read the answer
	connNew                      // for the end of its first head
	connBody                     // for the end of a request's body
	connStalled                  // for its client to read an answer
	connIdle                     // for the end of a further head
	connActive                   // for an answer
)

// admit tracks a new connection, and closes others if few are left. It returns nil if none
// is left.
func (s *Server) admit(accepted net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConns > 0 {
		spare := int(spareShare * float64(s.maxConns))
		s.closeWaiting(len(s.conns) + 1 - (s.maxConns - spare))
		if len(s.conns) >= s.maxConns {
			s.turnedAway.Add(1)
			return nil
		}
	}
	now := time.Now()
	c := &conn{Conn: accepted, server: s, state: connNew, stateSince: now, idleFrom: now.Add(newConnWait), head: reqlimit.NewHeadMeter(s.heads, s.headBytes)}
	s.conns[c] = struct{}{}
	return c
}

// closeWaiting closes connections until n of them are being closed: those in the lowest state
// that have waited longest. One with a request in flight is never closed. The caller holds the
// mutex.
func (s *Server) closeWaiting(n int) {
	if n <= 0 {
		return
	}
	var candidates []waiting
	for c := range s.conns {
		w, closing := c.waiting()
		if closing {
			n--
		} else if w.state != connActive {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, waiting.compare)
	for _, w := range candidates[:min(max(n, 0), len(candidates))] {
		if w.conn.evict(w) {
			s.evicted.Add(1)
		}
	}
}

// waiting is a connection with its state, and since when it has been in it.
type waiting struct {
	conn  *conn
	state connState
	since time.Time
}

func (w waiting) compare(o waiting) int {
	return cmp.Or(cmp.Compare(w.state, o.state), w.since.Compare(o.since))
}

// waiting returns the connection's state, and whether it is being closed to free it.
func (c *conn) waiting() (w waiting, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingLocked(), c.evicted
}

// waitingLocked returns the connection's state. The caller holds the mutex.
func (c *conn) waitingLocked() waiting {
	if c.state == connActive && !c.writing.IsZero() && time.Since(c.writing) > c.server.stalledAfter {
		return waiting{c, connStalled, c.writing}
	}
	return waiting{c, c.state, c.stateSince}
}

// evict closes a connection unless it has stopped waiting. If nothing of a request has been
// read, its reader closes it, unless some has arrived.
func (c *conn) evict(w waiting) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingLocked() != w {
		return false
	}
	c.evicted = true
	if !c.received {
		c.closing = c.Conn.SetReadDeadline(expired) == nil
		return c.closing
	}
	return c.Conn.Close() == nil
}

// setState records what the connection waits for. The caller holds the mutex.
func (c *conn) setState(state connState) {
	c.state, c.stateSince = state, time.Now()
}

// turnAway answers a client for which there is no connection. Its request is not read.
func turnAway(c net.Conn) {
	c.SetWriteDeadline(time.Now().Add(lingerTime))
	writeRawRefusal(c, errTooManyConns) // the client may have left
	c.Close()
}
