// Package slownet delays connections and limits their rate, to stand for the
// way between hosts.
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
	delay   time.Duration
	links   Links
	parcels chan parcel
	done    chan struct{}
	once    sync.Once

	// Where links limit the rate, what was written waits here for its turn, so
	// that a write never blocks: in a bubble of virtual time, one that blocks
	// with a mutex held would stop the clock.
	room   chan struct{} // held by each segment on its way; nil without links
	more   chan struct{} // says that something waits
	mu     sync.Mutex
	waits  []byte
	ending error // after what waits
}

const (
	lineDepth  = 1024 // parcels on their way
	readBuffer = 64 << 10
)

func newLine(delay time.Duration, links Links) *line {
	l := &line{delay: delay, links: links, parcels: make(chan parcel, lineDepth), done: make(chan struct{})}
	if len(links) > 0 {
		l.room = make(chan struct{}, window)
		l.more = make(chan struct{}, 1)
		go l.pump()
	}
	return l
}

func (l *line) close() { l.once.Do(func() { close(l.done) }) }

// carry sends bytes on their way, and with err the end after them. It keeps data.
func (l *line) carry(data []byte, err error) bool {
	if l.room == nil {
		return l.put(data, err)
	}
	l.mu.Lock()
	l.waits = append(l.waits, data...)
	l.ending = err
	l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
	return true
}

// pump hands what waits to the links, a segment at a time, as far as there is
// room.
func (l *line) pump() {
	for {
		select {
		case l.room <- struct{}{}:
		case <-l.done:
			return
		}
		data, err, ok := l.next()
		if !ok || !l.put(data, err) || err != nil {
			return
		}
	}
}

// next returns the next segment, when there is one, or the end.
func (l *line) next() (data []byte, err error, ok bool) {
	for {
		l.mu.Lock()
		n := min(segment, len(l.waits))
		data, l.waits = l.waits[:n:n], l.waits[n:]
		err = l.ending
		l.mu.Unlock()
		if n > 0 {
			return data, nil, true
		}
		if err != nil {
			return nil, err, true
		}
		select {
		case <-l.more:
		case <-l.done:
			return nil, nil, false
		}
	}
}

func (l *line) put(data []byte, err error) bool {
	due := l.links.pass(len(data), time.Now()).Add(l.delay)
	select {
	case l.parcels <- parcel{due: due, data: data, err: err}:
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
		arrived := l.until(p.due)
		if l.room != nil {
			<-l.room
		}
		return p, arrived
	case <-l.done:
		return parcel{}, false
	}
}

// New returns c with the delay on each direction, and the links that what is
// written and what is read must pass. Closing it loses what is on its way. Its
// deadlines do nothing.
func New(c net.Conn, delay time.Duration, out, in Links) net.Conn {
	d := &delayed{Conn: c, out: newLine(delay, out), in: newLine(delay, in)}
	go d.send()
	go d.receive()
	return &delayedConn{delayed: d}
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

func (d *delayed) receive() {
	for {
		buf := make([]byte, readBuffer)
		n, err := d.Conn.Read(buf)
		if !d.in.carry(buf[:n], err) || err != nil {
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
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	if !c.out.carry(append([]byte(nil), p...), nil) {
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
			c.in.put(nil, next.err)
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
