package target

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/bundle"
)

// inFlight is the most that connections on the loopback hold, in bytes.
const inFlight = 16 << 20

func TestEndlessAnswerToAControlCallIsNotReadWhole(t *testing.T) {
	var written atomic.Int64
	filler := bytes.Repeat([]byte(" "), 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, "{")
		for written.Load() < 16*inFlight {
			n, err := w.Write(filler)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	client := NewClient(http.DefaultTransport, http.DefaultTransport)
	_, err := NewOpenAI(client, server.Listener.Addr().String()).Load(ctx)
	require.Error(t, err)
	require.Less(t, written.Load(), int64(maxControlAnswer+inFlight))
}

// An event whose lines never end must not be kept whole.
func TestEndlessEventIsNotReadWhole(t *testing.T) {
	line := []byte("data: " + strings.Repeat("x", 1000) + "\n")
	read := 0
	r := NewEventReader(readerFunc(func(p []byte) (int, error) {
		if read > 16*maxEvent {
			return 0, io.EOF
		}
		n := copy(p, line[read%len(line):])
		read += n
		return n, nil
	}))
	_, err := r.Next()
	require.ErrorIs(t, err, bufio.ErrTooLong)
	require.Less(t, read, 2*maxEvent)
}

// readerFunc adapts a function to an io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// mostHead is the most that a head may have, in bytes.
const mostHead = 64 << 10

// endlessHeads are what a head without an end consists of.
var endlessHeads = map[string]string{
	"lines":             "X-Long: x\r\n",
	"a line":            "x",
	"interim responses": "\r\nHTTP/1.1 103 X\r\n",
}

// A head without an end must not be kept whole, for a service and for a control call.
func TestEndlessHeadIsNotReadWhole(t *testing.T) {
	for name, part := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			p := NewPool(func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
						return
					}
					_, err := io.WriteString(server, "HTTP/1.1 103 X\r\n")
					for text := []byte(strings.Repeat(part, 4096/len(part))); err == nil && written.Load() < 16*mostHead; {
						var n int
						n, err = server.Write(text)
						written.Add(int64(n))
					}
				}()
				return client, nil
			})
			t.Cleanup(p.Close)
			to := bundle.Target{Name: "t-1", Address: "127.0.0.1:1"}
			_, err := p.Service(to, true).Do(t.Context(), Call{Method: http.MethodGet, Path: "/", Header: http.Header{}})
			require.Error(t, err)
			_, err = p.Engine(to).Load(t.Context())
			require.Error(t, err)
			require.Less(t, written.Load(), int64(2*2*mostHead))
		})
	}
}

func TestEndlessAnswerOfAServiceIsNotReadWhole(t *testing.T) {
	var written atomic.Int64
	filler := bytes.Repeat([]byte(" "), 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for written.Load() < 16*MaxServiceAnswer {
			n, err := w.Write(filler)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var d net.Dialer
	p := NewPool(d.DialContext)
	defer p.Close()
	_, err := p.Service(bundle.Target{Name: "t-1", Address: server.Listener.Addr().String()}, true).Do(ctx, Call{Method: http.MethodGet, Path: "/", Header: http.Header{}})
	require.Error(t, err)
	require.Less(t, written.Load(), int64(MaxServiceAnswer+inFlight))
}
