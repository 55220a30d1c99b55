package targetconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/internal/wholeconn"
)

const readBuffer = 4 << 10

var errHeaderTooLarge = errors.New("response header exceeds limit")

// conn is a connection to a target. A goroutine waits for the first byte of every
// response, so that data or EOF on an idle connection is noticed immediately.
type conn struct {
	pool         *Pool
	endpoint     Endpoint
	raw          net.Conn
	timeouts     *timeoutReader
	limited      *limitedReader
	reader       *bufio.Reader
	firstByte    chan error    // the first byte has arrived, or reading failed
	nextResponse chan struct{} // the exchange is complete: wait for the next response
	closed       chan struct{}
	once         sync.Once
	unidentified bool // the latest request had no identity; for the user of the connection, or under the pool's mutex

	mu         sync.Mutex
	idle       bool
	idleClosed bool      // data, EOF or an error arrived while idle
	expires    time.Time // when the target may close the idle connection
	idleLimit  time.Duration
}

func newConn(p *Pool, e Endpoint, dialed net.Conn) *conn {
	raw := wholeconn.New(dialed)
	timeouts := &timeoutReader{conn: raw}
	limited := &limitedReader{source: timeouts}
	c := &conn{
		pool: p, endpoint: e, raw: raw, timeouts: timeouts, limited: limited,
		reader:    bufio.NewReaderSize(limited, readBuffer),
		firstByte: make(chan error, 1), nextResponse: make(chan struct{}, 1), closed: make(chan struct{}),
		idleLimit: p.cfg.IdleLimit,
	}
	go c.watch()
	return c
}

// watch waits for the first byte of each response.
func (c *conn) watch() {
	for {
		c.limited.allow(c.pool.cfg.HeadLimit)
		_, err := c.reader.Peek(1)
		if c.closedWhileIdle() {
			c.pool.remove(c)
			c.close()
			return
		}
		c.firstByte <- err
		if err != nil {
			return
		}
		select {
		case <-c.nextResponse:
		case <-c.closed:
			return
		}
	}
}

// closedWhileIdle reports whether the connection is idle, and if so marks it as unusable.
// It is called when data, EOF or an error has arrived.
func (c *conn) closedWhileIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idleClosed = true
	}
	return c.idle
}

// acquire marks the connection as in use; false if it is no longer usable.
func (c *conn) acquire(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleClosed || !now.Before(c.expires) {
		return false
	}
	c.idle = false
	return true
}

// release marks the connection as idle; it returns false instead if there is unread data.
func (c *conn) release() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	c.mu.Lock()
	c.idle = true
	c.expires = uptime.Now().Add(c.idleLimit)
	c.mu.Unlock()
	c.nextResponse <- struct{}{}
	return true
}

// idleDeadline returns when the target may close the idle connection.
func (c *conn) idleDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expires
}

// setIdleLimit applies the idle timeout that the target announced: the idle limit is that
// less IdleMargin, but at most Config.IdleLimit.
func (c *conn) setIdleLimit(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit = min(c.pool.cfg.IdleLimit, d-c.pool.cfg.IdleMargin)
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.raw.Close()
	})
}

// timeoutReader reads from a connection and may go on when the read deadline passes. Only
// the goroutine that reads from the connection uses it.
type timeoutReader struct {
	conn      net.Conn
	onTimeout func() time.Duration // see Answer.OnTimeout; nil for none
}

// Read implements io.Reader.
func (r *timeoutReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Read(p)
		if n > 0 || r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		wait := r.onTimeout()
		if wait <= 0 {
			return 0, err
		}
		if err := r.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
	}
}

// limitedReader limits the bytes read until the next call of allow. Only the goroutine
// that reads from the connection uses it.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

const unlimited = int64(1) << 62

func (l *limitedReader) allow(n int64) { l.remaining = n }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	return n, err
}
