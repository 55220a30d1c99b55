package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/rollout"
)

const (
	testStall   = 100 * time.Millisecond
	testSilence = 6 * testStall
)

// silentDraft is silent for testSilence before one event, every time.
func silentDraft(before int) func(*fakeTarget, *http.Request, net.Conn) {
	return draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
		if n == before {
			time.Sleep(testSilence)
		}
		return true
	})
}

// spendBudget leaves a gateway without any retry.
func spendBudget(g *Gateway) {
	g.budgets = balance.NewBudgets(balance.BudgetConfig{Window: 10 * time.Second})
}

// lateBorrow lends a retry for drafts to a gateway from the fifth question on.
func lateBorrow(to func() *Gateway) func(context.Context, string) bool {
	var asked atomic.Int64
	return func(context.Context, string) bool {
		if asked.Add(1) < 5 {
			return false
		}
		to().budgets.Of("draft").AddBorrowed(uptime.Now())
		return true
	}
}

// allowRuns sets how many targets one request for a draft may run at.
func allowRuns(s *testSite, attempts int) {
	table := testTable()
	table.Route("a.example", "/draft/x").MaxAttempts = attempts
	s.gateway.SetTable(table)
}

// An answer must not be cut off for its target's silence if nothing can take its place.
func TestStreamOfASilentTargetIsNotCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		targets int
		prepare func(*testSite)
	}{
		"no other target":  {1, func(*testSite) {}},
		"no retry left":    {2, func(s *testSite) { spendBudget(s.gateway) }},
		"the last attempt": {2, func(s *testSite) { allowRuns(s, 1) }},
	} {
		for _, silentBefore := range []int{1, 2, draftEvents} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var targets []*fakeTarget
				for _, id := range []string{"i-1", "i-2"}[:c.targets] {
					targets = append(targets, newFakeTarget(t, id, "draft", "north", silentDraft(silentBefore)))
				}
				s := newTestSite(t, targets, WithStall(testStall), WithFirstEvent(testStall))
				c.prepare(s)
				resp, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode)
				require.Equal(t, wholeDraft(1), body)
				require.Len(t, seenBy(targets), 1)
			})
		}
	}
}

// A silent run is replaced as soon as that becomes possible.
func TestSilentRunIsReplacedOnceThereIsATarget(t *testing.T) {
	silent := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
		if n == 3 {
			time.Sleep(9 * time.Second)
		}
		return true
	}))
	other := newFakeTarget(t, "i-2", "draft", "north", draft(nil))
	s := newTestSite(t, []*fakeTarget{silent}, WithStall(testStall))
	time.AfterFunc(testSilence, func() { s.tracker.Update(listed([]*fakeTarget{silent, other})) })
	began := time.Now()
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Less(t, time.Since(began), 2*time.Second)
	require.Len(t, other.seen(), 1)
}

// The last answer to a safe request is waited for, however late.
func TestSilentTargetOfASafeRequestIsWaitedFor(t *testing.T) {
	late := func(_ *fakeTarget, r *http.Request, c net.Conn) {
		time.Sleep(testSilence)
		reply(c, r.Header.Get("X-Id"), 200, "late")
	}
	for name, prepare := range map[string]func(*testSite){
		"no other target": func(*testSite) {},
		"no retry left":   func(s *testSite) { spendBudget(s.gateway) },
	} {
		t.Run(name, func(t *testing.T) {
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", late)}
			if name == "no retry left" {
				targets = append(targets, newFakeTarget(t, "i-2", "lookup", "north", late))
			}
			s := newTestSite(t, targets)
			table := testTable()
			table.Route("a.example", "/safe/x").LatencyObjective = testStall / attemptTimeoutFactor
			s.gateway.SetTable(table)
			prepare(s)
			resp, body, err := do(t, s.request(t, "GET", "/safe/x", "", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, "late", body)
			require.Len(t, seenBy(targets), 1)
		})
	}
}

// The ingress knows whether a retry is left, so the egress leaves a silent stream to it.
func TestRelayedStreamOfASilentTargetIsNotCutOff(t *testing.T) {
	var silences atomic.Int64
	script := draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
		if n == 3 {
			silences.Add(1)
			time.Sleep(time.Second) // more than the default stall timeout
		}
		return true
	})
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
	s := newRelaySite(t, 2, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	spendBudget(s.ingress.gateway)
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, int64(1), silences.Load())
}

// A stream that was moved for its target's silence waits for a retry when the next target
// rejects it.
func TestMovedStreamWaitsForARetry(t *testing.T) {
	silent := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 3 {
			c.Read(make([]byte, 1)) // until the run is given up
			return false
		}
		return true
	}))
	var requests atomic.Int64
	full := newFakeTarget(t, "i-2", "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
		if r.RequestURI == copyPath {
			return
		}
		if requests.Add(1) == 1 {
			reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
			return
		}
		draft(nil)(f, r, c)
	})
	var s *testSite
	s = newTestSite(t, []*fakeTarget{silent}, WithStall(testStall), WithBorrow(lateBorrow(func() *Gateway { return s.gateway })))
	s.gateway.budgets = balance.NewBudgets(balance.BudgetConfig{Slack: 1, Window: 10 * time.Second})
	time.AfterFunc(testStall/2, func() { s.tracker.Update(listed([]*fakeTarget{silent, full})) })
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, int64(2), requests.Load())
}

// The map is read while other requests fail; two goroutines at one map end the process.
func TestReplacementDoesNotShareTheFailedHalls(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", draft(nil))
	s := newTestSite(t, []*fakeTarget{f})
	c := &call{route: s.gateway.table.Load().Route("a.example", "/draft/x"), service: "draft", failedHalls: map[string]int{"north": 1}}
	p := s.gateway.newReplacement(c, nil)
	c.failedHalls["north"]++
	require.Equal(t, map[string]int{"north": 1}, p.choice.FailedHalls)
}

// A run must not be given up for a target that the next selection does not choose.
func TestSilentRunIsKeptWhileNoOtherTargetTakesIt(t *testing.T) {
	const silence = 10 * testStall // more than the latency objective below
	for name, c := range map[string]struct {
		version      string
		silentBefore int
		occupy       func(*testSite)
	}{
		"at its rate limit": {"v1", 1, func(s *testSite) {
			s.gateway.cfg.Limits.Observe("i-2", ratelimit.Signal{Published: true, PerSecond: 0.01})
			for denied := false; !denied; {
				_, denial := s.gateway.cfg.Limits.Acquire(t.Context(), ratelimit.Request{Target: "i-2"})
				denied = denial != nil
			}
		}},
		"brittle, with no free slot": {"v1", 1, func(s *testSite) {
			for free := true; free; {
				_, free = s.gateway.cfg.InFlight.Acquire(t.Context(), inflight.Request{Service: "draft", Target: "i-2", Slots: 8, TTL: time.Minute})
			}
		}},
		"of a version that was rolled back": {"v2", 3, func(s *testSite) {
			(&versionSite{testSite: s, agent: s.gateway.cfg.Rollouts}).setView("draft", rollout.RolledBack)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *testSite
			var list []discovery.Target
			ready := make(chan struct{}) // closed once s and list are set
			var targets []*fakeTarget
			for _, id := range []string{"i-1", "i-2"} {
				targets = append(targets, newFakeTarget(t, id, "draft", "north", draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
					if n == c.silentBefore {
						<-ready
						s.tracker.Update(list)
						c.occupy(s)
						time.Sleep(silence)
					}
					return true
				})))
			}
			list = withVersions([]string{c.version, c.version}, targets...)
			agent := rollout.NewAgent(1)
			s = newTestSite(t, nil, WithStall(testStall), WithFirstEvent(testStall), WithRollouts(agent))
			v := &versionSite{testSite: s, agent: agent}
			v.setView("draft", rollout.Running)
			v.setPermit("draft", 1)
			table := testTable()
			table.Route("a.example", "/draft/x").LatencyObjective = testStall
			s.gateway.SetTable(table)
			s.tracker.Update(list[:1])
			if name == "brittle, with no free slot" {
				s.sayBrittle("draft") // before the gateway reads what it sets
			}
			close(ready)
			resp, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode, body)
			require.Equal(t, wholeDraft(1), body)
			require.Empty(t, targets[1].seen())
		})
	}
}

// A target that has rejected a request is asked again when another one has been silent for long.
func TestSilentRunIsReplacedByATargetThatRejectedItBefore(t *testing.T) {
	var s *testSite
	var list []discovery.Target
	var asked atomic.Int64
	targets := []*fakeTarget{
		newFakeTarget(t, "i-1", "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
			if asked.Add(1) > 1 {
				draft(nil)(f, r, c)
				return
			}
			s.tracker.Update(list)
			reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
		}),
		newFakeTarget(t, "i-2", "draft", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) { c.Read(make([]byte, 1)) }),
	}
	list = listed(targets)
	s = newTestSite(t, targets[:1], WithFirstEvent(testStall))
	resp, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode, body)
	require.Equal(t, wholeDraft(1), body)
}

// lateDraft is a draft whose first event is late; arrived gets each run.
func lateDraft(arrived chan<- struct{}) func(*fakeTarget, *http.Request, net.Conn) {
	return func(f *fakeTarget, r *http.Request, c net.Conn) {
		if r.RequestURI != copyPath {
			arrived <- struct{}{}
			time.Sleep(lateFirstEvent)
		}
		draft(nil)(f, r, c)
	}
}

// lateFirstEvent is longer than it takes to find that a path is lost.
const lateFirstEvent = time.Second

// A path that is lost for a moment must not end a run that nothing can replace.
func TestRunIsKeptWhileItsPathIsLostForAMoment(t *testing.T) {
	for name, c := range map[string]struct {
		others  int
		prepare func(*testSite)
	}{
		"no other node": {0, func(*testSite) {}},
		"no retry left": {1, func(s *testSite) {
			s.gateway.budgets = balance.NewBudgets(balance.BudgetConfig{Slack: 1, Window: 10 * time.Second})
		}},
	} {
		for _, begun := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", begun ", begun), func(t *testing.T) {
				t.Parallel()
				arrived := make(chan struct{}, 10)
				late := newFakeTarget(t, "i-1", "draft", "north", lateDraft(arrived))
				broken := newFakeTarget(t, "i-2", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool { return n < 3 }))
				s := newRelaySite(t, c.others, []*fakeTarget{late})
				c.prepare(s.ingress.testSite)
				if begun {
					s.ingress.tracker.Update(listed([]*fakeTarget{broken}))
					time.AfterFunc(testStall, func() { s.ingress.tracker.Update(listed([]*fakeTarget{broken, late})) })
				} else if name == "no retry left" {
					spendBudget(s.ingress.gateway)
				}
				go func() {
					<-arrived
					s.ingress.failure.Store(&errSilent)
					s.ingress.lostPath(t, "draft")
					s.ingress.heal()
				}()
				resp, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode, body)
				require.Equal(t, wholeDraft(1), body)
				require.Len(t, late.seen(), 1)
			})
		}
	}
}

// rejectingUntil rejects all requests until a time, and serves drafts from then on.
func rejectingUntil(until time.Time) func(*fakeTarget, *http.Request, net.Conn) {
	return func(f *fakeTarget, r *http.Request, c net.Conn) {
		if r.RequestURI != copyPath && time.Now().Before(until) {
			reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
			return
		}
		draft(nil)(f, r, c)
	}
}

// A node that has ended a silent run must not cut the stream off as long as other targets are
// full.
func TestMovedStreamOutlastsFullTargets(t *testing.T) {
	const fullTime = versionWait + time.Second
	for name, c := range map[string]struct {
		silentBefore int
		retries      float64
	}{
		"a retry is left":                          {3, 200},
		"no retry is left":                         {3, 1},
		"a retry is left, before the first event":  {1, 200},
		"no retry is left, before the first event": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silentOnce := draft(func(_ *fakeTarget, conn net.Conn, n int) bool {
				if n == c.silentBefore {
					conn.Read(make([]byte, 1)) // until the run is given up
				}
				return n < c.silentBefore
			})
			freeAt := time.Now().Add(fullTime)
			full := newFakeTarget(t, "i-2", "draft", "north", rejectingUntil(freeAt))
			silent := newFakeTarget(t, "i-1", "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
				if r.Header.Get("X-Last") == "" {
					silentOnce(f, r, c)
					return
				}
				full.script(f, r, c)
			})
			var s *testSite
			borrow := func(context.Context, string) bool {
				if time.Now().Before(freeAt) {
					return false
				}
				s.gateway.budgets.Of("draft").AddBorrowed(uptime.Now())
				return true
			}
			s = newTestSite(t, []*fakeTarget{silent}, WithStall(testStall), WithFirstEvent(testStall), WithBorrow(borrow))
			s.gateway.budgets = balance.NewBudgets(balance.BudgetConfig{Slack: c.retries, Window: 10 * time.Second})
			time.AfterFunc(testStall/2, func() { s.tracker.Update(listed([]*fakeTarget{silent, full})) })
			_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, wholeDraft(1), body)
		})
	}
}

// A silent run must be kept while all other targets have just rejected requests.
func TestSilentRunIsKeptWhileOtherTargetsAreFull(t *testing.T) {
	silent := newFakeTarget(t, "i-1", "draft", "north", silentDraft(3))
	full := newFakeTarget(t, "i-2", "draft", "north", rejectingUntil(time.Now().Add(time.Hour)))
	s := newTestSite(t, []*fakeTarget{silent}, WithStall(testStall))
	s.tracker.Update(listed([]*fakeTarget{silent, full}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for s.tracker.Target("i-2").RecordFull(); pause.For(ctx, testStall/2); {
			s.tracker.Target("i-2").RecordFull()
		}
	}()
	require.Eventually(t, func() bool { return !s.tracker.Target("i-2").Usable() }, time.Second, time.Millisecond)
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Len(t, silent.seen(), 1)
	require.Empty(t, full.seen())
}

// A request that can't be sent since the path is lost must be refused at once.
func TestRunThatDialsOnALostPathIsNotKept(t *testing.T) {
	s := newRelaySite(t, 0, []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", draft(nil))})
	s.ingress.cut(errSilent)
	began := time.Now()
	go func() {
		for s.ingress.dialed.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		s.ingress.gateway.paths.Suspect("draft")
	}()
	status, body := s.ingress.post(t, "/draft/")
	require.Equal(t, 503, status)
	require.Contains(t, body, `"code":3011`)
	require.Less(t, time.Since(began), time.Second)
}

// A timeout that passes once the head of a long answer may be sent must not cut the rest off.
func TestLongAnswerIsNotCutOffByTheTimeoutOfItsAttempt(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 64<<10)
	script := func(_ *fakeTarget, r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 200, long) }
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", script), newFakeTarget(t, "i-2", "lookup", "north", script)}
	s := newTestSite(t, targets)
	table := testTable()
	table.Route("a.example", "/safe/x").LatencyObjective = minAttemptTimeout / attemptTimeoutFactor
	s.gateway.SetTable(table)
	ledger := s.gateway.cfg.Quarantine.Ledger
	ledger.RecordCrash(quarantine.Report{Content: quarantine.FingerprintOf([]byte("hello"), "", "a.example", "POST", "/safe/x"), Target: 1, Standing: quarantine.Begun})
	ledger.OnReport(func() { time.Sleep(2 * minAttemptTimeout) }) // as a process that does not run
	resp, body, err := do(t, s.request(t, "POST", "/safe/x", "hello"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, len(long), len(body))
}

// While no node reaches any target, a stream whose connection lives on must not be cut off
// for its target's silence.
func TestSilentStreamIsKeptWhileNoNodeReachesTargets(t *testing.T) {
	for name, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *relaySite
			var silences atomic.Int64
			script := draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
				if n == 3 && silences.Add(1) == 1 {
					nodes := append([]*cuttableNode{s.ingress}, s.others...)
					for _, n := range nodes {
						n.failure.Store(&failure)
					}
					time.Sleep(1200 * time.Millisecond)
					for _, n := range nodes {
						n.heal()
					}
				}
				return true
			})
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
			s = newRelaySite(t, 2, targets)
			resp, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, wholeDraft(1), body)
		})
	}
}

// A silent run must not be given up for a target that has no room for it.
func TestSilentRunIsNotMovedToAFullTarget(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", silentDraft(3)), newFakeTarget(t, "i-2", "draft", "north", silentDraft(3))}
	s := newTestSite(t, targets, WithStall(testStall))
	table := testTable()
	table.Services["draft"] = Service{Name: "draft", Engine: true, Slots: 1}
	s.gateway.SetTable(table)
	var streams sync.WaitGroup
	for i := range targets {
		streams.Go(func() {
			_, body, err := do(t, s.request(t, "POST", "/draft/", fmt.Sprint("prompt ", i), "X-Id", fmt.Sprint("attempt-", i), "X-Deadline", "9000", "X-Usage", "100,60"))
			assert.NoError(t, err)
			assert.Equal(t, wholeDraft(1), body)
		})
	}
	streams.Wait()
	require.Len(t, seenBy(targets), len(targets))
}

// A run that is moved after the head of its answer waits for a full target, too.
func TestRunMovedAfterItsHeadOutlastsFullTargets(t *testing.T) {
	arrived := make(chan struct{}, 1)
	silent := newFakeTarget(t, "i-1", "draft", "north", draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 1 {
			arrived <- struct{}{}
			c.Read(make([]byte, 1)) // until the run is given up
			return false
		}
		return true
	}))
	full := newFakeTarget(t, "i-2", "draft", "north", rejectingUntil(time.Now().Add(10*testStall)))
	s := newTestSite(t, []*fakeTarget{silent})
	go func() {
		<-arrived
		time.Sleep(testStall) // until the head is read
		s.tracker.Update(listed([]*fakeTarget{silent, full}))
		s.gateway.pending.cancelWhere(errTargetUnresponsive, func(r *pendingRun) bool { return r.replacement.reserve(context.Background(), false) })
	}()
	_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "5000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
}

// A request whose service has no target any more is answered at once.
func TestStreamGivenUpIsAnsweredOnceItsServiceHasNoTarget(t *testing.T) {
	silent := newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, _ *http.Request, c net.Conn) { c.Read(make([]byte, 1)) })
	var s *testSite
	full := newFakeTarget(t, "i-2", "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		s.tracker.Update(listed(nil))
		reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
	})
	s = newTestSite(t, []*fakeTarget{silent}, WithStall(testStall), WithFirstEvent(testStall))
	time.AfterFunc(testStall/2, func() { s.tracker.Update(listed([]*fakeTarget{silent, full})) })
	began := time.Now()
	resp, _, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "6000"))
	require.NoError(t, err)
	require.Equal(t, 502, resp.StatusCode)
	require.Less(t, time.Since(began), 3*time.Second)
}

// Several silent runs must not all be given up for the one place that another target has.
func TestSilentRunsAreNotAllGivenUpForOnePlace(t *testing.T) {
	for name, before := range map[string]int{"before the first event": 1, "begun": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const streams = 3
			var silent []*fakeTarget
			var arrived sync.WaitGroup
			arrived.Add(streams)
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				var runs atomic.Int64
				slow := silentDraft(before)
				silent = append(silent, newFakeTarget(t, id, "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
					if r.RequestURI != copyPath && runs.Add(1) > 1 {
						reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
						return
					}
					if r.RequestURI != copyPath {
						arrived.Done()
						arrived.Wait() // all fall silent at once
					}
					slow(f, r, c)
				}))
			}
			var taken atomic.Bool
			spare := newFakeTarget(t, "i-9", "draft", "north", func(f *fakeTarget, r *http.Request, c net.Conn) {
				if r.RequestURI != copyPath && !taken.CompareAndSwap(false, true) {
					reply(c, r.Header.Get("X-Id"), 503, "", "X-Not-Run: 1")
					return
				}
				draft(nil)(f, r, c)
			})
			s := newTestSite(t, silent, WithStall(testStall), WithFirstEvent(testStall))
			s.gateway.budgets = balance.NewBudgets(balance.BudgetConfig{Slack: 200, Window: 10 * time.Second})
			go func() {
				arrived.Wait()
				s.tracker.Update(listed(append(silent[:3:3], spare)))
			}()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					_, body, err := do(t, s.request(t, "POST", "/draft/", "prompt", "X-Deadline", "4000"))
					assert.NoError(t, err)
					assert.Equal(t, wholeDraft(1), body)
				})
			}
			wg.Wait()
		})
	}
}
