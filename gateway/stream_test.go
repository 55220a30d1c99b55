package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/discovery"
)

const draftEvents = 9

// draft streams events from behind the client's last one, and calls at for
// each before it is written; false ends the script.
func draft(at func(f *fakeTarget, c net.Conn, n int) bool) func(*fakeTarget, *http.Request, net.Conn) {
	return func(f *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "seal-of-"+f.id)
		last, _ := strconv.Atoi(r.Header.Get("X-Last"))
		for n := last + 1; n <= draftEvents; n++ {
			if at != nil && !at(f, c, n) {
				return
			}
			chunk(c, event(n))
		}
		streamEnd(c)
	}
}

func wholeDraft(from int) string {
	var b strings.Builder
	for n := from; n <= draftEvents; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

func TestStreamGoesOnAtAnotherTarget(t *testing.T) {
	for name, breakOff := range map[string]func(c net.Conn){
		"closed":                 func(c net.Conn) { c.Close() },
		"reset":                  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"closed within an event": func(c net.Conn) { chunk(c, "id: 5\ndata: pie"); c.Close() },
		"silent":                 func(c net.Conn) { time.Sleep(2 * time.Second) },
		"bytes that are no chunk": func(c net.Conn) {
			io.WriteString(c, "zz\r\nrubbish")
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			breaking := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
				if n == 5 {
					breakOff(c)
				}
				return n != 5
			}))
			good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
			s := newSite(t, []*fakeTarget{breaking, good}, WithStall(300*time.Millisecond))
			resp, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, wholeDraft(1), body)
			require.Equal(t, "seal-of-i-1", resp.Header.Get("X-Seal"), "the first head stays")
			resumed := good.seen()[0]
			require.Equal(t, "4", resumed.Header.Get("X-Last"))
			require.Equal(t, good.l.Addr().String(), breaking.seen()[0].Header.Get("X-Copy-To"))
			require.Equal(t, good.l.Addr().String()+"/attempt-1", resumed.Header.Get("X-Copy-From"))
		})
	}
}

func TestStreamResumedByTheClient(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", draft(nil))
	s := newSite(t, []*fakeTarget{f})
	_, body, err := do(t, s.request(t, "POST", "/draft/", "", "X-Last", "6"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(7), body)
}

func TestStreamWithoutTargetsLooksBroken(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 3 {
			c.Close()
		}
		return n != 3
	}))
	s := newSite(t, []*fakeTarget{f})
	_, body, err := do(t, s.request(t, "POST", "/draft/", ""))
	require.Error(t, err, "what ends early must not look whole")
	require.Equal(t, event(1)+event(2), body)
}

func TestUnframedStreamIsNeverTakenForWhole(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Type: text/event-stream\r\n\r\n"+event(1))
		c.Close()
	})
	s := newSite(t, []*fakeTarget{f})
	_, _, err := do(t, s.request(t, "POST", "/draft/", ""))
	require.Error(t, err)
}

func TestClientThatLeavesStopsTheRun(t *testing.T) {
	stopped := make(chan struct{})
	f := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "s")
		chunk(c, event(1))
		io.Copy(io.Discard, c) // until the connection is closed
		close(stopped)
	})
	s := newSite(t, []*fakeTarget{f}, WithStall(10*time.Second))
	resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", "/draft/", "", "X-Deadline", "9000"))
	require.NoError(t, err)
	buffer := make([]byte, len(event(1)))
	_, err = io.ReadFull(resp.Body, buffer)
	require.NoError(t, err)
	resp.Body.Close()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the run goes on")
	}
	s.server.Close() // waits for the handler
	require.Empty(t, s.tracker.Suspects(), "the target did nothing wrong")
}

// goneClient takes one event, in however many writes.
type goneClient struct {
	*httptest.ResponseRecorder
}

func (c *goneClient) Write(p []byte) (int, error) {
	if c.Body.Len()+len(p) > len(event(1)) {
		return 0, syscall.EPIPE
	}
	return c.ResponseRecorder.Write(p)
}

// A run that stayed counted would take up room at its engine for ever.
func TestRunOfAClientThatLeftIsCountedOut(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", draft(nil))
	s := newSite(t, []*fakeTarget{f})
	r := s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60")
	r.RequestURI = "/draft/"
	require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() {
		s.gateway.ServeHTTP(&goneClient{ResponseRecorder: httptest.NewRecorder()}, r)
	})
	require.Empty(t, s.tracker.Runs())
	require.Len(t, f.seen(), 1, "nobody else is asked")
}

func TestTargetThatNeverBeginsIsGivenUp(t *testing.T) {
	gone := make(chan struct{})
	mute := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) {
		io.Copy(io.Discard, c)
		close(gone)
	})
	good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s := newSite(t, []*fakeTarget{mute, good}, WithFirstEvent(100*time.Millisecond))
	_, body, err := do(t, s.request(t, "POST", "/draft/", "", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Len(t, mute.seen(), 1)
	<-gone
}

// The aim of the route is a second and the client waits two: five seconds of
// patience for a first event would leave it without an answer.
func TestOverdueRunIsGivenUpWhileAnotherCanBeginInTime(t *testing.T) {
	mute := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) { io.Copy(io.Discard, c) })
	good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s := newSite(t, []*fakeTarget{mute, good})
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Usage", "300,60", "X-Deadline", "2000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Len(t, mute.seen(), 1)
}

func TestStallFollowsTheRoutesLongestPause(t *testing.T) {
	s := newSite(t, nil, WithStall(time.Second))
	require.Equal(t, time.Second, s.gateway.stall(&Route{}))
	for _, pause := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		stall := s.gateway.stall(&Route{GapAim: pause})
		require.Less(t, stall, pause*3/4, "time is left to go on elsewhere")
		require.Greater(t, stall, pause/2)
	}
}

// A copy of a run's memory is there only once the run has begun.
func TestNoCopyIsAskedForBeforeTheFirstEvent(t *testing.T) {
	breaking := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) { c.Close() })
	good := newFakeTarget(t, "i-2", "draft", "south", draft(nil))
	s := newSite(t, []*fakeTarget{breaking, good})
	_, body, err := do(t, s.request(t, "POST", "/draft/", "", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.NotEmpty(t, breaking.seen()[0].Header.Get("X-Copy-To"))
	require.Empty(t, good.seen()[0].Header.Get("X-Copy-From"))
}

// A run that waits for its first event can't tell that its target has lost
// power; what befalls the hall's other targets does.
func TestRunMovesFromAHallThatFallsSilent(t *testing.T) {
	asked := make(chan struct{})
	mute := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) {
		close(asked)
		io.Copy(io.Discard, c)
	})
	others := []string{"i-3", "i-4"}
	targets := []*fakeTarget{mute, newFakeTarget(t, "i-2", "draft", "south", draft(nil))}
	s := newSite(t, targets)
	list := []discovery.Target{targets[0].listed(), targets[1].listed()}
	for _, id := range others {
		list = append(list, discovery.Target{ID: id, Service: "draft", Address: "127.0.0.1:1", DataHall: "north", State: discovery.TargetDraining})
	}
	s.tracker.Update(list)
	go func() {
		<-asked
		s.tracker.SetSilent(others)
	}()
	_, body, err := do(t, s.request(t, "POST", "/draft/", "", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
}
