package memnet

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ResetConn is a connection on which the peer answers as an upload begins, and then resets. The
// write takes the reset, so that the read returns io.EOF after the answer, as a socket's may.
type ResetConn struct {
	net.Conn
	answer io.Reader
	begun  chan struct{} // closed when the first write begins
	reset  chan struct{} // closed once the answer was read, or the connection closed

	beginOnce, resetOnce sync.Once
}

// NewResetConn returns a connection whose peer sends an answer.
func NewResetConn(answer string) *ResetConn {
	return &ResetConn{answer: strings.NewReader(answer), begun: make(chan struct{}), reset: make(chan struct{})}
}

// Read implements net.Conn.
func (c *ResetConn) Read(p []byte) (int, error) {
	select {
	case <-c.begun:
	case <-c.reset:
	}
	n, err := c.answer.Read(p)
	if err == io.EOF {
		c.Close()
	}
	return n, err
}

// Write implements net.Conn. It returns at the reset.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.beginOnce.Do(func() { close(c.begun) })
	<-c.reset
	return len(p) / 2, syscall.ECONNRESET
}

// Close implements net.Conn.
func (c *ResetConn) Close() error {
	c.resetOnce.Do(func() { close(c.reset) })
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *ResetConn) SetReadDeadline(time.Time) error { return nil }
