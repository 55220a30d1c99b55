package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// attempt is a client's attempt of a stream whose prompt ends with its session's part.
type attempt struct {
	id      string
	path    string
	body    string
	headers []string
}

// sessionSite has targets that hold copies for each other, and leave each stream that begins
// after its first event.
type sessionSite struct {
	*testSite
	targets []*fakeTarget
}

func newSessionSite(t *testing.T) *sessionSite {
	s := &sessionSite{}
	for _, hall := range []string{"north", "south", "west"} {
		s.targets = append(s.targets, newFakeTarget(t, "i-"+hall, "draft", hall, func(f *fakeTarget, r *http.Request, c net.Conn) {
			draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
				if r.Header.Get("X-Last") == "" && n == 2 {
					c.Read(make([]byte, 1)) // until the client leaves
					return false
				}
				return true
			})(f, r, c)
		}))
	}
	s.testSite = newTestSite(t, s.targets)
	return s
}

func (s *sessionSite) send(t *testing.T, ctx context.Context, a attempt, headers ...string) *http.Response {
	t.Helper()
	all := append([]string{"X-Id", a.id, "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-0,part-1"}, a.headers...)
	resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", a.path, a.body, append(all, headers...)...).WithContext(ctx))
	require.NoError(t, err)
	return resp
}

// begin sends an attempt whose client leaves after the first event.
func (s *sessionSite) begin(t *testing.T, a attempt) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	resp := s.send(t, ctx, a)
	_, err := resp.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	leave()
	resp.Body.Close()
	require.Eventually(t, func() bool { return s.gateway.active.Load() == 0 }, 5*time.Second, time.Millisecond)
}

// copyUsed takes a stream up, and returns the ID of the attempt whose copy it resumes from;
// empty for none.
func (s *sessionSite) copyUsed(t *testing.T, a attempt, headers ...string) string {
	t.Helper()
	resp := s.send(t, t.Context(), a, append([]string{"X-Last", "1"}, headers...)...)
	defer resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
	for _, f := range s.targets {
		for _, r := range f.seen() {
			if r.Header.Get("X-Id") == a.id {
				_, name, _ := strings.Cut(r.Header.Get("X-Copy-From"), "/")
				return name
			}
		}
	}
	require.Fail(t, "no target has received the attempt")
	return ""
}

// A stream must never go on from the KV cache of another request of its session.
func TestStreamResumesOnlyFromItsOwnCopy(t *testing.T) {
	a := attempt{id: "a-1", path: "/draft/x", body: "prompt a"}
	for name, b := range map[string]attempt{
		"another body":              {id: "b-1", path: a.path, body: "prompt b"},
		"another path":              {id: "b-1", path: "/draft/y", body: a.body},
		"another model":             {id: "b-1", path: a.path, body: a.body, headers: []string{"X-Model", "other"}},
		"another start of a prompt": {id: "b-1", path: a.path, body: a.body, headers: []string{"X-Prefix", "part-9,part-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSessionSite(t)
			s.begin(t, a)
			s.begin(t, b)
			again := a
			again.id = "a-2"
			require.Equal(t, "a-1", s.copyUsed(t, again))
			again = b
			again.id = "b-2"
			require.Equal(t, "b-1", s.copyUsed(t, again))
		})
	}
}

// Two generations of one request differ, so only the attempt identifies a copy.
func TestIdenticalRequestsDoNotShareACopy(t *testing.T) {
	a := attempt{id: "a-1", path: "/draft/x", body: "prompt"}
	for name, beginOther := range map[string]func(*sessionSite, *testing.T, attempt){
		"both are broken": (*sessionSite).begin,
		"one goes on": func(s *sessionSite, t *testing.T, b attempt) {
			answer := s.send(t, t.Context(), b)
			t.Cleanup(func() { answer.Body.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSessionSite(t)
			s.begin(t, a)
			beginOther(s, t, attempt{id: "b-1", path: a.path, body: a.body})
			again := a
			again.id = "a-2"
			require.Empty(t, s.copyUsed(t, again), "it may be of either")
			again.id = "a-3"
			require.Equal(t, "a-1", s.copyUsed(t, again, "X-Resumes", "a-1"))
		})
	}
}

// A client that names no attempt may come back again and again.
func TestStreamIsTakenUpFromItsCopyTwice(t *testing.T) {
	s := newSessionSite(t)
	a := attempt{id: "a-1", path: "/draft/x", body: "prompt"}
	s.begin(t, a)
	for _, id := range []string{"a-2", "a-3"} {
		a.id = id
		require.NotEmpty(t, s.copyUsed(t, a), id)
	}
}

// A route may be replaced while a stream runs: the holder of its copy must not get a request
// that no longer leads to the holder's service.
func TestStreamIsNotResumedFromACopyAtAnotherService(t *testing.T) {
	s := newSessionSite(t)
	a := attempt{id: "a-1", path: "/draft/x", body: "prompt"}
	s.begin(t, a)
	table := testTable()
	table.Services["other"] = Service{Name: "other", Engine: true, Copies: true}
	s.gateway.SetTable(table)
	other := newFakeTarget(t, "i-other", "other", "north", draft(nil))
	s.targets = append(s.targets, other)
	s.tracker.Update(listed(s.targets))
	a.id = "a-2"
	r := s.request(t, "POST", a.path, a.body, "X-Id", a.id, "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-0,part-1", "X-Last", "1")
	r.RequestURI = a.path
	c, rejected := s.gateway.open(httptest.NewRecorder(), r, uptime.Now())
	require.Nil(t, rejected)
	c.service, c.settings, c.binding = "other", table.Services["other"], boundTo("")
	answer := httptest.NewRecorder()
	s.gateway.serveStream(t.Context(), answer, c)
	require.Equal(t, wholeDraft(2), answer.Body.String())
	require.Len(t, other.seen(), 1)
	require.Empty(t, other.seen()[0].Header.Get("X-Copy-From"))
}
