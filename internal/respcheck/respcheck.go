// Package respcheck finds malformed HTTP/1.1 responses among those that net/http accepts.
package respcheck

import (
	"net/http"

	"github.com/cockroachdb/errors"
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
	return nil
}

// announcesBody reports whether a header gives the length of a body.
func announcesBody(header http.Header) bool {
	length := header.Get("Content-Length")
	return length != "" && length != "0"
}

// Final returns why a final response is malformed; nil if it is not.
func Final(status int) error {
	if status < minFinal || status > maxFinal {
		return errors.Newf("status %03d is none of a final response", status)
	}
	return nil
}
