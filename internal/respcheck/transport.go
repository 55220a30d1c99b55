package respcheck

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

const (
	// maxHead bounds the head of a response, in bytes.
	maxHead = 64 << 10
	// maxInterim bounds the interim responses to a request.
	maxInterim = 4
)

// Transport is an http.RoundTripper that returns no malformed response.
type Transport struct {
	next *http.Transport
}

// NewTransport returns a transport that sends with next, and fails if the response is malformed.
// The request may have been executed then. A malformed trailer fails the read that meets it. The
// transport bounds the heads that next reads, unless that has a bound.
func NewTransport(next *http.Transport) *Transport {
	if next.MaxResponseHeaderBytes == 0 {
		next.MaxResponseHeaderBytes = maxHead
	}
	return &Transport{next: next}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := 0
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		if interim++; interim > maxInterim {
			return errors.Newf("more than %d interim responses", maxInterim)
		}
		// net/http has removed the coding.
		return Interim(&http.Response{Header: http.Header(header)})
	}})
	resp, err := t.next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Final(resp.StatusCode, resp.Header); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, response: resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// chunkedBody is a body that a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, AtEnd(err, b.response)
}
