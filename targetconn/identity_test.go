package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// repeatingTarget answers each request with its path, after the last answer on the connection
// once more.
func repeatingTarget(t *testing.T) Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				last := ""
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(r.URL.Path), r.URL.Path)
					if r.Header.Get("X-Id") == "" {
						answer = strings.Replace(answer, "X-Id: \r\n", "", 1)
					}
					if _, err := io.WriteString(c, last+answer); err != nil {
						return
					}
					last = answer
				}
			}()
		}
	}()
	return Endpoint{ID: "1", Address: l.Addr().String()}
}

// send returns the body of the answer to a request.
func send(t *testing.T, p *Pool, e Endpoint, path, id string) string {
	t.Helper()
	r := &Request{Method: "POST", URI: path, Host: "a", Header: http.Header{}, Identity: id}
	if id != "" {
		r.Header.Set("X-Id", id)
	}
	a, err := p.Do(context.Background(), e, r)
	require.NoError(t, err)
	defer a.Close()
	body, err := io.ReadAll(a)
	require.NoError(t, err)
	return string(body)
}

// A surplus answer to a request without identity must not be taken for that to the next.
func TestSurplusAnswerIsNotTakenForThatToTheNextRequestWithoutIdentity(t *testing.T) {
	p := NewPool(WithIdentityHeader("X-Id"))
	defer p.Close()
	e := repeatingTarget(t)
	for i, id := range []string{"", "", "1", "", "2", "", "", "3"} {
		path := fmt.Sprint("/", i)
		require.Equal(t, path, send(t, p, e, path, id))
	}
}

func TestRequestWithoutIdentityReusesAConnection(t *testing.T) {
	p := NewPool()
	defer p.Close()
	var mu sync.Mutex
	opened := 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if id := r.Header.Get("X-Request-Id"); id != "" {
				w.Header().Set("X-Request-Id", id)
			}
		}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				mu.Lock()
				opened++
				mu.Unlock()
			}
		},
	}
	go server.Serve(l)
	defer server.Close()
	e := Endpoint{ID: "1", Address: l.Addr().String()}
	for _, id := range []string{"1", "", "2", "", "3", ""} {
		r := &Request{Method: "POST", URI: "/", Host: "a", Header: http.Header{}, Identity: id}
		if id != "" {
			r.Header.Set("X-Request-Id", id)
		}
		a, err := p.Do(context.Background(), e, r)
		require.NoError(t, err)
		_, err = io.ReadAll(a)
		require.NoError(t, err)
		a.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, 1, opened)
}
