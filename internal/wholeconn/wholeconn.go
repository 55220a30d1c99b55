// Package wholeconn wraps connections on which a body may end with the connection. A socket
// reports a reset once: if a write takes it, the next read returns io.EOF, as if the peer had
// closed the connection in good order.
package wholeconn

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// lingerTimeout is how long a write may go on after the peer has closed its side.
const lingerTimeout = time.Second

// errUnread is the error of a read at whose end the peer has not taken all that is written.
var errUnread = errors.New("peer closed its side and takes no more data")

// Conn is a connection whose Read returns io.EOF only if no write has failed. A Read that
// meets the end while a write is under way waits for that to return, for lingerTimeout at most.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	writing  chan struct{} // closed when the write under way has returned; nil without one
	writeErr error         // of the first write that failed
}

// New wraps a connection. It must have had no failed write, and at most one goroutine at a
// time may write to the wrapper.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	done := make(chan struct{})
	c.mu.Lock()
	c.writing = done
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
	if c.writeErr == nil {
		c.writeErr = err
	}
	close(done)
	return n, err
}

// Read implements net.Conn. In place of io.EOF it returns the error of the first write that
// failed, if any.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failed := c.awaitWrite(); failed != nil {
			err = failed
		}
	}
	return n, err
}

// awaitWrite waits for the write under way and returns why one has failed, or errUnread.
func (c *Conn) awaitWrite() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		select {
		case <-writing:
		case <-time.After(lingerTimeout):
			return errUnread
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}
