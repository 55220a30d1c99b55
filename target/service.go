package target

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxServiceAnswer is the largest answer of a plain service, in bytes.
const MaxServiceAnswer = 16 << 20

// Call is one call of a plain service.
type Call struct {
	Method string
	Path   string // path and query below the service
	Header http.Header
	Body   []byte
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is one plain service process.
type Service struct {
	rt      http.RoundTripper
	address string
}

// NewService returns the client for the service at address. For calls that
// may not be repeated, rt must use each connection once: net/http sends a
// request again by itself when a reused connection breaks.
func NewService(rt http.RoundTripper, address string) *Service {
	return &Service{rt: rt, address: address}
}

// NotSentError says that a call failed before any byte of it was sent.
type NotSentError struct {
	Err error
}

// Error implements the error interface.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Do sends c once and returns the whole answer.
func (s *Service) Do(ctx context.Context, c Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.address+c.Path, onceBody(c.Body))
	if err != nil {
		return Answer{}, &NotSentError{Err: err}
	}
	req.GetBody = nil
	req.ContentLength = int64(len(c.Body))
	req.Header = c.Header.Clone()
	resp, err := s.rt.RoundTrip(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxServiceAnswer+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "answer cut off")
	}
	if len(body) > MaxServiceAnswer {
		return Answer{}, errors.New("answer too large")
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// onceBody hides the reader's type, so that net/http can't rewind it.
func onceBody(b []byte) io.ReadCloser {
	return struct{ io.ReadCloser }{io.NopCloser(bytes.NewReader(b))}
}
