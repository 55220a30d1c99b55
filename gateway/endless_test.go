package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	comment         = ": keep-alive\n\n"
	endlessInterval = 10 * time.Millisecond
)

// writeEndless writes a chunk at an interval until the connection is closed, or for a time if
// that is positive.
func writeEndless(c net.Conn, text string, interval, span time.Duration) {
	began := time.Now()
	for span <= 0 || time.Since(began) < span {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// endlessAfter streams events up to one, and then a text without end.
func endlessAfter(events int, text string, interval time.Duration) func(*fakeTarget, *http.Request, net.Conn) {
	return draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n <= events {
			return true
		}
		writeEndless(c, text, interval, 0)
		return false
	})
}

// notEvents are texts by which a stream does not advance after event 4.
var notEvents = map[string]string{
	"comments":           comment,
	"blank lines":        "\n",
	"event without data": "id: 5\n\n",
	"event without ID":   "data: piece\n\n",
	"event sent before":  event(4),
}

func TestStreamIsResumedBesideALineThatNeverEnds(t *testing.T) {
	bad := newFakeTarget(t, "i-1", "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "seal-of-"+f.id)
		chunk(c, event(1)+event(2)+event(3)+event(4)+"x")
		writeEndless(c, "x", endlessInterval, 0)
	})
	good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s := newTestSite(t, []*fakeTarget{bad, good}, WithStall(testStall))
	began := time.Now()
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, "4", good.seen()[0].Header.Get("X-Last"))
}

func TestStreamIsResumedBesideEndlessBytesThatAreNoEvent(t *testing.T) {
	for name, text := range notEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newFakeTarget(t, "i-1", "draft", "north", endlessAfter(4, text, endlessInterval))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newTestSite(t, []*fakeTarget{bad, good}, WithStall(testStall))
			began := time.Now()
			_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), 2*time.Second)
			rest, begins := strings.CutPrefix(body, event(1)+event(2)+event(3)+event(4))
			require.True(t, begins, body)
			for strings.HasPrefix(rest, text) {
				rest = strings.TrimPrefix(rest, text)
			}
			require.Equal(t, wholeDraft(5), rest)
			require.Equal(t, "4", good.seen()[0].Header.Get("X-Last"))
		})
	}
}

func TestEndlessCommentsAreNotTheFirstEventOfAStream(t *testing.T) {
	for name, text := range map[string]string{"comments": comment, "blank lines": "\n", "event without data": "id: 1\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newFakeTarget(t, "i-1", "draft", "north", endlessAfter(0, text, endlessInterval))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newTestSite(t, []*fakeTarget{bad, good}, WithStall(testStall), WithFirstEvent(testStall))
			began := time.Now()
			resp, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), 2*time.Second)
			require.Equal(t, wholeDraft(1), body)
			require.Equal(t, "seal-of-i-2", resp.Header.Get("X-Seal"))
			require.Empty(t, good.seen()[0].Header.Get("X-Last"))
			require.Contains(t, s.metrics(), "walnutramp_gateway_first_event_seconds_count 1\n")
		})
	}
}

func TestHeadDoesNotProlongTheWaitForTheFirstEvent(t *testing.T) {
	for name, text := range map[string]string{"comments": comment, "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, _ int) bool {
				if text == "" {
					io.Copy(io.Discard, c) // until the connection is closed
				} else {
					writeEndless(c, text, endlessInterval, 0)
				}
				return false
			}))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newTestSite(t, []*fakeTarget{bad, good})
			began := time.Now()
			_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "3000"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), testTable().Route("a.example", "/draft/").LatencyObjective)
			require.Equal(t, wholeDraft(1), body)
		})
	}
}

func TestFirstEventOfAReplacementIsNotWaitedForUntilTheDeadline(t *testing.T) {
	bad := endlessAfter(0, comment, endlessInterval)
	good := newFakeTarget(t, "i-3", "draft", "south", draft(nil))
	s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", bad), newFakeTarget(t, "i-2", "draft", "north", bad), good})
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "5000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
}

func TestStreamWithoutIDsIsNotBegunAnew(t *testing.T) {
	unnumbered := func(f *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "seal-of-"+f.id)
		chunk(c, "data: a\n\ndata: b\n\n")
		c.Close()
	}
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", unnumbered), newFakeTarget(t, "i-2", "draft", "south", unnumbered)}
	s := newTestSite(t, targets)
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt"))
	require.Error(t, err)
	require.Equal(t, "data: a\n\ndata: b\n\n", body)
}

func TestSilentStreamWithoutIDsIsNotCutOff(t *testing.T) {
	silent := func(f *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "seal-of-"+f.id)
		chunk(c, "data: a\n\n")
		time.Sleep(testSilence)
		chunk(c, "data: b\n\n")
		streamEnd(c)
	}
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", silent), newFakeTarget(t, "i-2", "draft", "south", silent)}
	s := newTestSite(t, targets, WithStall(testStall))
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt"))
	require.NoError(t, err)
	require.Equal(t, "data: a\n\ndata: b\n\n", body)
}

func TestRelayedStreamIsResumedBesideEndlessComments(t *testing.T) {
	for _, events := range []int{0, 4} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			t.Parallel()
			bad := newFakeTarget(t, "i-1", "draft", "north", endlessAfter(events, comment, endlessInterval))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newRelaySite(t, 1, []*fakeTarget{bad, good}, WithStall(testStall), WithFirstEvent(testStall))
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "draft")
			began := time.Now()
			_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), 3*time.Second)
			require.Equal(t, wholeDraft(1), strings.ReplaceAll(body, comment, ""))
		})
	}
}

// A target may send comments while it reads a long prompt.
func TestStreamOfATargetThatSendsCommentsForAWhileIsNotCutOff(t *testing.T) {
	for _, before := range []int{1, 5, draftEvents} {
		t.Run(fmt.Sprintf("before event %d", before), func(t *testing.T) {
			t.Parallel()
			f := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
				if n == before {
					writeEndless(c, comment, endlessInterval, testSilence)
				}
				return true
			}))
			s := newTestSite(t, []*fakeTarget{f}, WithStall(testStall), WithFirstEvent(testStall))
			_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Contains(t, body, comment)
			require.Equal(t, wholeDraft(1), strings.ReplaceAll(body, comment, ""))
			require.Len(t, f.seen(), 1)
		})
	}
}

func TestCommentBetweenEventsReachesTheClientBeforeTheNextEvent(t *testing.T) {
	passed := make(chan struct{})
	f := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 2 {
			chunk(c, comment)
			<-passed
		}
		return true
	}))
	s := newTestSite(t, []*fakeTarget{f})
	resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", "/draft/", ""))
	require.NoError(t, err)
	defer resp.Body.Close()
	begun := make([]byte, len(event(1)+comment))
	_, err = io.ReadFull(resp.Body, begun)
	require.NoError(t, err)
	require.Equal(t, event(1)+comment, string(begun))
	close(passed)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, wholeDraft(2), string(rest))
}

func TestFloodOfCommentsEndsTheRun(t *testing.T) {
	flood := strings.Repeat(comment, 1000)
	for _, events := range []int{0, 4} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			t.Parallel()
			bad := newFakeTarget(t, "i-1", "draft", "north", endlessAfter(events, flood, 0))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newTestSite(t, []*fakeTarget{bad, good}, WithStall(5*time.Second))
			began := time.Now()
			_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Less(t, time.Since(began), 2*time.Second)
			require.Equal(t, wholeDraft(1), strings.ReplaceAll(body, comment, ""))
			require.LessOrEqual(t, len(body), len(wholeDraft(1))+maxFiller)
		})
	}
}
