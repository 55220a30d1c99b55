package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
)

func do(t *testing.T, r *http.Request) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 418, "short and stout", "X-Seal: s1", "Connection: keep-alive", "Keep-Alive: timeout=5")
	})
	s := newTestSite(t, []*fakeTarget{f})
	resp, body, err := do(t, s.request(t, "POST", "/safe/x%2Fy?q=1&q=2", "hello", "X-Account", "forged", "X-System", "forged", "X-Own", "kept"))
	require.NoError(t, err)
	require.Equal(t, 418, resp.StatusCode)
	require.Equal(t, "short and stout", body)
	require.Equal(t, "s1", resp.Header.Get("X-Seal"))
	require.Empty(t, resp.Header.Get("Content-Type"), "no Content-Type is added")
	seen := f.seen()
	require.Len(t, seen, 1)
	require.Equal(t, "/safe/x%2Fy?q=1&q=2", seen[0].RequestURI)
	require.Equal(t, "a.example", seen[0].Host)
	require.Equal(t, "kept", seen[0].Header.Get("X-Own"))
	require.Equal(t, "i-1", seen[0].Header.Get("X-Expect"))
	require.Empty(t, seen[0].Header.Get("X-Account"), "a client can't set its account")
	require.Empty(t, seen[0].Header.Get("X-System"))
	require.EqualValues(t, 5, seen[0].ContentLength)
}

func TestGatewayErrors(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{f})
	table := testTable()
	table.Open, table.Accounts = false, map[string]Account{"k1": {Name: "acme"}}
	table.Limits = Limits{BodyBytes: 10, HeaderBytes: 2000}
	s.gateway.SetTable(table)
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"no route", "/nowhere/", "", nil, 404},
		{"no key", "/safe/", "", nil, 401},
		{"unknown key", "/safe/", "", []string{"X-Key", "k2"}, 401},
		{"known key", "/safe/", "", []string{"X-Key", "k1"}, 200},
		{"open route, the longer prefix", "/safe/deeper/", "", nil, 200},
		{"body too large", "/safe/", "12345678901", []string{"X-Key", "k1"}, 413},
		{"head too large", "/safe/", "", []string{"X-Key", "k1", "X-Big", strings.Repeat("x", 2000)}, 431},
		{"deadline unreadable", "/safe/", "", []string{"X-Key", "k1", "X-Deadline", "soon"}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, _, err := do(t, s.request(t, "POST", c.path, c.body, c.headers...))
			require.NoError(t, err)
			require.Equal(t, c.status, resp.StatusCode)
		})
	}
	for _, r := range f.seen() {
		require.Empty(t, r.Header.Get("X-Key"), "API keys are not forwarded")
	}
	require.Len(t, f.seen(), 2, "rejected requests reach no target")
	require.Equal(t, "acme", f.seen()[0].Header.Get("X-Account"))
}

func TestRequestWaitsForStart(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{f})
	fresh := New(s.tracker, s.gateway.pool, s.gateway.budgets, func() {}, WithNames(testNames))
	s.server.Config.Handler = fresh
	require.False(t, fresh.Ready())
	go func() {
		time.Sleep(100 * time.Millisecond)
		fresh.SetTable(testTable())
	}()
	resp, _, err := do(t, s.request(t, "GET", "/safe/", ""))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode, "it waits for the table")
	require.True(t, fresh.Ready())
}

func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	cut := func(_ *fakeTarget, _ *http.Request, c net.Conn) { c.Close() }
	a := newFakeTarget(t, "i-1", "lookup", "north", cut)
	b := newFakeTarget(t, "i-2", "lookup", "north", cut)
	s := newTestSite(t, []*fakeTarget{a, b})
	resp, _, err := do(t, s.request(t, "POST", "/once/", "book"))
	require.NoError(t, err)
	require.Equal(t, 502, resp.StatusCode, "it may have run")
	require.Equal(t, 1, len(a.seen())+len(b.seen()))
}

func TestUnsafeRequestIsRetriedAfterNotRun(t *testing.T) {
	full := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
	})
	other := newFakeTarget(t, "i-2", "lookup", "south", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "done")
	})
	s := newTestSite(t, []*fakeTarget{full, other})
	for range 4 {
		_, body, err := do(t, s.request(t, "POST", "/once/", "book"))
		require.NoError(t, err)
		require.Equal(t, "done", body)
	}
	require.NotEmpty(t, full.seen(), "the nearer target is tried first")
}

func TestAllTargetsFullIsReportedAsNotRun(t *testing.T) {
	full := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
	})
	s := newTestSite(t, []*fakeTarget{full})
	resp, body, err := do(t, s.request(t, "POST", "/once/", "book"))
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, `"not-run"`)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

func TestMisdirectedTargetIsRemoved(t *testing.T) {
	moved := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 421, "")
	})
	right := newFakeTarget(t, "i-2", "lookup", "south", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{moved, right})
	for range 3 {
		_, body, err := do(t, s.request(t, "POST", "/once/", ""))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.Len(t, moved.seen(), 1, "a misdirected target gets no more requests")
}

func TestSafeRequestIsRetriedAfterAFailure(t *testing.T) {
	failing := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 500, "sorry", "X-Seal: f")
	})
	good := newFakeTarget(t, "i-2", "lookup", "south", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{failing, good})
	_, body, err := do(t, s.request(t, "GET", "/safe/", ""))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}

func TestBudgetBoundsRetries(t *testing.T) {
	failing := func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 500, "sorry", "X-Seal: f")
	}
	a := newFakeTarget(t, "i-1", "lookup", "north", failing)
	b := newFakeTarget(t, "i-2", "lookup", "north", failing)
	s := newTestSite(t, []*fakeTarget{a, b})
	s.gateway.budgets = balance.NewBudgets(balance.BudgetConfig{Slack: 6, Window: time.Hour})
	for range 20 {
		resp, body, err := do(t, s.request(t, "GET", "/safe/", ""))
		require.NoError(t, err)
		require.Equal(t, 500, resp.StatusCode, "the target's own answer")
		require.Equal(t, "sorry", body)
	}
	require.Equal(t, 20+6, len(a.seen())+len(b.seen()), "the whole slack of a single node")
}

// A refused connection reaches no target and must not count as a retry.
func TestRefusedConnectionsConsumeNoRetryBudget(t *testing.T) {
	gone := []*fakeTarget{}
	for i := range 4 {
		f := newFakeTarget(t, fmt.Sprint("i-", i), "lookup", "north", nil)
		f.l.Close()
		gone = append(gone, f)
	}
	good := newFakeTarget(t, "i-9", "lookup", "south", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, append(gone, good))
	s.gateway.budgets = balance.NewBudgets(balance.BudgetConfig{Window: time.Hour})
	resp, body, err := do(t, s.request(t, "POST", "/once/", "book"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "ok", body)
}

func TestTruncatedShortAnswerIsNotForwarded(t *testing.T) {
	cut := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 10\r\n\r\nhalf")
		c.Close()
	})
	s := newTestSite(t, []*fakeTarget{cut})
	resp, _, err := do(t, s.request(t, "POST", "/once/", ""))
	require.NoError(t, err)
	require.Equal(t, 502, resp.StatusCode)
}

func TestTruncatedLongAnswerIsAborted(t *testing.T) {
	cut := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100000))
		c.Close()
	})
	s := newTestSite(t, []*fakeTarget{cut})
	_, _, err := do(t, s.request(t, "POST", "/once/", ""))
	require.Error(t, err)
}

func TestLongAnswerIsForwardedCompletely(t *testing.T) {
	long := strings.Repeat("0123456789", 50000)
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, long)
	})
	s := newTestSite(t, []*fakeTarget{f})
	_, body, err := do(t, s.request(t, "GET", "/safe/", ""))
	require.NoError(t, err)
	require.Equal(t, long, body)
}

func TestAnswerToAnotherRequestIsNotForwarded(t *testing.T) {
	for name, late := range map[string]string{
		"framed, then the right one": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate",
		"unframed":                   "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
				io.WriteString(c, late)
				if strings.HasPrefix(name, "framed") {
					reply(c, r.Header.Get("X-Id"), 200, "right")
					return
				}
				c.Close()
			})
			s := newTestSite(t, []*fakeTarget{f})
			resp, body, err := do(t, s.request(t, "POST", "/once/", ""))
			require.NoError(t, err)
			require.NotContains(t, body, "late")
			if resp.StatusCode == 200 {
				require.Equal(t, "right", body)
			}
		})
	}
}

func TestShutdownPhases(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	s := newTestSite(t, []*fakeTarget{f})
	s.gateway.BeginShutdown(time.Now().Add(time.Minute))
	require.False(t, s.gateway.Ready())
	resp, _, _ := do(t, s.request(t, "GET", "/safe/", ""))
	require.Equal(t, 200, resp.StatusCode, "requests are still served")
	s.gateway.CloseConnections()
	resp, _, _ = do(t, s.request(t, "GET", "/safe/", ""))
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	s.gateway.RejectRequests()
	resp, body, _ := do(t, s.request(t, "GET", "/safe/", ""))
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, "not-run")
}

func TestStoppingNodeAcceptsOnlyStreamsThatEndInTime(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", draft(nil))
	s := newTestSite(t, []*fakeTarget{f})
	s.gateway.BeginShutdown(time.Now().Add(4 * time.Second))
	resp, _, err := do(t, s.request(t, "POST", "/draft/", "", "X-Usage", "100,50"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode, "a short stream ends in time")
	resp, body, err := do(t, s.request(t, "POST", "/draft/", "", "X-Usage", "100,5000"))
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, "not-run")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	require.Len(t, f.seen(), 1)
}

// A request that does not state its output length is predicted from past runs.
func TestStoppingNodePredictsStreamsOfUnknownLengthFromPastRuns(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", draft(nil))
	s := newTestSite(t, []*fakeTarget{f})
	s.gateway.BeginShutdown(time.Now().Add(2 * time.Second))
	resp, _, err := do(t, s.request(t, "POST", "/draft/", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no past runs to predict from")

	s = newTestSite(t, []*fakeTarget{f})
	for range 12 {
		_, _, err := do(t, s.request(t, "POST", "/draft/", ""))
		require.NoError(t, err)
	}
	s.gateway.BeginShutdown(time.Now().Add(2 * time.Second))
	resp, _, err = do(t, s.request(t, "POST", "/draft/", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "past runs took milliseconds")
}

func TestNodeWithoutLeaseRejectsRequests(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok")
	})
	held := true
	s := newTestSite(t, []*fakeTarget{f}, WithLease(func() bool { return held }))
	resp, _, err := do(t, s.request(t, "GET", "/safe/", ""))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	held = false
	require.False(t, s.gateway.Ready())
	resp, body, err := do(t, s.request(t, "GET", "/safe/", ""))
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode)
	require.Contains(t, body, "not-run")
	require.Len(t, f.seen(), 1)
}

func TestNewDraftIsRejectedAtOnceWithoutEngineCapacity(t *testing.T) {
	release := make(chan struct{})
	f := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
		if n == 2 {
			<-release
		}
		return true
	}))
	s := newTestSite(t, []*fakeTarget{f}, WithStall(10*time.Second))
	table := testTable()
	table.Services["draft"] = Service{Name: "draft", Engine: true, Memory: 1000, Slots: 8}
	s.gateway.SetTable(table)
	usage := []string{"X-Usage", "600,100", "X-Deadline", "9000"}

	first := make(chan string, 1)
	go func() {
		_, body, _ := do(t, s.request(t, "POST", "/draft/", "", usage...))
		first <- body
	}()
	require.Eventually(t, func() bool { return len(f.seen()) == 1 }, 5*time.Second, time.Millisecond)

	resp, body, err := do(t, s.request(t, "POST", "/draft/", "", append(usage, "X-Id", "attempt-2")...))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, `"code":3001`)
	require.Contains(t, body, `"outcome":"not-run"`)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
	require.Len(t, f.seen(), 1, "a rejected request is not sent")

	close(release)
	require.Equal(t, wholeDraft(1), <-first)
	_, body, err = do(t, s.request(t, "POST", "/draft/", "", append(usage, "X-Id", "attempt-3", "X-Last", "6")...))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(7), body, "a resumed request is served")
}

// Priorities need not be contiguous; only their order matters.
func TestRanksFollowTheOrderOfPriorities(t *testing.T) {
	table := testTable()
	table.SetRoutes([]*Route{{Host: "a", Prefix: "/a/", Priority: 7}, {Host: "a", Prefix: "/b/", Priority: 2}})
	table.Accounts = map[string]Account{"k": {Name: "n", Priority: 4, HasPriority: true}, "o": {Name: "m"}}
	table.setRanks()
	require.Equal(t, map[int]int{2: 0, 4: 1, 7: 2}, table.ranks)
}

// A request whose deadline passed during a suspension of the machine must not be retried,
// although no timer has fired yet.
func TestRequestExpiredDuringSuspensionIsNotRetried(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		t.Cleanup(uptime.Pretend(5 * time.Second))
		c.Close()
	})
	g := newFakeTarget(t, "i-2", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		t.Cleanup(uptime.Pretend(5 * time.Second))
		c.Close()
	})
	s := newTestSite(t, []*fakeTarget{f, g})
	resp, _, err := do(t, s.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.Len(t, append(f.seen(), g.seen()...), 1)
}

// A request whose answers are lost repeatedly must not be quarantined while its targets
// still run.
func TestLostAnswersDoNotQuarantine(t *testing.T) {
	var targets []*fakeTarget
	for i := range 5 {
		targets = append(targets, newFakeTarget(t, fmt.Sprint("i-", i), "lookup", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) { c.Close() }))
	}
	s := newTestSite(t, targets)
	for i := range 5 {
		resp, body, err := do(t, s.request(t, "POST", "/once/x", "same", "X-Id", fmt.Sprint("attempt-", i)))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Contains(t, body, "target-failed")
		time.Sleep(50 * time.Millisecond)
	}
}

// The end of a draining target is no evidence against the requests it ran.
func TestEndOfADrainingTargetIsIgnored(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", nil)
	s := newTestSite(t, []*fakeTarget{f})
	target := s.tracker.Pick(balance.Choice{Service: "lookup"})
	s.gateway.recordConnectionLoss(&call{id: "a"}, target, quarantine.Settled)
	f.l.Close()
	list := listed([]*fakeTarget{f})
	list[0].State = discovery.TargetDraining
	s.tracker.Update(list)
	c := &call{id: "a", sentAt: time.Now()}
	s.gateway.recordConnectionLoss(c, target, quarantine.Begun)
	require.Nil(t, c.crashProbe)
}

// Clients repeat a request after a status that promises that it has not run, so a target's
// own status of that kind must not reach them for a request that may have run.
func TestStatusThatFalselyPromisesNotRunIsNotForwarded(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		for path, forwarded := range map[string]bool{"/once/x": false, "/drafts-once/x": false, "/safe/x": true} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				answer := func(_ *fakeTarget, r *http.Request, c net.Conn) {
					reply(c, r.Header.Get("X-Id"), status, "ran", "X-Seal: s1")
				}
				s := newTestSite(t, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answer), newFakeTarget(t, "i-2", "draft", "north", answer)})
				table := testTable()
				table.SetRoutes([]*Route{
					table.Route("a.example", "/once/x"), table.Route("a.example", "/safe/x"),
					{Name: "drafts-once", Host: "a.example", Prefix: "/drafts-once/", Kind: Stream, Timeout: 3 * time.Second, LatencyObjective: time.Second, MaxAttempts: 3, Split: []WeightedService{{"draft", 1}}},
				})
				s.gateway.SetTable(table)
				resp, _, err := do(t, s.request(t, "POST", path, "book"))
				require.NoError(t, err)
				if forwarded {
					require.Equal(t, status, resp.StatusCode)
					return
				}
				require.Equal(t, 502, resp.StatusCode)
			})
		}
	}
}
