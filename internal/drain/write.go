package drain

import "time"

// stalledAfter is how long a client may leave an answer unread before its connection may be
// closed to free it.
const stalledAfter = 5 * time.Second

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

// setWriting records when a write began; the zero time, that it has ended.
func (c *conn) setWriting(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = began
}
