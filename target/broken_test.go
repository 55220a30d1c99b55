package target

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/memnet"
)

// callService sends an upload to a service whose connection is c.
func callService(t *testing.T, c net.Conn) (Answer, error) {
	t.Helper()
	p := NewPool(func(context.Context, string, string) (net.Conn, error) { return c, nil })
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	service := p.Service(bundle.Target{Name: "lookup-1", Address: "127.0.0.1:1"}, true)
	return service.Do(ctx, Call{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, 1<<20)})
}

// The end of a connection must not complete an answer without a length if the upload failed.
func TestAnswerWithoutLengthBreaksOffWithTheUpload(t *testing.T) {
	_, err := callService(t, memnet.NewResetConn("HTTP/1.1 200 OK\r\n\r\npart"))
	require.Error(t, err)
	answer, err := callService(t, memnet.NewResetConn("HTTP/1.1 413 X\r\nContent-Length: 5\r\n\r\nsound"))
	require.NoError(t, err)
	require.Equal(t, "sound", string(answer.Body))
}
