package drain

import (
	"io"
	"net/http"
	"time"
)

// bodyReader records whether the connection still waits for the body of a request: one that
// does may be closed for want of room.
type bodyReader struct {
	io.ReadCloser
	conn *conn
}

// trackBody makes a request's connection wait for its body, if it has one.
func trackBody(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.Body == nil || r.Body == http.NoBody {
		return
	}
	c.setBodyState(connBody)
	c.limitBody()
	r.Body = &bodyReader{r.Body, c}
}

// limitBody ends the wait for a body after a time, also if http.Server reads what its handler
// has left.
func (c *conn) limitBody() {
	if c.server.bodyTimeout <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyTimer = time.AfterFunc(c.server.bodyTimeout, c.expireBody)
}

// expireBody makes the reads of a body fail. http.Server closes the connection behind the
// answer.
func (c *conn) expireBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connBody {
		c.Conn.SetReadDeadline(expired) // fails if the connection is closed
	}
}

// stopBodyTimer ends the limit of a request's body. The caller holds the mutex.
func (c *conn) stopBodyTimer() {
	if c.bodyTimer != nil {
		c.bodyTimer.Stop()
		c.bodyTimer = nil
	}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err != nil:
		b.conn.setBodyState(connActive)
	case n > 0:
		b.conn.setBodyState(connBody)
	}
	return n, err
}

// setBodyState is called when some of a body has arrived, or nothing more is expected of it.
func (c *conn) setBodyState(state connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connBody || c.state == connActive {
		c.state, c.stateSince = state, time.Now()
	}
}
