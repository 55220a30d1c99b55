// Package slownet simulates the latency and bandwidth of a network path on a
// net.Conn.
package slownet

import (
	"net"
	"sync"
	"time"
)

// delayed is a connection with a simulated path in each direction.
type delayed struct {
	net.Conn
	out    *channel
	in     *channel
	unread []byte // received and not yet read
}

// packet is data in flight, or with err the end of the stream.
type packet struct {
	due  time.Time
	data []byte
	err  error
}

// channel delivers packets in order after a delay.
type channel struct {
	delay   time.Duration
	links   Links
	packets chan packet
	done    chan struct{}
	once    sync.Once

	// With rate-limited links, written data is buffered here so that a write never
	// blocks: in a synctest bubble, a goroutine that blocks while holding a mutex
	// would stop the virtual clock.
	inFlight chan struct{} // semaphore over the segments in flight; nil without links
	wake     chan struct{} // signals new pending data
	mu       sync.Mutex
	pending  []byte
	endErr   error // delivered after the pending data
}

const (
	channelDepth = 1024     // packets in flight
	readBuffer   = 64 << 10 // bytes
)

func newChannel(delay time.Duration, links Links) *channel {
	l := &channel{delay: delay, links: links, packets: make(chan packet, channelDepth), done: make(chan struct{})}
	if len(links) > 0 {
		l.inFlight = make(chan struct{}, windowSegments)
		l.wake = make(chan struct{}, 1)
		go l.pump()
	}
	return l
}

func (l *channel) close() { l.once.Do(func() { close(l.done) }) }

// send queues data and, if err is not nil, the end of the stream after it. The caller
// must not change data afterwards. It returns false if the channel was closed.
func (l *channel) send(data []byte, err error) bool {
	if l.inFlight == nil {
		return l.enqueue(data, err)
	}
	l.mu.Lock()
	l.pending = append(l.pending, data...)
	l.endErr = err
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// pump transmits pending data in segments while the window allows it.
func (l *channel) pump() {
	for {
		select {
		case l.inFlight <- struct{}{}:
		case <-l.done:
			return
		}
		data, err, ok := l.next()
		if !ok || !l.enqueue(data, err) || err != nil {
			return
		}
	}
}

// next waits for the next segment or the end of the stream. It returns false if the
// channel was closed first.
func (l *channel) next() (data []byte, err error, ok bool) {
	for {
		l.mu.Lock()
		n := min(segmentSize, len(l.pending))
		data, l.pending = l.pending[:n:n], l.pending[n:]
		err = l.endErr
		l.mu.Unlock()
		if n > 0 {
			return data, nil, true
		}
		if err != nil {
			return nil, err, true
		}
		select {
		case <-l.wake:
		case <-l.done:
			return nil, nil, false
		}
	}
}

// enqueue puts data in flight. It returns false if the channel was closed.
func (l *channel) enqueue(data []byte, err error) bool {
	due := l.links.transmit(len(data), time.Now()).Add(l.delay)
	select {
	case l.packets <- packet{due: due, data: data, err: err}:
		return true
	case <-l.done:
		return false
	}
}

// sleepUntil waits until due. It returns false if the channel was closed first.
func (l *channel) sleepUntil(due time.Time) bool {
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

// receive waits until the next packet arrives. It returns false if the channel was
// closed first.
func (l *channel) receive() (packet, bool) {
	select {
	case p := <-l.packets:
		arrived := l.sleepUntil(p.due)
		if l.inFlight != nil {
			<-l.inFlight
		}
		return p, arrived
	case <-l.done:
		return packet{}, false
	}
}

// New wraps c with a delay in each direction and with the links that written (out)
// and read (in) data passes. Close discards data in flight. Deadlines are ignored.
func New(c net.Conn, delay time.Duration, out, in Links) net.Conn {
	d := &delayed{Conn: c, out: newChannel(delay, out), in: newChannel(delay, in)}
	go d.send()
	go d.receive()
	return &delayedConn{delayed: d}
}

func (d *delayed) send() {
	for {
		p, ok := d.out.receive()
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
		if !d.in.send(buf[:n], err) || err != nil {
			return
		}
	}
}

func (d *delayed) close() error {
	d.out.close()
	d.in.close()
	return d.Conn.Close()
}

// delayedConn replaces the methods of the wrapped connection with delayed ones.
type delayedConn struct {
	*delayed
}

// Write implements net.Conn.
func (c *delayedConn) Write(p []byte) (int, error) {
	if !c.out.send(append([]byte(nil), p...), nil) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Read implements net.Conn.
func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		next, ok := c.in.receive()
		if !ok {
			return 0, net.ErrClosed
		}
		if len(next.data) == 0 && next.err != nil {
			return 0, next.err
		}
		c.unread = next.data
		if next.err != nil {
			c.in.enqueue(nil, next.err)
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error { return c.close() }

// SetReadDeadline implements net.Conn; it has no effect.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; it has no effect.
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn; it has no effect.
func (c *delayedConn) SetDeadline(time.Time) error { return nil }
