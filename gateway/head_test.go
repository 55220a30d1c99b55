package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A head of short lines that is as large as the configuration allows must be served.
func TestLargestHeadOfShortLinesIsServed(t *testing.T) {
	const limit = 16 << 10
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 200, "ok") })
	s := newTestSite(t, []*fakeTarget{f})
	table := testTable()
	table.Limits.HeaderBytes = limit
	s.gateway.SetTable(table)
	head := "GET /once/a HTTP/1.1\r\nHost: a.example\r\nX-Id: attempt-1\r\nX-Deadline: 2000\r\n"
	var lines strings.Builder
	for i := 0; len(head)+lines.Len()+len("aaaa:\r\n\r\n") <= limit; i++ {
		fmt.Fprintf(&lines, "a%03x:\r\n", i)
	}
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, head+lines.String()+"\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.GreaterOrEqual(t, len(f.seen()[0].Header), limit/len("aaaa:\r\n")-len(head))
}

// Options of the Connection header that name no header of the request must take no memory.
func TestConnectionOptionsTakeNoMoreThanTheHeadersThatTheyName(t *testing.T) {
	var options []string
	for i := range 4000 {
		options = append(options, fmt.Sprintf("a%x", i))
	}
	h := http.Header{"Connection": {strings.Join(options, ",") + ",keep-alive", "x-b"}, "X-B": {"1"}, "A1": {"2"}, "X-C": {"3"}}
	require.Equal(t, map[string]bool{"X-B": true, "A1": true}, hopByHopNamed(h))
}

// The trailer of a request must not be kept while the request runs: it is not forwarded.
func TestTrailerOfARequestIsNotKept(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		close(begun)
		<-end
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{f})
	var served *http.Request
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served = r
		s.gateway.ServeHTTP(w, r)
	}))
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Id: attempt-1\r\nX-Deadline: 2000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n")
	require.NoError(t, err)
	<-begun
	require.Empty(t, served.Trailer)
	close(end)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
