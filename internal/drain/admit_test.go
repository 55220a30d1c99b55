package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testConns = 8 // of which one is kept free

// connSite is a server of few connections. A request for /slow is answered by finish.
type connSite struct {
	*headSite
	release chan struct{}
}

func newConnSite(t *testing.T) *connSite {
	s := &connSite{headSite: &headSite{t: t}, release: make(chan struct{})}
	s.server = New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.handled.Add(1)
		if r.URL.Path == "/slow" {
			<-s.release
		}
	})}, WithMaxConns(testConns))
	s.start()
	return s
}

// connect opens a connection that sends data, and waits until the server has read some of it.
func (s *connSite) connect(data string) (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, answers := s.send(data)
	require.Eventually(s.t, func() bool {
		accepted := s.serverConn(c)
		return accepted != nil && (data == "" || accepted.hasReceived())
	}, 5*time.Second, time.Millisecond)
	return c, answers
}

func (c *conn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// serverConn returns the server's side of a connection; nil if it is closed.
func (s *connSite) serverConn(client net.Conn) *conn {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	for c := range s.server.conns {
		if c.RemoteAddr().String() == client.LocalAddr().String() {
			return c
		}
	}
	return nil
}

func (s *connSite) requireClosed(c net.Conn) {
	s.t.Helper()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.Copy(io.Discard, c)
	require.NoError(s.t, err, "the connection is open")
	require.Eventually(s.t, func() bool { return s.serverConn(c) == nil }, 5*time.Second, time.Millisecond)
}

func (s *connSite) requireServed(c net.Conn, answers *bufio.Reader) {
	s.t.Helper()
	_, err := io.WriteString(c, commonHead)
	require.NoError(s.t, err)
	s.requireAnswer(answers, http.StatusOK)
}

// slow begins a request that lasts until release is closed.
func (s *connSite) slow() *bufio.Reader {
	handled := s.handled.Load()
	_, answers := s.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Eventually(s.t, func() bool { return s.handled.Load() > handled }, 5*time.Second, time.Millisecond)
	return answers
}

// Connections that only wait must not keep others out, and the one that has waited longest
// without a request is closed first.
func TestWaitingConnectionsGiveWay(t *testing.T) {
	s := newConnSite(t)
	kept, keptAnswers := s.connect("")
	s.requireServed(kept, keptAnswers)
	var waiting []net.Conn
	for _, sent := range []string{"", "GET / HTTP/1.1\r\n", "", "", "", ""} {
		c, _ := s.connect(sent)
		waiting = append(waiting, c)
	}
	for i := range 3 {
		c, answers := s.connect("")
		s.requireClosed(waiting[i])
		s.requireServed(c, answers)
	}
	s.requireServed(kept, keptAnswers)
	require.EqualValues(t, 3, s.server.ConnCounts().Evicted)
	require.Zero(t, s.server.ConnCounts().TurnedAway)
}

// A request in flight is not cut off for a further connection, which is refused.
func TestRequestsInFlightDoNotGiveWay(t *testing.T) {
	s := newConnSite(t)
	var slow []*bufio.Reader
	for range testConns {
		slow = append(slow, s.slow())
	}
	c, answers := dial(t, s.address)
	resp := s.requireAnswer(answers, http.StatusServiceUnavailable)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.EqualValues(t, 1, s.server.ConnCounts().TurnedAway)
	c.Close()
	close(s.release)
	for _, answers := range slow {
		s.requireAnswer(answers, http.StatusOK)
	}
	require.Eventually(t, func() bool { // the first frees one for the next
		c, answers := dial(t, s.address)
		_, err := io.WriteString(c, commonHead)
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		return err == nil && resp.StatusCode == http.StatusOK
	}, 5*time.Second, time.Millisecond)
}

// A request that has arrived when its connection is to be closed is answered.
func TestRequestThatCrossesAnEvictionIsAnswered(t *testing.T) {
	for range 50 {
		s := newConnSite(t)
		first, answers := s.connect("")
		s.requireServed(first, answers)
		var victim waiting
		require.Eventually(t, func() bool {
			victim, _ = s.serverConn(first).waiting()
			return victim.state == connIdle
		}, 5*time.Second, time.Millisecond)
		_, err := io.WriteString(first, commonHead)
		require.NoError(t, err)
		victim.conn.evict(victim)
		s.requireAnswer(answers, http.StatusOK)
		s.server.Close()
	}
}

// Connections whose clients do not read their answers are closed for further ones.
func TestUnreadAnswersGiveWay(t *testing.T) {
	s := newConnSite(t)
	s.server.stalledAfter = 20 * time.Millisecond
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/endless" {
			return
		}
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	for range testConns - 1 {
		c, _ := s.connect("")
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err := io.WriteString(c, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.inState(connStalled) == testConns-1 }, 10*time.Second, 10*time.Millisecond)
	c, answers := s.connect("")
	s.requireServed(c, answers)
	require.EqualValues(t, 1, s.server.ConnCounts().Evicted)
}
