package target

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxServiceAnswer bounds the answer of a plain service, in bytes.
const MaxServiceAnswer = 16 << 20

// Call is a call of a plain service.
type Call struct {
	Method string
	Path   string // path and query, relative to the service
	Header http.Header
	Body   []byte
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is the client of a plain service.
type Service struct {
	rt      http.RoundTripper
	address string
}

// NewService returns the client for the service at address. For calls that must not be
// sent twice, rt must not reuse connections: net/http resends a request when a reused
// connection breaks.
func NewService(rt http.RoundTripper, address string) *Service {
	return &Service{rt: rt, address: address}
}

// NotSentError reports that a call failed before any byte of it was sent.
type NotSentError struct {
	Err error
}

// Error implements the error interface.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Do sends c once and returns the complete answer.
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
		return Answer{}, errors.Wrap(err, "truncated answer")
	}
	if len(body) > MaxServiceAnswer {
		return Answer{}, errors.Newf("answer larger than %d bytes", MaxServiceAnswer)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// onceBody hides the type of the reader, so that net/http can't rewind and resend it.
func onceBody(b []byte) io.ReadCloser {
	return struct{ io.ReadCloser }{io.NopCloser(bytes.NewReader(b))}
}
