package serve

import (
	"errors"
	"net"
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
	return &timeoutConn{Conn: c, limits: l.limits}, nil
}

type timeoutConn struct {
	net.Conn
	limits func() gateway.Limits
}

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
	remaining := time.Until(t)
	if t.IsZero() || remaining <= 0 {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	timeout := limits.HeaderTimeout
	if remaining > headerTimeout {
		timeout = limits.IdleTimeout
	}
	if timeout > 0 && timeout < remaining {
		t = time.Now().Add(timeout)
	}
	return c.Conn.SetReadDeadline(t)
}
