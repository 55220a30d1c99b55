package drain

import (
	"io"
	"net/http"
	"time"

	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

// bodyReader counts the body of a request against its server's budget, and records whether the
// connection still waits for it: one that does may be closed to free it.
type bodyReader struct {
	io.ReadCloser
	conn *conn
	left int64 // of the body; negative if its length is not known
}

// trackBody makes a request's connection wait for its body, if it has one.
func trackBody(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.Body == nil || r.Body == http.NoBody {
		return
	}
	c.setBodyState(connBody)
	c.beginBody()
	r.Body = &bodyReader{r.Body, c, r.ContentLength}
}

// beginBody limits a body: its memory, and how long it is awaited, also if http.Server reads what
// its handler has left.
func (c *conn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = reqlimit.NewBodyMeter(c.server.bodies)
	if c.server.bodyTimeout <= 0 {
		return
	}
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

// measureBody counts what has arrived of a body.
func (c *conn) measureBody(n int) *reqlimit.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body.Read(n)
}

// endBody ends the limits of a body. The caller holds the mutex.
func (c *conn) endBody() {
	c.body.Close()
	if c.bodyTimer != nil {
		c.bodyTimer.Stop()
		c.bodyTimer = nil
	}
}

// Read implements io.Reader. The error is a *reqlimit.Refusal if the body finds no memory.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if refusal := b.conn.measureBody(n); refusal != nil {
		return 0, refusal
	}
	b.left -= int64(n)
	switch {
	case err != nil || b.left == 0:
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
