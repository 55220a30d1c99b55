package drain

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/reqlimit"
)

// A body that does not come must not hold its request for ever, whether or not the handler
// reads it.
func TestBodyThatDoesNotComeEndsItsRequest(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"read": func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
			}
		},
		"left unread": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &headSite{t: t, server: New(&http.Server{Handler: handler}, WithBodyTimeout(50*time.Millisecond))}
			s.start()
			c, answers := s.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx")
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp := s.requireAnswer(answers, http.StatusRequestTimeout)
			require.True(t, resp.Close)
		})
	}
}

// A body that has come leaves no limit behind for its request, nor for the next one.
func TestBodyTimeoutEndsWithTheBody(t *testing.T) {
	const timeout = 50 * time.Millisecond
	s := &headSite{t: t, server: New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(3 * timeout):
		}
	})}, WithBodyTimeout(timeout))}
	s.start()
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
	c, answers := s.send(request)
	s.requireAnswer(answers, http.StatusOK)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	s.requireAnswer(answers, http.StatusOK)
}

// Connections of requests whose bodies have not come are closed for further ones.
func TestRequestsWithoutBodiesGiveWay(t *testing.T) {
	s := newConnSite(t)
	for range testConns - 1 {
		s.connect("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
	}
	require.Eventually(t, func() bool { return s.handled.Load() == 0 && s.inState(connBody) == testConns-1 }, 5*time.Second, time.Millisecond)
	c, answers := s.connect("")
	s.requireServed(c, answers)
	require.EqualValues(t, 1, s.server.ConnCounts().Evicted)
}

// inState counts the connections in a state.
func (s *connSite) inState(state connState) (n int) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	for c := range s.server.conns {
		if w, _ := c.waiting(); w.state == state {
			n++
		}
	}
	return n
}

// Bodies that a handler keeps must not take more memory than the budget, and give it back at the
// end of their requests.
func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	const size = 1000
	budget := reqlimit.NewBudget(3 * size)
	release := make(chan struct{})
	s := &headSite{t: t, server: New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		var refusal *reqlimit.Refusal
		if errors.As(err, &refusal) {
			w.WriteHeader(refusal.Status)
			return
		}
		<-release
	})}, WithBodies(budget))}
	s.start()
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	_, first := s.send(request)
	require.Eventually(t, func() bool { return budget.Used() == 2*size }, 5*time.Second, time.Millisecond)
	_, second := s.send(request)
	s.requireAnswer(second, http.StatusServiceUnavailable)
	close(release)
	s.requireAnswer(first, http.StatusOK)
	require.Eventually(t, func() bool { return budget.Used() == 0 }, 5*time.Second, time.Millisecond)
	_, third := s.send(request)
	s.requireAnswer(third, http.StatusOK)
}
