package drain

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pipelined request that is being handled must not count as an idle connection.
func TestShutdownAnswersAPipelinedRequestInFlight(t *testing.T) {
	began, canceled := make(chan struct{}), make(chan struct{}, 1)
	server := New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/slow" {
			return
		}
		close(began)
		select {
		case <-r.Context().Done():
			canceled <- struct{}{}
		case <-time.After(500 * time.Millisecond):
		}
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	answers := bufio.NewReader(c)
	_, err = http.ReadResponse(answers, nil)
	require.NoError(t, err)
	<-began
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(context.Background()) }()
	_, err = http.ReadResponse(answers, nil)
	require.Empty(t, canceled, "the request in flight was canceled")
	require.NoError(t, err)
	require.NoError(t, <-shutdown)
}
