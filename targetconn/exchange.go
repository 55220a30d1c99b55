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
)

// Bounds of an exchange.
const (
	maxStrangers     = 4        // answers to other requests that are passed over
	maxStrangerBytes = 64 << 10 // body of such an answer
	inlineWrite      = 16 << 10 // requests up to this size are written in one go
	lateAnswerWait   = 50 * time.Millisecond
	minStatus        = 200
	maxStatus        = 599
)

// Do sends a request once and returns the head of its answer. The answer's
// body must be read or closed; when ctx ends, the connection is closed.
// Errors are of type *Failure.
func (p *Pool) Do(ctx context.Context, e Endpoint, r *Request) (*Answer, error) {
	for {
		c := p.take(e.ID)
		kept := c != nil
		if !kept {
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
		if kept && errors.As(err, &f) && f.Stage == StageUnsent && ctx.Err() == nil {
			continue // a kept connection that had ended: nothing was sent
		}
		return a, err
	}
}

// exchange is one request and the head of its answer on a connection.
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
	case <-c.first:
		return nil, &Failure{StageUnsent, errors.New("the connection had ended, or held surplus bytes")}
	default:
	}
	message := encode(r)
	if len(message) <= inlineWrite {
		if n, err := c.raw.Write(message); err != nil {
			return p.afterBrokenWrite(c, r, n, err)
		}
		return p.await(c, r, false)
	}
	return p.sendLong(ctx, c, r, message)
}

// sendLong writes beside waiting, since a target may answer before it has
// read a long body.
func (p *Pool) sendLong(ctx context.Context, c *conn, r *Request, message []byte) (*Answer, *Failure) {
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
			return p.afterBrokenWrite(c, r, w.n, w.err)
		}
		return p.await(c, r, false)
	case err := <-c.first:
		c.first <- err
		return p.await(c, r, true)
	case <-ctx.Done():
		return nil, &Failure{StageSent, ctx.Err()}
	}
}

// afterBrokenWrite looks for an answer that came before the write broke.
func (p *Pool) afterBrokenWrite(c *conn, r *Request, n int, err error) (*Answer, *Failure) {
	if n == 0 {
		return nil, &Failure{StageUnsent, err}
	}
	t := time.AfterFunc(lateAnswerWait, c.close)
	defer t.Stop()
	a, f := p.await(c, r, true)
	if f != nil {
		return nil, &Failure{StageSent, err}
	}
	return a, nil
}

// await reads answers until the one to this request. Early says that the
// connection can't be kept, since the request was not sent whole.
func (p *Pool) await(c *conn, r *Request, early bool) (*Answer, *Failure) {
	var err error
	select {
	case err = <-c.first:
	case <-c.closed:
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, &Failure{StageSent, err}
	}
	for range maxStrangers {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, &Failure{garbledStage(err), err}
		}
		if resp.StatusCode < minStatus {
			continue
		}
		if resp.StatusCode > maxStatus {
			return nil, &Failure{StageGarbled, errors.Newf("status %d", resp.StatusCode)}
		}
		if resp.Header.Get(p.cfg.IdentityHeader) == r.Identity {
			c.limited.allow(unlimited)
			return newAnswer(p, c, resp, early), nil
		}
		early = true // a connection with surplus answers is not kept
		if !passOver(resp) {
			return nil, &Failure{StageGarbled, errors.New("an answer to another request")}
		}
	}
	return nil, &Failure{StageGarbled, errors.New("answers to other requests only")}
}

// garbledStage tells a connection that just ended from one that brought
// bytes which form no answer.
func garbledStage(err error) Stage {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return StageSent
	}
	return StageGarbled
}

// passOver reads past an answer to another request, if it says where it ends.
func passOver(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrangerBytes))
	return err == nil && n < maxStrangerBytes
}

// encode writes a request as it goes over the connection.
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

// Answer is an answer whose head is read.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if the head does not say
	// Framed says that the answer itself tells where its body ends.
	Framed bool

	pool *Pool
	conn *conn
	body io.ReadCloser
	stop func() bool
	keep bool
	done bool // the body was read to its end
}

func newAnswer(p *Pool, c *conn, resp *http.Response, early bool) *Answer {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if d, ok := keepAliveTime(resp.Header.Get("Keep-Alive")); ok {
		c.keepFor(d)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framed: framed,
		pool: p, conn: c, body: resp.Body, keep: framed && !resp.Close && !early,
	}
}

// keepAliveTime reads the seconds of a Keep-Alive header.
func keepAliveTime(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// Read implements io.Reader; io.EOF comes only at the answer's own end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.done = true
	}
	return n, err
}

// SetReadDeadline bounds the wait for the next bytes of the body.
func (a *Answer) SetReadDeadline(t time.Time) error { return a.conn.raw.SetReadDeadline(t) }

// Close keeps the connection if the whole answer was read, else closes it,
// which stops the target's work on the request.
func (a *Answer) Close() {
	alive := a.stop()
	if !alive || !a.done || !a.keep {
		a.conn.close()
		return
	}
	a.conn.raw.SetReadDeadline(time.Time{})
	a.pool.put(a.conn)
}
