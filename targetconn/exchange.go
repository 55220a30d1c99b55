package targetconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/internal/respcheck"
)

// Limits of an exchange.
const (
	maxStaleResponses = 4        // responses to other requests that are skipped
	maxStaleBody      = 64 << 10 // bytes of the body of such a response
	maxInlineRequest  = 16 << 10 // requests up to this size in bytes are written synchronously
	earlyResponseWait = 50 * time.Millisecond
)

// ErrNoConnection is the cause of a Failure of a Request with Reuse set.
var ErrNoConnection = errors.New("no idle connection")

// Do sends a request once and returns when the header of its response has arrived.
// An idle connection that turns out to be closed before anything was sent is replaced.
// The response must be closed; when ctx ends, the connection is closed. Errors are of
// type *Failure.
func (p *Pool) Do(ctx context.Context, e Endpoint, r *Request) (*Answer, error) {
	for {
		c := p.acquire(e.ID, r)
		reused := c != nil
		if !reused && r.Reuse {
			return nil, &Failure{StageDial, ErrNoConnection}
		}
		if !reused {
			var err error
			if c, err = p.open(ctx, e); err != nil {
				return nil, &Failure{StageDial, err}
			}
		}
		if r.Gate != nil {
			if err := r.Gate(); err != nil {
				c.close()
				return nil, &Failure{StageUnsent, err}
			}
		}
		a, err := p.exchange(ctx, c, r)
		var f *Failure
		if !errors.As(err, &f) || f.Stage != StageUnsent {
			return a, err
		}
		if r.Unsent != nil {
			r.Unsent()
		}
		if !reused || ctx.Err() != nil {
			return nil, err
		}
		// The idle connection was already closed: another one is tried.
	}
}

// exchange sends a request on a connection and reads the header of its response.
func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	a, err := p.send(ctx, c, r)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err.Err = ctx.Err()
		}
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) send(ctx context.Context, c *conn, r *Request) (*Answer, *Failure) {
	select {
	case <-c.firstByte:
		return nil, &Failure{StageUnsent, errors.New("connection was closed or received unexpected data")}
	default:
	}
	c.unidentified = r.Identity == ""
	message := encode(r)
	if len(message) <= maxInlineRequest {
		if n, err := c.raw.Write(message); err != nil {
			return p.afterWriteError(c, r, n, err)
		}
		return p.readResponse(c, r, false)
	}
	return p.sendLarge(ctx, c, r, message)
}

// sendLarge writes the request while waiting for the response, since a target may
// respond before it has read a large body.
func (p *Pool) sendLarge(ctx context.Context, c *conn, r *Request, message []byte) (*Answer, *Failure) {
	type written struct {
		n   int
		err error
	}
	done := make(chan written, 1)
	go func() {
		n, err := c.raw.Write(message)
		done <- written{n, err}
	}()
	select {
	case w := <-done:
		if w.err != nil {
			return p.afterWriteError(c, r, w.n, w.err)
		}
		return p.readResponse(c, r, false)
	case err := <-c.firstByte:
		c.firstByte <- err
		return p.readResponse(c, r, true)
	case <-ctx.Done():
		return nil, &Failure{StageSent, ctx.Err()}
	}
}

// afterWriteError waits briefly for a response that the target sent before the write
// failed, unless no byte was written.
func (p *Pool) afterWriteError(c *conn, r *Request, n int, err error) (*Answer, *Failure) {
	if n == 0 {
		return nil, &Failure{StageUnsent, err}
	}
	t := time.AfterFunc(earlyResponseWait, c.close)
	defer t.Stop()
	a, f := p.readResponse(c, r, true)
	if f != nil {
		return nil, &Failure{StageSent, err}
	}
	return a, nil
}

// readResponse reads responses up to the one to this request. noReuse says that the
// connection can't be reused, since the request was not sent completely.
func (p *Pool) readResponse(c *conn, r *Request, noReuse bool) (*Answer, *Failure) {
	var err error
	select {
	case err = <-c.firstByte:
	case <-c.closed:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &Failure{StageSent, err}
	}
	for range maxStaleResponses {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, &Failure{readErrorStage(err), err}
		}
		if respcheck.IsInterim(resp.StatusCode) {
			if err := respcheck.Interim(resp); err != nil {
				return nil, &Failure{StageGarbled, err}
			}
			continue
		}
		if err := respcheck.Final(resp.StatusCode, resp.Header); err != nil {
			return nil, &Failure{StageGarbled, err}
		}
		if resp.Header.Get(p.cfg.IdentityHeader) == r.Identity {
			c.limited.allow(unlimited)
			return newAnswer(p, c, resp, noReuse), nil
		}
		noReuse = true // a connection with stale responses is not reused
		if !discardResponse(resp) {
			return nil, &Failure{StageGarbled, errors.New("received a response to another request")}
		}
	}
	return nil, &Failure{StageGarbled, errors.New("received only responses to other requests")}
}

// readErrorStage distinguishes a closed connection from a malformed response.
func readErrorStage(err error) Stage {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return StageSent
	}
	return StageGarbled
}

// discardResponse reads to the end of a response to another request. It returns false if
// the body is not delimited, breaks off or is too long.
func discardResponse(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody))
	return err == nil && n < maxStaleBody
}

// encode returns a request in HTTP/1.1 wire format.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	r.Header.Write(&b)
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Answer is a response whose header has been read.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if unknown
	// Framed says that the body is delimited by Content-Length or chunked encoding
	// rather than by the end of the connection.
	Framed bool

	pool     *Pool
	conn     *conn
	response *http.Response
	stop     func() bool
	reusable bool
	complete bool // the body was read to EOF
	closed   bool
}

func newAnswer(p *Pool, c *conn, resp *http.Response, noReuse bool) *Answer {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if d, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		c.setIdleLimit(d)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: framed,
		pool: p, conn: c, response: resp, reusable: framed && !resp.Close && !noReuse,
	}
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// Read implements io.Reader; it returns io.EOF only at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	err = respcheck.AtEnd(err, a.response)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// SetReadDeadline sets the deadline for reads of the body.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.raw.SetReadDeadline(t) }

// OnTimeout sets a function that is called when the deadline of a read passes. It returns how
// much longer to wait, or 0 if the read is to fail.
func (a *Answer) OnTimeout(f func() time.Duration) { a.conn.timeouts.onTimeout = f }

// Close returns the connection to the pool if the response was read completely and the
// connection can be reused. Otherwise it closes the connection, which cancels a request
// still in progress at the target. Further calls do nothing, as another request may use the
// connection by then.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	active := a.stop()
	if !active || !a.complete || !a.reusable {
		a.conn.close()
		return
	}
	a.conn.raw.SetReadDeadline(time.Time{})
	a.conn.timeouts.onTimeout = nil
	a.pool.release(a.conn)
}
