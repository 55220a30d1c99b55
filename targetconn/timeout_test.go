package targetconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What has arrived while this process was not running is read, although the deadline passed.
func TestAnswerThatArrivedBeforeALateReadIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		c.Read(make([]byte, 1<<10))
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(c, "4\r\nlate\r\n0\r\n\r\n")
		c.Read(make([]byte, 1))
	}()
	p := NewPool(WithIdentityHeader("X-Id"))
	defer p.Close()
	a, err := p.Do(context.Background(), Endpoint{ID: "1", Address: l.Addr().String()}, &Request{Method: "GET", URI: "/", Host: "a", Header: http.Header{}, Identity: "1"})
	require.NoError(t, err)
	defer a.Close()
	calls := 0
	a.OnTimeout(func() time.Duration {
		calls++
		return 10 * time.Millisecond
	})
	require.NoError(t, a.SetReadDeadline(time.Now().Add(-time.Second)))
	body, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "oklate", string(body))
	require.Positive(t, calls)
}

func TestReadFailsOnceItsTimeoutIsNotExtended(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	left := 3
	r := &timeoutReader{conn: a, onTimeout: func() time.Duration {
		left--
		return time.Duration(left) * time.Millisecond
	}}
	require.NoError(t, a.SetReadDeadline(time.Now()))
	_, err := r.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Zero(t, left)
}
