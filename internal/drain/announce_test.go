package drain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The answer to a request in flight must say that its connection is about to be closed:
// otherwise the client sends its next request on it.
func TestShutdownAnnouncesTheCloseOnAnswersInFlight(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	server := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-release
	})})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	c, answers := dial(t, l.Addr().String())
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-began
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	close(release)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.True(t, resp.Close, "the connection is closed after this answer")
	require.NoError(t, <-shutdown)
}
