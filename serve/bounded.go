package serve

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/walnutramp/walnutramp/gateway"
)

// timeoutListener applies the header and idle timeouts of the current
// configuration to its connections. http.Server reads its own timeouts only
// once, but the configuration can change while the server runs.
type timeoutListener struct {
	net.Listener
	limits func() gateway.Limits
}

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, limits: l.limits, isNew: true}, nil
}

// timeoutConn applies the idle timeout also to a new connection until its first byte: the
// header timeout bounds how long a request's head takes.
type timeoutConn struct {
	net.Conn
	limits func() gateway.Limits

	mu        sync.Mutex
	isNew     bool // nothing has been read
	idle      bool // waits for a request
	idleSince time.Time
	idleUntil time.Time // as set by http.Server
}

// Read implements net.Conn. An idle connection is kept for as long as the limits in force
// allow, also if they were raised meanwhile.
func (c *timeoutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			return n, errors.Join(err, c.beginHead())
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle() {
			return n, err
		}
	}
}

// NetConn returns the wrapped connection.
func (c *timeoutConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *timeoutConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// CloseWrite shuts down the sending side.
func (c *timeoutConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// SetReadDeadline implements net.Conn. http.Server sets the deadline to
// idleTimeout for an idle connection and to headerTimeout while it reads
// request headers; a shorter configured timeout takes precedence.
func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := time.Until(t)
	c.idle = !t.IsZero() && remaining > 0 && (c.isNew || remaining > headerTimeout)
	switch {
	case c.idle:
		c.idleSince = time.Now()
		c.idleUntil = c.idleSince.Add(idleTimeout)
		t = c.idleDeadline()
	case !t.IsZero() && remaining > 0:
		t = earlier(t, c.limits().HeaderTimeout, time.Now())
	}
	return c.Conn.SetReadDeadline(t)
}

// idleDeadline returns when the connection has been idle for too long. The caller holds the
// mutex.
func (c *timeoutConn) idleDeadline() time.Time {
	return earlier(c.idleUntil, c.limits().IdleTimeout, c.idleSince)
}

// earlier returns t, or the end of a timeout if that is set and ends before.
func earlier(t time.Time, timeout time.Duration, since time.Time) time.Time {
	if end := since.Add(timeout); timeout > 0 && end.Before(t) {
		return end
	}
	return t
}

// beginHead sets the header timeout at the first byte of a new connection; http.Server does so
// for others.
func (c *timeoutConn) beginHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if !c.isNew {
		return nil
	}
	c.isNew = false
	now := time.Now()
	return c.Conn.SetReadDeadline(earlier(now.Add(headerTimeout), c.limits().HeaderTimeout, now))
}

// extendIdle reports whether an idle connection may rest further, and sets its deadline then.
func (c *timeoutConn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.idleDeadline()
	return c.idle && time.Now().Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}
