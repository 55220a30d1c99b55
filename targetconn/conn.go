package targetconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

const readBuffer = 4 << 10

var errHeadTooLong = errors.New("the head of the answer is too long")

// conn is one connection to a target. A task of its own waits for the first
// byte of every answer, so that what comes while the connection rests, its
// end included, is seen at once.
type conn struct {
	pool     *Pool
	endpoint Endpoint
	raw      net.Conn
	limited  *limitedReader
	reader   *bufio.Reader
	first    chan error    // the first byte is there, or the connection ended
	again    chan struct{} // the exchange is over: wait for the next first byte
	closed   chan struct{}
	once     sync.Once

	mu      sync.Mutex
	resting bool
	ended   bool      // bytes or an end came while it rested
	expires time.Time // when the target may close it
	limit   time.Duration
}

func newConn(p *Pool, e Endpoint, raw net.Conn) *conn {
	limited := &limitedReader{source: raw}
	c := &conn{
		pool: p, endpoint: e, raw: raw, limited: limited,
		reader: bufio.NewReaderSize(limited, readBuffer),
		first:  make(chan error, 1), again: make(chan struct{}, 1), closed: make(chan struct{}),
		limit: p.cfg.IdleLimit,
	}
	go c.watch()
	return c
}

// watch waits for the first byte of one answer after the other.
func (c *conn) watch() {
	for {
		c.limited.allow(c.pool.cfg.HeadLimit)
		_, err := c.reader.Peek(1)
		if c.endedAtRest() {
			c.pool.drop(c)
			c.close()
			return
		}
		c.first <- err
		if err != nil {
			return
		}
		select {
		case <-c.again:
		case <-c.closed:
			return
		}
	}
}

// endedAtRest notes that something came while nothing was asked.
func (c *conn) endedAtRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting {
		c.ended = true
	}
	return c.resting
}

// begin takes the connection out of its rest; false if it is no longer good.
func (c *conn) begin(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !now.Before(c.expires) {
		return false
	}
	c.resting = false
	return true
}

// rest marks the connection unused; false if more than the answer came.
func (c *conn) rest() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.mu.Lock()
	c.resting = true
	c.expires = uptime.Now().Add(c.limit)
	c.mu.Unlock()
	c.again <- struct{}{}
	return true
}

// goodUntil returns until when the target keeps the connection at rest.
func (c *conn) goodUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expires
}

// keepFor sets how long the target keeps the connection at rest.
func (c *conn) keepFor(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = min(c.pool.cfg.IdleLimit, d-c.pool.cfg.IdleMargin)
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.raw.Close()
	})
}

// limitedReader bounds how much may be read until it is told otherwise. Only
// the task that reads from the connection calls it.
type limitedReader struct {
	source io.Reader
	left   int64
}

const unlimited = int64(1) << 62

func (l *limitedReader) allow(n int64) { l.left = n }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.source.Read(p)
	l.left -= int64(n)
	return n, err
}
