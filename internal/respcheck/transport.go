package respcheck

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// transport is an http.RoundTripper that returns no malformed response.
type transport struct {
	next http.RoundTripper
}

// NewTransport returns a transport that sends with next, and fails if the response is malformed.
// The request may have been executed then. A malformed trailer fails the read that meets it.
func NewTransport(next http.RoundTripper) http.RoundTripper { return transport{next} }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{Got1xxResponse: checkInterim})
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

// CloseIdleConnections implements what http.Client.CloseIdleConnections calls.
func (t transport) CloseIdleConnections() {
	if next, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}

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

// checkInterim returns why an interim response is malformed. net/http has removed its coding.
func checkInterim(_ int, header textproto.MIMEHeader) error {
	return Interim(&http.Response{Header: http.Header(header)})
}
