// Package rawserver is an HTTP/1.1 server for tests that answers with given bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// New starts a server that answers each request with a text and closes the connection, and
// returns its address. It ends with the test.
func New(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, text)
		}
	}()
	return l.Addr().String()
}

func answer(c net.Conn, text string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	io.WriteString(c, text)
}
