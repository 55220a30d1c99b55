package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// overloaded turns requests away with a word on the rest that it wants, in seconds,
// while it has too much to do; else it answers by a script.
type overloaded struct {
	rest   atomic.Int64
	leaves atomic.Bool
	script func(*fakeTarget, *http.Request, net.Conn)
}

func (d *overloaded) answer(f *fakeTarget, r *http.Request, c net.Conn) {
	if rest := d.rest.Load(); rest > 0 {
		reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1", fmt.Sprintf("X-Rest: %d", rest))
		return
	}
	if d.leaves.Load() {
		reply(c, r.Header.Get("X-Id"), 200, "last words", "X-Leaves: 1")
		return
	}
	if d.script != nil {
		d.script(f, r, c)
		return
	}
	reply(c, r.Header.Get("X-Id"), 200, "ok")
}

func newOverloaded(seconds int64) *overloaded {
	d := &overloaded{}
	d.rest.Store(seconds)
	return d
}

// parseTestSigns reads the signs of the tests' dialect.
func parseTestSigns(status int, h http.Header) Signs {
	seconds, _ := strconv.Atoi(h.Get("X-Rest"))
	return Signs{Rest: time.Duration(seconds) * time.Second, Leaves: h.Get("X-Leaves") == "1"}
}

// ask sends a request on a route and returns its status and body.
func (s *site) ask(t *testing.T, path string) (int, string) {
	t.Helper()
	resp, body, err := do(t, s.request(t, "POST", path, "x", "X-Usage", "100,60", "X-Deadline", "9000"))
	require.NoError(t, err)
	return resp.StatusCode, body
}

// target returns a target by its ID.
func (s *site) target(id string) *balance.Target {
	return s.tracker.Pick(balance.Choice{Service: "draft", Exclude: func(t *balance.Target) bool { return t.ID != id }})
}

func TestTargetThatAskedForRestGetsNothing(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/"} {
		busy := newOverloaded(60)
		targets := []*fakeTarget{
			newFakeTarget(t, "i-1", "lookup", "north", busy.answer),
			newFakeTarget(t, "i-2", "lookup", "north", newOverloaded(0).answer),
		}
		s := newSite(t, targets)
		for range 30 {
			status, _ := s.ask(t, path)
			require.Equal(t, 200, status)
		}
		require.Len(t, targets[0].seen(), 1, "the one that it turned away")
		busy.rest.Store(0)
		t.Cleanup(uptime.Pretend(61 * time.Second))
		for range 30 {
			status, _ := s.ask(t, path)
			require.Equal(t, 200, status)
		}
		require.Greater(t, len(targets[0].seen()), 5, "it has rested")
	}
}

// Its service's only target turned a request away: the next ones are refused at
// once, as not run, and are told to come back when it has rested, not all at the
// same moment.
func TestRequestsOfATargetAloneWaitForItsRest(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/draft/"} {
		service := "lookup"
		if path == "/draft/" {
			service = "draft"
		}
		f := newFakeTarget(t, "i-1", service, "north", newOverloaded(40).answer)
		s := newSite(t, []*fakeTarget{f})
		began := time.Now()
		after := map[string]bool{}
		for range 5 {
			resp, body, err := do(t, s.request(t, "POST", path, "x"))
			require.NoError(t, err)
			require.Equal(t, 503, resp.StatusCode)
			require.Contains(t, body, "targets-rest")
			require.Contains(t, body, "not-run")
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 45, seconds, 5.1)
			after[resp.Header.Get("Retry-After")] = true
		}
		require.Len(t, f.seen(), 1)
		require.Greater(t, len(after), 1, "not all at the same moment")
		require.Less(t, time.Since(began), 400*time.Millisecond, "no request is held for what can't come in time")
	}
}

// A rest that ends within what a request may wait is waited for.
func TestShortRestIsWaitedFor(t *testing.T) {
	busy := newOverloaded(60)
	f := newFakeTarget(t, "i-1", "lookup", "north", busy.answer)
	s := newSite(t, []*fakeTarget{f})
	status, _ := s.ask(t, "/safe/")
	require.Equal(t, 503, status)
	busy.rest.Store(0)
	t.Cleanup(uptime.Pretend(60*time.Second - 200*time.Millisecond))
	status, _ = s.ask(t, "/safe/")
	require.Equal(t, 200, status)
	require.Len(t, f.seen(), 2)
}

// All targets rest, then none: each gets one request first.
func TestWhenAllTargetsRest(t *testing.T) {
	busy := newOverloaded(60)
	targets := []*fakeTarget{
		newFakeTarget(t, "i-1", "lookup", "north", busy.answer), newFakeTarget(t, "i-2", "lookup", "north", busy.answer),
	}
	s := newSite(t, targets)
	for range 10 {
		status, _ := s.ask(t, "/once/")
		require.Equal(t, 503, status)
	}
	require.Len(t, targets[0].seen(), 1)
	require.Len(t, targets[1].seen(), 1)
	busy.rest.Store(0)
	t.Cleanup(uptime.Pretend(61 * time.Second))
	for range 10 {
		status, _ := s.ask(t, "/once/")
		require.Equal(t, 200, status)
	}
}

// A target alone still has too much to do when its rest is over: of all that come
// then, it has to turn one away.
func TestTargetThatIsNotRestedTurnsOneRequestAway(t *testing.T) {
	busy := newOverloaded(60)
	slow := busy.answer
	f := newFakeTarget(t, "i-1", "lookup", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		time.Sleep(50 * time.Millisecond) // all others have come by then
		slow(f, r, c)
	})
	s := newSite(t, []*fakeTarget{f})
	status, _ := s.ask(t, "/once/")
	require.Equal(t, 503, status)
	t.Cleanup(uptime.Pretend(61 * time.Second))
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() { s.ask(t, "/once/") })
	}
	wait.Wait()
	require.Len(t, f.seen(), 2)
}

func TestTargetThatSaysItLeavesGetsNoMore(t *testing.T) {
	leaver := newOverloaded(0)
	leaver.leaves.Store(true)
	targets := []*fakeTarget{
		newFakeTarget(t, "i-1", "lookup", "north", leaver.answer), newFakeTarget(t, "i-2", "lookup", "north", newOverloaded(0).answer),
	}
	s := newSite(t, targets)
	for range 30 {
		status, _ := s.ask(t, "/safe/")
		require.Equal(t, 200, status)
		s.tracker.Update(listed(targets)) // which does not know yet
	}
	require.Len(t, targets[0].seen(), 1)
}

// A run broke off, and the target that keeps its copy has asked for rest: the run
// goes on elsewhere.
func TestRunDoesNotGoOnAtAHolderThatRests(t *testing.T) {
	fresh := newFakeTarget(t, "i-4", "draft", "north", draft(nil))
	s, body, err := newCopySite(t, http.StatusOK, func(s *copySite) bool {
		if !s.copied() {
			return false
		}
		s.target(s.other.id).AskedForRest(time.Minute)
		s.tracker.Update(listed([]*fakeTarget{s.source, s.holder, s.other, fresh}))
		return true
	}, breakOff)
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Empty(t, s.other.seen())
	require.Empty(t, fresh.seen()[0].Header.Get("X-Copy-From"), "read anew")
}

// While a run is under way, its target says what it wants, and the copy is lost.
func ordersAfter(t *testing.T, word func(*balance.Target)) []string {
	s := &copySite{}
	others := []*fakeTarget{newFakeTarget(t, "i-2", "draft", "south", draft(nil)), newFakeTarget(t, "i-3", "draft", "west", draft(nil)),
		newFakeTarget(t, "i-4", "draft", "east", draft(nil))}
	source := newFakeTarget(t, "i-1", "draft", "north", copying(http.StatusOK, draft(func(f *fakeTarget, c net.Conn, n int) bool {
		if n == 3 {
			word(s.target(f.id))
			at := slices.IndexFunc(others, func(o *fakeTarget) bool { return o.l.Addr().String() == f.seen()[0].Header.Get("X-Copy-To") })
			s.tracker.SetEnded([]string{others[at].id})
		}
		time.Sleep(copyWatch + 10*time.Millisecond)
		return true
	})))
	s.site = newSite(t, append(others, source), WithStall(10*time.Second))
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60", "X-Prefix", "part-1"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	return ordersOf(source)
}

func TestTargetThatRestsGetsNoOrders(t *testing.T) {
	require.Empty(t, ordersAfter(t, func(target *balance.Target) { target.AskedForRest(time.Minute) }))
}

// Of a target that leaves the runs are copied away.
func TestTargetThatLeavesGetsOrders(t *testing.T) {
	require.NotEmpty(t, ordersAfter(t, (*balance.Target).SaidLeaving))
}

// Between the choice of a target and the sending, the target answers another
// request, or the machine is suspended: the word that came meanwhile counts.
func TestWordThatComesWhileARequestIsOnItsWayCounts(t *testing.T) {
	for name, word := range map[string]func(*balance.Target){
		"it wants rest": func(target *balance.Target) { target.AskedForRest(time.Minute) },
		"it leaves":     (*balance.Target).SaidLeaving,
		"it has just got a first": func(target *balance.Target) {
			target.AskedForRest(time.Second)
			t.Cleanup(uptime.Pretend(2 * time.Second))
			require.True(t, target.Admit())
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTarget(t, "i-1", "draft", "north", newOverloaded(0).answer)
			s := newSite(t, []*fakeTarget{f})
			target := s.target("i-1")
			word(target)
			c := &call{id: "a", header: http.Header{"X-Id": {"a"}}, method: "GET", uri: "/", host: "a.example", deadline: uptime.Now()}
			answer, err := s.gateway.ask(t.Context(), target, purposeFirst, s.gateway.request(c, target))
			if err == nil {
				answer.Close()
			}
			require.ErrorIs(t, err, errNotWanted)
			require.Empty(t, f.seen())
		})
	}
}

// A run is given up at the moment at which the head of its answer is there: it counts
// as one that its target may have begun, once, and not as moved besides. All five
// targets that the route allows are asked, where three were.
func TestRunThatIsGivenUpAsItsAnswerComesCountsOnce(t *testing.T) {
	var s *site
	names := testNames
	names.ParseLoad = func(string) (balance.Load, bool) {
		s.gateway.pending.end(errTargetSilent, func(*pendingRun) bool { return true })
		return balance.Load{}, false
	}
	var targets []*fakeTarget
	for n := range 6 {
		targets = append(targets, newFakeTarget(t, fmt.Sprint("i-", n), "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Load: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		}))
	}
	s = newSite(t, targets, WithNames(names))
	resp, err := http.DefaultTransport.RoundTrip(s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	resp.Body.Close()
	asked := 0
	for _, f := range targets {
		asked += len(f.seen())
	}
	require.Equal(t, 5, asked)
}
