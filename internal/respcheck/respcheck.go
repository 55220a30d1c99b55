// Package respcheck finds malformed HTTP/1.1 responses among those that net/http accepts.
package respcheck

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Range of the statuses of final responses.
const (
	minFinal = 200
	maxFinal = 599
)

// errInterimBody is the error of an interim response that announces a body. Such a body would
// be taken for the next response.
var errInterimBody = errors.New("interim response announces a body")

// IsInterim reports whether a status is that of an interim response, after which another one
// follows. Status 101 is not, as no request asks for an upgrade.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinal && status != http.StatusSwitchingProtocols
}

// Interim returns why an interim response is malformed; nil if it is not.
func Interim(resp *http.Response) error {
	if len(resp.TransferEncoding) > 0 || announcesBody(resp.Header) {
		return errInterimBody
	}
	return Names(resp.Header)
}

// announcesBody reports whether a header gives the length of a body.
func announcesBody(header http.Header) bool {
	length := header.Get("Content-Length")
	return length != "" && length != "0"
}

// Final returns why a final response is malformed; nil if it is not.
func Final(status int, header http.Header) error {
	if status < minFinal || status > maxFinal {
		return errors.Newf("status %03d is none of a final response", status)
	}
	return Names(header)
}

// Names returns an error if the name of a field in a header or trailer is no token; nil if all
// are. net/http accepts blanks, and does not take a name with one for the field that frames the
// body.
func Names(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("invalid field name %q", name)
		}
	}
	return nil
}

// AtEnd returns the error of a read of a response's body: err, unless that is io.EOF and the
// trailer is malformed.
func AtEnd(err error, resp *http.Response) error {
	if err != io.EOF {
		return err
	}
	if malformed := Names(resp.Trailer); malformed != nil {
		return malformed
	}
	return io.EOF
}
