// Package slownet delays connections, to stand for the way between hosts.
package slownet

import (
	"net"
	"sync"
	"time"
)

// delayed is a connection on which each direction takes a fixed time.
type delayed struct {
	net.Conn
	out  *line
	in   *line
	rest []byte // read and not yet handed on
}

// parcel is bytes on their way.
type parcel struct {
	due  time.Time
	data []byte
	err  error
}

// line carries parcels in order.
type line struct {
	parcels chan parcel
	done    chan struct{}
	once    sync.Once
}

const (
	lineDepth  = 1024 // parcels on their way
	readBuffer = 64 << 10
)

func newLine() *line { return &line{parcels: make(chan parcel, lineDepth), done: make(chan struct{})} }

func (l *line) close() { l.once.Do(func() { close(l.done) }) }

func (l *line) put(p parcel) bool {
	select {
	case l.parcels <- p:
		return true
	case <-l.done:
		return false
	}
}

// until waits until due; false means the line closed first.
func (l *line) until(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

// take returns the next parcel when it is due.
func (l *line) take() (parcel, bool) {
	select {
	case p := <-l.parcels:
		return p, l.until(p.due)
	case <-l.done:
		return parcel{}, false
	}
}

// New returns c with the delay on each direction. Closing it loses what is on
// its way. Its deadlines do nothing.
func New(c net.Conn, delay time.Duration) net.Conn {
	d := &delayed{Conn: c, out: newLine(), in: newLine()}
	go d.send()
	go d.receive(delay)
	return &delayedConn{delayed: d, delay: delay}
}

func (d *delayed) send() {
	for {
		p, ok := d.out.take()
		if !ok {
			return
		}
		if _, err := d.Conn.Write(p.data); err != nil {
			d.close()
			return
		}
	}
}

func (d *delayed) receive(delay time.Duration) {
	for {
		buf := make([]byte, readBuffer)
		n, err := d.Conn.Read(buf)
		if !d.in.put(parcel{due: time.Now().Add(delay), data: buf[:n], err: err}) || err != nil {
			return
		}
	}
}

func (d *delayed) close() error {
	d.out.close()
	d.in.close()
	return d.Conn.Close()
}

type delayedConn struct {
	*delayed
	delay time.Duration
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	if !c.out.put(parcel{due: time.Now().Add(c.delay), data: append([]byte(nil), p...)}) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		next, ok := c.in.take()
		if !ok {
			return 0, net.ErrClosed
		}
		if len(next.data) == 0 && next.err != nil {
			return 0, next.err
		}
		c.rest = next.data
		if next.err != nil {
			c.in.put(parcel{err: next.err})
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error { return c.close() }

// SetReadDeadline implements net.Conn; a delayed line has none.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; a delayed line has none.
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn; a delayed line has none.
func (c *delayedConn) SetDeadline(time.Time) error { return nil }
