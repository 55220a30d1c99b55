package drain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The answer to a request that is too large must not wait for the rest of its body.
func TestTooLargeRequestIsAnsweredAtOnce(t *testing.T) {
	const limit = 10
	server := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	c, answers := dial(t, l.Addr().String())
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 2*limit, strings.Repeat("x", 2*limit))
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(answers), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.True(t, resp.Close)
}
