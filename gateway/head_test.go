package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
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

// The heads of other nodes' requests must not take more memory than the budget. A request that
// finds none at one node is sent through another, if there is one.
func TestHeadsOfOtherNodesStayWithinTheirMemory(t *testing.T) {
	large := http.Header{}
	for i := range 1000 {
		large.Set(fmt.Sprintf("A%x", i), "")
	}
	for others, status := range map[int]int{1: http.StatusServiceUnavailable, 2: http.StatusOK} {
		t.Run(fmt.Sprint(others, " other nodes"), func(t *testing.T) {
			s := newRelaySite(t, others, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)})
			heads := reqlimit.NewBudget(1)
			s.others[0].gateway.cfg.Heads = heads
			giveBack, refusal := heads.TakeHeader(large)
			require.Nil(t, refusal)
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "lookup")
			request := func() int {
				r := s.ingress.request(t, "POST", "/once/", "")
				for name := range large {
					r.Header.Set(name, "")
				}
				resp, _, err := do(t, r)
				require.NoError(t, err)
				return resp.StatusCode
			}
			require.Equal(t, status, request())
			require.Zero(t, s.others[0].relayed())
			giveBack()
			require.Equal(t, http.StatusOK, request())
			require.Eventually(t, func() bool { return heads.Used() == 0 }, time.Second, time.Millisecond)
		})
	}
}
