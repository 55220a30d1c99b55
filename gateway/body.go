package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

const (
	// minBodyBuffer is the first buffer for a request body, in bytes. It doubles as the body
	// arrives: a client that sends slowly takes no room for what it has not sent.
	minBodyBuffer = 8 << 10
	// maxBodyMemory bounds the request bodies that are buffered at a time, in bytes, and
	// bodyShare does so as a fraction of the process's memory.
	maxBodyMemory = 32 << 20
	bodyShare     = 1.0 / 4
)

// bodyMemoryOf returns the default bound of buffered bodies for a process with the given memory
// in bytes.
func bodyMemoryOf(memory int64) int64 { return int64(min(maxBodyMemory, bodyShare*float64(memory))) }

// errBodyMemory ends the reading of a body for which no memory is left.
var errBodyMemory = errors.New("the memory for buffered request bodies is used up")

// bodyBuffer reads a body into memory that it reserves before.
type bodyBuffer struct {
	budget *reqlimit.Budget
	bytes  []byte
}

// read reads a body to its end; length is -1 if it is not known. After an error, nothing is
// reserved any more.
func (b *bodyBuffer) read(body io.Reader, length int64) error {
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow(length) {
			b.release()
			return errBodyMemory
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			b.release()
			return err
		}
	}
}

// grow doubles the buffer, to one byte more than the length at most, for the end of the body to
// be read. It returns false if there is no memory; a body that is alone always finds some.
func (b *bodyBuffer) grow(length int64) bool {
	size := max(minBodyBuffer, 2*cap(b.bytes))
	if length >= 0 {
		size = max(min(size, int(length)+1), cap(b.bytes)+1)
	}
	if held := cap(b.bytes); !b.budget.Take(int64(size-held), int64(held)) {
		return false
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// release gives back what is reserved.
func (b *bodyBuffer) release() {
	b.budget.GiveBack(int64(cap(b.bytes)))
	b.bytes = nil
}

// readBody buffers the whole body, so that it can be sent again.
func (g *Gateway) readBody(c *call, w http.ResponseWriter, r *http.Request, limits Limits) *walnutramp.Error {
	c.hasBody = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
	if !c.hasBody {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = g.cfg.MaxBuffered
	}
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	late := c.limitBodyTime(w)
	err := c.buffer.read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	r.Trailer = nil // it is not forwarded
	var tooLarge *http.MaxBytesError
	switch {
	case late(), errors.Is(err, os.ErrDeadlineExceeded):
		c.buffer.release()
		w.Header().Set("Connection", "close")
		return walnutramp.NewError(walnutramp.CodeBodyTimeout, walnutramp.NotRun, "the request body did not arrive in time")
	case err == nil:
		c.body = c.buffer.bytes
		return nil
	case errors.As(err, &tooLarge):
		return bodyTooLarge(limit)
	case errors.Is(err, errBodyMemory):
		return walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "%s", errBodyMemory).WithRetryAfter(retryWhenBusy)
	}
	return walnutramp.NewError(walnutramp.CodeBadRequest, walnutramp.NotRun, "the request body could not be read to its end")
}

// limitBodyTime makes the reading of the body fail at the deadline. The function that it
// returns ends the limit, and reports whether the deadline has passed before the body's end.
func (c *call) limitBodyTime(w http.ResponseWriter) (late func() bool) {
	control := http.NewResponseController(w)
	timer := time.AfterFunc(uptime.Until(c.deadline), func() {
		if err := control.SetReadDeadline(time.Unix(1, 0)); err != nil { // an expired one
			klog.InfoS("Body can't be limited", "request", c.id, "err", err)
		}
	})
	return func() bool { return !timer.Stop() }
}

func bodyTooLarge(limit int64) *walnutramp.Error {
	return walnutramp.NewError(walnutramp.CodeBodyTooLarge, walnutramp.NotRun, "the request body is larger than %d bytes", limit)
}
