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
	"github.com/walnutramp/walnutramp/internal/rawserver"
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

// requireNoAnswer checks that malformed answers count as none, for each kind of call.
func requireNoAnswer(t *testing.T, answers map[string]string) {
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d net.Dialer
			p := NewPool(d.DialContext)
			t.Cleanup(p.Close)
			to := bundle.Target{Name: "t-1", Address: rawserver.New(t, text)}
			for _, once := range []bool{true, false} {
				_, err := p.Service(to, once).Do(t.Context(), Call{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("q")})
				require.Error(t, err)
				var notSent *NotSentError
				require.NotErrorAs(t, err, &notSent, "the service may have executed it")
			}
			engine, orders := p.Engine(to), p.Orders(to)
			_, err := engine.Load(t.Context())
			require.Error(t, err)
			_, err = engine.Export(t.Context(), "s-1")
			require.Error(t, err)
			require.Error(t, engine.Cancel(t.Context(), "s-1"))
			requireNoChunk(t)(engine.Start(t.Context(), Attempt{StreamID: "s-1"}))
			requireNoChunk(t)(engine.Attach(t.Context(), "s-1", 0))
			_, err = orders.Placed(t.Context())
			require.Error(t, err)
			require.Error(t, orders.Order(t.Context(), Order{}))
		})
	}
}

// requireNoChunk checks that a stream does not open or brings nothing.
func requireNoChunk(t *testing.T) func(Stream, error) {
	return func(s Stream, err error) {
		t.Helper()
		if err == nil {
			defer s.Close()
			_, err = s.Recv()
		}
		require.Error(t, err)
	}
}

func TestAnswersWithAMalformedStatusAreNone(t *testing.T) {
	requireNoAnswer(t, rawserver.MalformedStatuses)
}

func TestAnswersWithMalformedNamesAreNone(t *testing.T) {
	requireNoAnswer(t, rawserver.MalformedNames)
}
