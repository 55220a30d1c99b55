package drain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

const (
	manyLines  = 1500 // short header lines
	headLimit  = 16 << 10
	commonHead = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

// largeHead returns the start of a head within headLimit, without the empty line at its end.
func largeHead(path string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
	for i := range manyLines {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

// headSite is a server with memory for one large head.
type headSite struct {
	t       *testing.T
	server  *Server
	budget  *reqlimit.Budget
	address string
	handled atomic.Int32
}

func newHeadSite(t *testing.T, handler http.HandlerFunc) *headSite {
	s := &headSite{t: t, budget: reqlimit.NewBudget(1)}
	s.server = New(&http.Server{MaxHeaderBytes: headLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		handler(w, r)
	})}, WithHeads(s.budget))
	s.start()
	return s
}

// start serves on loopback until the test ends.
func (s *headSite) start() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	go s.server.Serve(l)
	s.t.Cleanup(func() { s.server.Close() })
	s.address = l.Addr().String()
}

// send sends data on a new connection.
func (s *headSite) send(data string) (net.Conn, *bufio.Reader) {
	c, answers := dial(s.t, s.address)
	_, err := io.WriteString(c, data)
	require.NoError(s.t, err)
	return c, bufio.NewReader(answers)
}

// fill takes the memory for large heads, by one without end.
func (s *headSite) fill() net.Conn {
	c, _ := s.send(largeHead("/"))
	require.Eventually(s.t, func() bool { return s.budget.Used() > 0 }, 5*time.Second, time.Millisecond)
	return c
}

func (s *headSite) requireAnswer(answers *bufio.Reader, status int) *http.Response {
	s.t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(s.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, status, resp.StatusCode)
	return resp
}

func (s *headSite) requireGivenBack() {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.budget.Used() == 0 }, 5*time.Second, time.Millisecond)
}

func answerOK(http.ResponseWriter, *http.Request) {}

// A refused client must get its answer while it is still sending, and common requests must be
// served meanwhile.
func TestHeadThatFindsNoMemoryIsRefused(t *testing.T) {
	s := newHeadSite(t, answerOK)
	s.fill()
	_, answers := s.send(largeHead("/") + "b: " + strings.Repeat("x", lingerBytes/2))
	resp := s.requireAnswer(answers, http.StatusServiceUnavailable)
	require.True(t, resp.Close)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, s.handled.Load())
	_, answers = s.send(commonHead)
	s.requireAnswer(answers, http.StatusOK)
}

func TestLargeHeadIsServedInCalm(t *testing.T) {
	s := newHeadSite(t, answerOK)
	_, answers := s.send(largeHead("/") + "\r\n")
	s.requireAnswer(answers, http.StatusOK)
	s.requireGivenBack()
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := newHeadSite(t, answerOK)
	_, answers := s.send(commonHead[:len(commonHead)-2] + "b: " + strings.Repeat("x", lingerBytes/2))
	resp := s.requireAnswer(answers, http.StatusRequestHeaderFieldsTooLarge)
	require.Empty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, s.handled.Load())
}

// A head that net/http has read together with the request before is counted like others.
func TestPipelinedHeadThatFindsNoMemoryIsRefused(t *testing.T) {
	s := newHeadSite(t, answerOK)
	s.fill()
	const inOneRead = 4 << 10
	pipelined := largeHead("/pipelined")
	pipelined = pipelined[:strings.LastIndex(pipelined[:inOneRead-len(commonHead)-4], "\n")+1] + "\r\n"
	_, answers := s.send(commonHead + pipelined)
	s.requireAnswer(answers, http.StatusOK)
	resp := s.requireAnswer(answers, http.StatusServiceUnavailable)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.EqualValues(t, 1, s.handled.Load())
}

// The memory of a head is given back however its request or connection ends.
func TestMemoryOfAHeadIsGivenBack(t *testing.T) {
	for name, end := range map[string]func(*testing.T){
		"answer": func(t *testing.T) {
			s := newHeadSite(t, answerOK)
			_, answers := s.send(largeHead("/") + "\r\n")
			s.requireAnswer(answers, http.StatusOK)
			s.requireGivenBack()
		},
		"panic": func(t *testing.T) {
			s := newHeadSite(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			s.send(largeHead("/") + "\r\n")
			require.Eventually(t, func() bool { return s.handled.Load() == 1 }, 5*time.Second, time.Millisecond)
			s.requireGivenBack()
		},
		"client leaves in the head": func(t *testing.T) {
			s := newHeadSite(t, answerOK)
			s.fill().Close()
			s.requireGivenBack()
		},
		"client leaves during the request": func(t *testing.T) {
			s := newHeadSite(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			c, _ := s.send(largeHead("/") + "\r\n")
			require.Eventually(t, func() bool { return s.handled.Load() == 1 }, 5*time.Second, time.Millisecond)
			require.Positive(t, s.budget.Used())
			c.Close()
			s.requireGivenBack()
		},
		"malformed": func(t *testing.T) {
			s := newHeadSite(t, answerOK)
			_, answers := s.send(largeHead("/") + "no colon\r\n\r\n")
			s.requireAnswer(answers, http.StatusBadRequest)
			s.requireGivenBack()
		},
		"refusal": func(t *testing.T) {
			s := newHeadSite(t, answerOK)
			first := s.fill()
			s.send(largeHead("/") + "\r\n")
			first.Close()
			s.requireGivenBack()
		},
		"shutdown": func(t *testing.T) {
			s := newHeadSite(t, answerOK)
			_, answers := s.send(largeHead("/") + "\r\n")
			s.requireAnswer(answers, http.StatusOK)
			require.NoError(t, s.server.Shutdown(context.Background()))
			require.Zero(t, s.budget.Used())
		},
		"close": func(t *testing.T) {
			s := newHeadSite(t, answerOK)
			s.fill()
			s.server.Close()
			s.requireGivenBack()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			end(t)
		})
	}
}
