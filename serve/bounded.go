package serve

import (
	"net"
	"time"

	"github.com/walnutramp/walnutramp/gateway"
)

// boundedListener gives connections the bounds of the configuration in force,
// which changes while the server runs; net/http takes its own only once.
type boundedListener struct {
	net.Listener
	limits func() gateway.Limits
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: c, limits: l.limits}, nil
}

type boundedConn struct {
	net.Conn
	limits func() gateway.Limits
}

// SetReadDeadline implements net.Conn. The server sets a deadline far ahead
// for a connection at rest and a near one for a request's head; each is
// brought forward to what the configuration allows.
func (c *boundedConn) SetReadDeadline(t time.Time) error {
	wait := time.Until(t)
	if t.IsZero() || wait <= 0 {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	bound := limits.HeaderTimeout
	if wait > headTimeout {
		bound = limits.IdleTimeout
	}
	if bound > 0 && bound < wait {
		t = time.Now().Add(bound)
	}
	return c.Conn.SetReadDeadline(t)
}
