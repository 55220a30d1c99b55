package drain

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// net/http half-closes a connection before it closes one with unread data.
func TestConnectionsCanBeHalfClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := New(&http.Server{Handler: http.NotFoundHandler()})
	t.Cleanup(func() { l.Close() })
	go net.Dial("tcp", l.Addr().String())
	c, err := (&listener{Listener: l, server: server}).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.Implements(t, (*interface{ CloseWrite() error })(nil), c)
}
