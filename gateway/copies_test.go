package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
)

// copyOrdersOf returns the copy orders that a target received.
func copyOrdersOf(f *fakeTarget) []string {
	var orders []string
	for _, r := range f.seen() {
		if strings.HasPrefix(r.RequestURI, copyPath) {
			orders = append(orders, r.Method+" "+r.RequestURI)
		}
	}
	return orders
}

// acceptingCopyOrders answers copy orders with a status and leaves the rest to a script.
func acceptingCopyOrders(status int, script func(*fakeTarget, *http.Request, net.Conn)) func(*fakeTarget, *http.Request, net.Conn) {
	return func(f *fakeTarget, r *http.Request, c net.Conn) {
		if strings.HasPrefix(r.RequestURI, copyPath) {
			reply(c, "", status, "handle-1")
			return
		}
		script(f, r, c)
	}
}

// copySite is a run at one target, with two others that may hold its copy.
type copySite struct {
	*testSite
	source, holder, other *fakeTarget
}

// newCopySite runs a draft whose first holder is lost at the third event. At the sixth,
// once await reports true, it calls atSixthEvent. Options change the run's target.
func newCopySite(t *testing.T, status int, await func(*copySite) bool, atSixthEvent func(c net.Conn) bool, opts ...func(*fakeTarget)) (*copySite, string, error) {
	s := &copySite{}
	s.source = newFakeTarget(t, "i-1", "draft", "north", acceptingCopyOrders(status, draft(func(f *fakeTarget, c net.Conn, n int) bool {
		switch n {
		case 3:
			to := f.seen()[0].Header.Get("X-Copy-To")
			if s.holder.l.Addr().String() != to {
				s.holder, s.other = s.other, s.holder
			}
			s.tracker.SetEnded([]string{s.holder.id})
		case 6:
			require.Eventually(t, func() bool { return await(s) }, 5*time.Second, time.Millisecond)
			return atSixthEvent(c)
		default:
			time.Sleep(copyCheckInterval + 10*time.Millisecond) // until the next check of the copy
		}
		return true
	})))
	for _, opt := range opts {
		opt(s.source)
	}
	s.holder = newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s.other = newFakeTarget(t, "i-3", "draft", "west", draft(nil))
	s.testSite = newTestSite(t, []*fakeTarget{s.source, s.holder, s.other}, WithStall(10*time.Second))
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-1"))
	return s, body, err
}

// copyName returns the name by which the holder resumes from the ordered copy.
func (s *copySite) copyName() string { return s.source.l.Addr().String() + "/handle-1" }

// copied reports whether the ordered copy has been recorded.
func (s *copySite) copied() bool {
	for _, trace := range s.tracker.Traces() {
		if trace.CopyName == s.copyName() && trace.Copy == s.other.id {
			return true
		}
	}
	return false
}

func (s *copySite) ordered() bool { return len(copyOrdersOf(s.source)) > 0 }

func breakOff(c net.Conn) bool {
	c.Close()
	return false
}

func TestRunResumesFromTheReplacementCopy(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusOK, (*copySite).copied, breakOff)
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, []string{"POST " + copyPath}, copyOrdersOf(s.source))
	require.Empty(t, s.holder.seen(), "the lost holder gets no request")
	resumed := s.other.seen()[0]
	require.Equal(t, "5", resumed.Header.Get("X-Last"))
	require.Equal(t, s.copyName(), resumed.Header.Get("X-Copy-From"))
}

func TestOrderedCopyIsReleasedAfterTheRun(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusOK, (*copySite).copied, func(net.Conn) bool { return true })
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Eventually(t, func() bool {
		orders := copyOrdersOf(s.source)
		return len(orders) == 2 && orders[1] == "DELETE "+copyPath+"/handle-1"
	}, 5*time.Second, time.Millisecond)
}

func TestRunWithoutACopyIsPrefilledAgain(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusServiceUnavailable, (*copySite).ordered, breakOff)
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Empty(t, s.other.seen()[0].Header.Get("X-Copy-From"))
}

// The engine may answer an order just after the run has ended.
func TestCopyOrderedAfterTheRunIsReleased(t *testing.T) {
	source := newFakeTarget(t, "i-1", "draft", "north", acceptingCopyOrders(http.StatusOK, draft(nil)))
	s := newTestSite(t, []*fakeTarget{source, newFakeTarget(t, "i-2", "draft", "south", draft(nil))})
	at, holder := s.tracker.Target("i-1"), s.tracker.Target("i-2")
	run := at.Begin(balance.Work{PrefillTokens: 100, MemoryTokens: 160}, balance.Trace{Key: "part-1"})
	k := &runCopy{relay: &relay{gateway: s.gateway, call: &call{id: "1"}}, target: at, run: run}
	run.End(balance.RunEnd{})
	k.end(runFailed)
	k.order(t.Context(), holder)
	require.Nil(t, k.copy)
	require.Eventually(t, func() bool { return len(copyOrdersOf(source)) == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "DELETE "+copyPath+"/handle-1", copyOrdersOf(source)[1])
}
