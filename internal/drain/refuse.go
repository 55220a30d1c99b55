package drain

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/walnutramp/walnutramp/internal/reqlimit"
	"github.com/walnutramp/walnutramp/internal/retryafter"
)

const (
	// lingerTime and lingerBytes bound how long, and how much, is read behind a refusal: a
	// connection that is closed with unread data is reset, which may overtake the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// refusalOf returns why the head of a request must be refused after it has been parsed; nil if
// it need not be.
func refusalOf(r *http.Request) *reqlimit.Refusal {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal
}

// writeRefusal answers a request whose head is refused.
func writeRefusal(w http.ResponseWriter, refusal *reqlimit.Refusal) {
	w.Header().Set("Connection", "close")
	if refusal.RetryAfter > 0 {
		w.Header().Set(retryafter.Header, retryafter.Format(refusal.RetryAfter))
	}
	http.Error(w, refusal.Why, refusal.Status)
}

// setActive is called when a head has been parsed.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Parsed()
	c.setState(connActive)
	c.evicted = false // its request has crossed the close
}

// refuse answers a head that is not read further. The error that it returns is one that
// http.Server does not answer.
func (c *conn) refuse(refusal *reqlimit.Refusal) error {
	c.mu.Lock()
	c.setState(connRefused)
	c.mu.Unlock()
	err := errors.Join(
		c.Conn.SetDeadline(time.Now().Add(lingerTime)),
		writeRawRefusal(c.Conn, refusal),
		c.CloseWrite(),
	)
	if err == nil {
		_, err = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.Join(refusal, err)}
}

// writeRawRefusal writes the answer to a request that http.Server has not read.
func writeRawRefusal(w io.Writer, refusal *reqlimit.Refusal) error {
	var retryAfter string
	if refusal.RetryAfter > 0 {
		retryAfter = retryafter.Header + ": " + retryafter.Format(refusal.RetryAfter) + "\r\n"
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		refusal.Status, http.StatusText(refusal.Status), len(refusal.Why), retryAfter, refusal.Why)
	return err
}
