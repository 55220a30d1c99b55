package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ordersOf returns the orders that a target got.
func ordersOf(f *fakeTarget) []string {
	var orders []string
	for _, r := range f.seen() {
		if strings.HasPrefix(r.RequestURI, copyPath) {
			orders = append(orders, r.Method+" "+r.RequestURI)
		}
	}
	return orders
}

// copying answers orders to copy, and passes all else on to a script.
func copying(status int, script func(*fakeTarget, *http.Request, net.Conn)) func(*fakeTarget, *http.Request, net.Conn) {
	return func(f *fakeTarget, r *http.Request, c net.Conn) {
		if strings.HasPrefix(r.RequestURI, copyPath) {
			reply(c, "", status, "handle-1")
			return
		}
		script(f, r, c)
	}
}

// copySite is a run at one target, and two others that may keep its copy.
type copySite struct {
	*site
	source, holder, other *fakeTarget
}

// newCopySite plays a draft whose first holder is lost at its third event; at
// its sixth, once await reports true, atSixth is called.
func newCopySite(t *testing.T, status int, await func(*copySite) bool, atSixth func(c net.Conn) bool) (*copySite, string, error) {
	s := &copySite{}
	s.source = newFakeTarget(t, "i-1", "draft", "north", copying(status, draft(func(f *fakeTarget, c net.Conn, n int) bool {
		switch n {
		case 3:
			to := f.seen()[0].Header.Get("X-Copy-To")
			if s.holder.l.Addr().String() != to {
				s.holder, s.other = s.other, s.holder
			}
			s.tracker.SetEnded([]string{s.holder.id})
		case 6:
			require.Eventually(t, func() bool { return await(s) }, 5*time.Second, time.Millisecond)
			return atSixth(c)
		default:
			time.Sleep(copyWatch + 10*time.Millisecond) // the next look at the copy
		}
		return true
	})))
	s.holder = newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s.other = newFakeTarget(t, "i-3", "draft", "west", draft(nil))
	s.site = newSite(t, []*fakeTarget{s.source, s.holder, s.other}, WithStall(10*time.Second))
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-1"))
	return s, body, err
}

// copyName is how a holder is told to go on from the ordered copy.
func (s *copySite) copyName() string { return s.source.l.Addr().String() + "/handle-1" }

// copied reports whether the ordered copy has been taken.
func (s *copySite) copied() bool {
	for _, trace := range s.tracker.Traces() {
		if trace.CopyName == s.copyName() && trace.Copy == s.other.id {
			return true
		}
	}
	return false
}

// ordered reports whether a copy was ordered.
func (s *copySite) ordered() bool { return len(ordersOf(s.source)) > 0 }

func breakOff(c net.Conn) bool {
	c.Close()
	return false
}

func TestRunGoesOnFromTheCopyThatWasOrderedAnew(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusOK, (*copySite).copied, breakOff)
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, []string{"POST " + copyPath}, ordersOf(s.source))
	require.Empty(t, s.holder.seen(), "the lost holder is not asked")
	resumed := s.other.seen()[0]
	require.Equal(t, "5", resumed.Header.Get("X-Last"))
	require.Equal(t, s.copyName(), resumed.Header.Get("X-Copy-From"))
}

func TestOrderedCopyIsGivenUpAfterTheRun(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusOK, (*copySite).copied, func(net.Conn) bool { return true })
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Eventually(t, func() bool {
		orders := ordersOf(s.source)
		return len(orders) == 2 && orders[1] == "DELETE "+copyPath+"/handle-1"
	}, 5*time.Second, time.Millisecond)
}

func TestRunWithoutACopyIsReadAnew(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusServiceUnavailable, (*copySite).ordered, breakOff)
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Empty(t, s.other.seen()[0].Header.Get("X-Copy-From"))
}
