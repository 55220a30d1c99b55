package targetconn

import (
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

// echo returns a response with the path of a request, and its identity if it has one.
func echo(r *http.Request) string {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		return ok(id, r.URL.Path)
	}
	return strings.Replace(ok("", r.URL.Path), "X-Request-Id: \r\n", "", 1)
}

// exchangePath returns the body of the response to a request, whose identity may be empty.
func exchangePath(t *testing.T, p *Pool, e Endpoint, path, id string) string {
	t.Helper()
	r := &Request{Method: "POST", URI: path, Host: "a", Header: http.Header{}, Identity: id}
	if id != "" {
		r.Header.Set("X-Request-Id", id)
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
	var mu sync.Mutex
	last := map[net.Conn]string{}
	e, _ := serve(t, func(c net.Conn, r *http.Request, _ int) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(c, last[c]+echo(r))
		last[c] = echo(r)
	})
	p := NewPool()
	defer p.Close()
	for i, id := range []string{"", "", "1", "", "2", "", "", "3"} {
		path := fmt.Sprint("/", i)
		require.Equal(t, path, exchangePath(t, p, e, path, id))
	}
}

func TestRequestWithoutIdentityReusesAConnection(t *testing.T) {
	e, _ := serve(t, func(c net.Conn, r *http.Request, _ int) { io.WriteString(c, echo(r)) })
	p := NewPool()
	defer p.Close()
	for _, id := range []string{"1", "", "2", "", "3", ""} {
		require.Equal(t, "/", exchangePath(t, p, e, "/", id))
	}
	require.EqualValues(t, 1, p.Dialed())
}
