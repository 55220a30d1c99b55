package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
)

// A relayed answer must be the same to the byte, and so must the request that the target
// gets.
func TestRelayedRequestsAndAnswersAreUnchanged(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	for name, c := range map[string]struct {
		method, path, body string
		answer             func(r *http.Request, c net.Conn)
	}{
		"short": {"POST", "/safe/x%2Fy?q=1&q=2", "hello", func(r *http.Request, c net.Conn) {
			reply(c, r.Header.Get("X-Id"), 200, "ok", "X-Seal: s1", "Keep-Alive: timeout=5", "X-Multi: 1", "X-Multi: 2")
		}},
		"client error": {"POST", "/once/", "hello", func(r *http.Request, c net.Conn) {
			reply(c, r.Header.Get("X-Id"), 418, "short and stout", "Content-Type: text/plain")
		}},
		"server error": {"POST", "/once/", "hello", func(r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 500, "broken", "X-Seal: s2") }},
		"no body":      {"GET", "/safe/", "", func(r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 200, "") }},
		"long request": {"POST", "/safe/", long, func(r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 200, fmt.Sprint(r.ContentLength)) }},
		"long answer":  {"POST", "/safe/", "hello", func(r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 200, long, "X-Seal: s3") }},
		"chunked": {"POST", "/safe/", "hello", func(r *http.Request, c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
			for range 10 {
				chunk(c, long[:30000])
			}
			streamEnd(c)
		}},
		"stream that is none": {"POST", "/draft/", "hello", func(r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 404, "no such model", "X-Seal: s4") }},
	} {
		t.Run(name, func(t *testing.T) {
			script := func(_ *fakeTarget, r *http.Request, conn net.Conn) { c.answer(r, conn) }
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", script), newFakeTarget(t, "i-2", "draft", "north", script)}
			s := newRelaySite(t, 1, targets)
			request := func() (*http.Response, string) {
				resp, body, err := do(t, s.ingress.request(t, c.method, c.path, c.body, "X-Own", "kept", "X-Key", "k", "X-Usage", "100,60"))
				require.NoError(t, err)
				resp.Header.Del("Date")
				return resp, body
			}
			direct, directBody := request()
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "lookup")
			s.ingress.lostPath(t, "draft")
			relayed, relayedBody := request()
			s.others[0].awaitRelayed(t)
			require.Equal(t, 1, s.others[0].relayed())
			require.Equal(t, direct.StatusCode, relayed.StatusCode)
			require.Equal(t, direct.Header, relayed.Header)
			require.Equal(t, direct.ContentLength, relayed.ContentLength)
			require.Equal(t, directBody, relayedBody)
			seen := seenBy(targets)
			require.Len(t, seen, 2)
			for _, r := range seen {
				r.Header.Del("X-Deadline")
				r.Header.Del("X-Copy-To")
			}
			require.Equal(t, seen[0].Header, seen[1].Header)
			require.Equal(t, seen[0].RequestURI, seen[1].RequestURI)
			require.Equal(t, seen[0].Host, seen[1].Host)
			require.Equal(t, seen[0].ContentLength, seen[1].ContentLength)
		})
	}
}

// The first requests after a cut must be served, too, however the connections fail.
func TestRequestsDuringTheLossOfThePathAreServed(t *testing.T) {
	for name, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID), newFakeTarget(t, "i-2", "lookup", "south", answerWithID)}
			s := newRelaySite(t, 2, targets)
			for _, path := range []string{"/safe/", "/once/"} {
				s.ingress.cut(failure)
				for range 5 {
					status, _ := s.ingress.post(t, path)
					require.Equal(t, 200, status)
				}
				s.ingress.heal()
				require.Eventually(t, func() bool { return !s.ingress.gateway.paths.State("lookup").Lost }, time.Second, 10*time.Millisecond)
			}
			require.Len(t, seenBy(targets), 10, "each is sent once")
		})
	}
}

// Once the path has recovered, requests must take it again.
func TestRecoveredPathIsUsed(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 1, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	status, _ := s.ingress.post(t, "/safe/")
	require.Equal(t, 200, status)
	s.ingress.heal()
	require.Eventually(t, func() bool { return !s.ingress.gateway.paths.State("lookup").Lost }, time.Second, 10*time.Millisecond)
	before := s.others[0].relayed()
	for range 5 {
		status, _ = s.ingress.post(t, "/once/")
		require.Equal(t, 200, status)
	}
	require.Equal(t, before, s.others[0].relayed())
	require.True(t, s.ingress.tracker.Target("i-1").Usable(), "failures during the cut are forgotten")
}

func TestNothingIsAskedOrRelayedWhileThePathStands(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 1, targets)
	for range 20 {
		status, _ := s.ingress.post(t, "/safe/")
		require.Equal(t, 200, status)
	}
	require.Zero(t, s.asked)
	require.EqualValues(t, 1, s.ingress.dialed.Load())
}

// Connections that live on while new ones are refused must be used.
func TestLivingConnectionsAreUsed(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 1, targets)
	status, _ := s.ingress.post(t, "/once/")
	require.Equal(t, 200, status)
	failure := error(syscall.ECONNREFUSED)
	s.ingress.failure.Store(&failure)
	s.ingress.lostPath(t, "lookup")
	for range 5 {
		status, _ = s.ingress.post(t, "/once/")
		require.Equal(t, 200, status)
	}
	require.Zero(t, s.others[0].relayed())
	var together sync.WaitGroup
	for range 8 {
		together.Go(func() {
			status, _ := s.ingress.post(t, "/safe/")
			require.Equal(t, 200, status)
		})
	}
	together.Wait()
}

// Without any node that has a path, requests must be rejected at once as not run.
func TestNoEgressRejectsAtOnce(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID), newFakeTarget(t, "i-2", "draft", "north", draft(nil))}
	s := newRelaySite(t, 0, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	for _, path := range []string{"/safe/", "/once/", "/draft/"} {
		began := time.Now()
		resp, body, err := do(t, s.ingress.request(t, "POST", path, ""))
		require.NoError(t, err)
		require.Equal(t, 503, resp.StatusCode)
		require.Contains(t, body, `"code":3011`)
		require.Contains(t, body, `"outcome":"not-run"`)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), 200*time.Millisecond)
	}
	require.Empty(t, seenBy(targets))
}

// A service whose targets are all gone must not be mistaken for a lost path.
func TestDeadServiceIsNotRelayedForLong(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID), newFakeTarget(t, "i-2", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 4, targets)
	for _, f := range targets {
		f.l.Close()
	}
	for range 20 {
		began := time.Now()
		status, body := s.ingress.post(t, "/safe/")
		require.Equal(t, 503, status, body)
		require.Contains(t, body, `"outcome":"not-run"`)
		require.Less(t, time.Since(began), 500*time.Millisecond)
	}
	relayed := 0
	for _, n := range s.others {
		relayed += n.relayed()
	}
	require.LessOrEqual(t, relayed, len(s.others), "each finds out once")
}

// An egress that sends nothing more must not keep a request from another one.
func TestAnotherEgressIsTriedIfTheRequestWasNotSent(t *testing.T) {
	for name, fail := range map[string]func(*cuttableNode){
		"stopping": func(n *cuttableNode) { n.gateway.BeginShutdown(uptime.Now().Add(5 * time.Second)) },
		"without a path": func(n *cuttableNode) {
			n.cut(syscall.ECONNREFUSED)
		},
		"older build": func(n *cuttableNode) { n.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID), newFakeTarget(t, "i-2", "draft", "north", draft(nil))}
			s := newRelaySite(t, 3, targets)
			s.offers = []string{s.others[0].address, s.others[1].address, s.others[2].address}
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "lookup")
			s.ingress.lostPath(t, "draft")
			fail(s.others[0])
			fail(s.others[1])
			for range 5 {
				status, body := s.ingress.post(t, "/once/")
				require.Equal(t, 200, status, body)
				status, body = s.ingress.post(t, "/draft/")
				require.Equal(t, 200, status, body)
				require.Equal(t, wholeDraft(1), body)
			}
			require.Len(t, seenBy(targets), 10)
		})
	}
}

// A request that may have run through an egress must not run again if it is not repeatable,
// and must not be reported as not run.
func TestUnsafeRequestRunsAtMostOnceThroughAnEgress(t *testing.T) {
	var s *relaySite
	ran := make(chan struct{}, 8)
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		ran <- struct{}{}
		time.Sleep(2 * time.Second)
	})}
	s = newRelaySite(t, 2, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	go func() {
		<-ran
		for _, n := range s.others {
			n.server.Close()
		}
	}()
	resp, body, err := do(t, s.ingress.request(t, "POST", "/once/", "book"))
	require.NoError(t, err)
	require.Equal(t, 502, resp.StatusCode)
	require.Contains(t, body, `"outcome":"unknown"`)
	require.Len(t, seenBy(targets), 1)
}

// A retry of a request that may have run must not be sent by an egress if the request is
// not repeatable, whatever the ingress asks.
func TestEgressRefusesToRepeatUnsafeRequests(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 1, targets)
	r := &egress.Request{ID: "a", Service: "lookup", Kind: int(Unsafe), MayHaveRun: true, Deadline: time.Second, Method: "POST", URI: "/once/", AttemptsLeft: 1}
	_, end, err := s.ingress.gateway.cfg.Egress.Do(t.Context(), s.others[0].address, r, nil)
	require.NoError(t, err)
	require.Equal(t, egress.NotSent, end.Result)
	require.Empty(t, seenBy(targets))
}

// A relayed request must not be relayed again.
func TestRelayedRequestHasNoSecondHop(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 2, targets)
	s.offers = []string{s.others[0].address}
	s.others[0].gateway.cfg.Egress = s.ingress.gateway.cfg.Egress
	s.ingress.cut(syscall.ECONNREFUSED)
	s.others[0].cut(syscall.ECONNREFUSED)
	s.others[0].lostPath(t, "lookup")
	status, body := s.ingress.post(t, "/safe/")
	require.Equal(t, 503, status)
	require.Contains(t, body, `"code":3011`)
	require.Zero(t, s.others[1].relayed())
}

// Usage must be counted at the ingress alone.
func TestRelayedRequestIsMeteredOnce(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID), newFakeTarget(t, "i-2", "draft", "north", draft(nil))}
	forever := metering.Config{Span: 1000 * time.Hour}
	at, through := metering.NewCounter(forever, systemClock{}), metering.NewCounter(forever, systemClock{})
	s := newRelaySite(t, 1, targets, WithMetering(at))
	table := testTable()
	table.Open, table.Accounts = false, map[string]Account{"key-1": {Name: "harbour"}}
	s.ingress.gateway.SetTable(table)
	s.others[0].gateway.cfg.Metering = through
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	s.ingress.lostPath(t, "draft")
	for _, path := range []string{"/safe/", "/once/", "/draft/"} {
		s.ingress.call(t, path)
	}
	require.EqualValues(t, 3, meteredRequests(at))
	require.Zero(t, meteredRequests(through))
}

// The retries of a relayed request must be charged at the ingress, and sends that never left
// must not.
func TestRelayedRetriesAreChargedToTheIngress(t *testing.T) {
	cut := func(_ *fakeTarget, _ *http.Request, c net.Conn) { c.Close() }
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", cut), newFakeTarget(t, "i-2", "lookup", "south", cut)}
	s := newRelaySite(t, 1, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	require.Zero(t, s.ingress.gateway.budgets.Of("lookup").Count().Retries)
	s.ingress.post(t, "/safe/")
	require.Len(t, seenBy(targets), 2)
	own, other := s.ingress.gateway.budgets.Of("lookup").Count(), s.others[0].gateway.budgets.Of("lookup").Count()
	require.Equal(t, balance.Count{Requests: 1, Retries: 1}, own)
	require.Equal(t, balance.Count{}, other)
}

// A node without a path must not take failures there for the content's or the target's.
func TestLostPathBlamesNoContentAndNoTarget(t *testing.T) {
	targets := []*fakeTarget{}
	for i := range 4 {
		targets = append(targets, newFakeTarget(t, fmt.Sprint("i-", i), "draft", []string{"north", "south"}[i%2], draft(func(_ *fakeTarget, _ net.Conn, _ int) bool {
			time.Sleep(20 * time.Millisecond)
			return true
		})))
	}
	s := newRelaySite(t, 1, targets)
	for range 4 {
		time.AfterFunc(60*time.Millisecond, func() { s.ingress.cut(syscall.ECONNREFUSED) })
		status, body := s.ingress.post(t, "/draft/")
		require.Equal(t, 200, status)
		require.Equal(t, wholeDraft(1), body)
		s.ingress.heal()
		require.Eventually(t, func() bool { return !s.ingress.gateway.paths.State("draft").Lost }, time.Second, 10*time.Millisecond)
	}
	time.Sleep(time.Second) // until the targets whose connections broke were dialed
	require.Zero(t, s.ingress.gateway.cfg.Quarantine.SuspectContents())
	require.Empty(t, s.ingress.tracker.Ended())
	require.False(t, slices.ContainsFunc(targets, func(f *fakeTarget) bool { return !s.ingress.tracker.Target(f.id).Usable() }))
}

// A node that says that targets take nothing now must not be avoided for it.
func TestEgressIsNotAvoidedForItsTargets(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID), newFakeTarget(t, "i-2", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 1, targets)
	atEgress := s.others[0].tracker
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	atEgress.Update(nil)
	status, body := s.ingress.post(t, "/safe/")
	require.Equal(t, 503, status)
	require.Contains(t, body, `"code":3003`)
	atEgress.Update(listed(targets[:1]))
	atEgress.Target(listed(targets)[0].Incarnation()).StartCooldown(time.Minute)
	status, body = s.ingress.post(t, "/safe/")
	require.Equal(t, 503, status)
	require.Contains(t, body, `"code":3008`)
	atEgress.Update(listed(targets))
	status, _ = s.ingress.post(t, "/safe/")
	require.Equal(t, 200, status)
}

// A node must say that it lacks a target in the same way for a request that may have run.
func TestEgressSaysThatItsTargetsTakeNothing(t *testing.T) {
	s := newRelaySite(t, 1, nil)
	for _, mayHaveRun := range []bool{false, true} {
		r := &egress.Request{ID: "1", Service: "lookup", Route: "safe", Resume: true, Deadline: time.Second, AttemptsLeft: 1, MayHaveRun: mayHaveRun}
		end := s.others[0].gateway.HandleRelayed(t.Context(), r, nil, nil)
		require.Equal(t, egress.NotSent, end.Result)
		require.True(t, end.OfTargets, end.Error)
	}
	s.others[0].gateway.BeginShutdown(uptime.Now().Add(time.Second))
	require.False(t, s.others[0].gateway.HandleRelayed(t.Context(), &egress.Request{ID: "1", Service: "lookup"}, nil, nil).OfTargets)
}

// A request must not wander from node to node.
func TestFewEgressesAreTried(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 8, targets)
	s.offers = []string{}
	for _, n := range s.others {
		s.offers = append(s.offers, n.address)
		n.gateway.BeginShutdown(uptime.Now().Add(5 * time.Second))
	}
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	status, _ := s.ingress.post(t, "/safe/")
	require.Equal(t, 503, status)
	require.Contains(t, s.ingress.metrics(), fmt.Sprintf("walnutramp_gateway_relayed_total{role=\"ingress\",result=\"failed\"} %d\n", maxEgresses))
}

// What a target has asked of the ingress must hold for requests through an egress, and what it
// asks of the egress for the ingress.
func TestTargetsUnwillingToTheIngressAreNotSelectedByTheEgress(t *testing.T) {
	resting := newThrottlingTarget(5)
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", resting.answer), newFakeTarget(t, "i-2", "lookup", "south", answerWithID),
		newFakeTarget(t, "i-3", "lookup", "south", answerWithID)}
	s := newRelaySite(t, 1, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	s.ingress.tracker.Target("i-2").RecordDraining()
	for range 20 {
		status, _ := s.ingress.post(t, "/safe/")
		require.Equal(t, 200, status)
	}
	require.Empty(t, targets[1].seen())
	require.LessOrEqual(t, len(targets[0].seen()), 1)
	if len(targets[0].seen()) == 1 {
		require.Positive(t, s.ingress.tracker.Target("i-1").RemainingCooldown(), "the ingress knows")
	}
}

// A proxy that accepts connections to targets which it does not reach must not be taken for a
// path, also not for one that is back if it closes them late.
func TestConnectionsThatAreClosedAreNoPath(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", answerWithID)}
	s := newRelaySite(t, 1, targets)
	var delay atomic.Int64
	closing := newLocalListener(t)
	t.Cleanup(func() { closing.Close() })
	go func() {
		for {
			c, err := closing.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(time.Duration(delay.Load()), func() { c.Close() })
		}
	}()
	list := listed(targets)
	list[0].Address = closing.Addr().String()
	s.ingress.tracker.Update(list)
	s.ingress.lostPath(t, "lookup")
	delay.Store(int64(30 * time.Millisecond))
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, _ := s.ingress.post(t, "/once/")
		require.Equal(t, 200, status)
	}
}

// A request given up for its target's silence must go on, also through an only egress, and
// the egresses must learn of the silence.
func TestEgressesAvoidATargetWhoseRequestsAreGivenUp(t *testing.T) {
	for _, c := range []struct{ egresses, requests, atSilent int }{{1, 8, 2}, {3, 12, 4}} {
		t.Run(fmt.Sprint(c.egresses), func(t *testing.T) {
			t.Parallel()
			var silent atomic.Pointer[fakeTarget]
			script := func(f *fakeTarget, r *http.Request, conn net.Conn) {
				if silent.CompareAndSwap(nil, f) || silent.Load() == f {
					conn.Read(make([]byte, 1)) // until the request is given up
					return
				}
				reply(conn, r.Header.Get("X-Id"), 200, "fine")
			}
			s := newRelaySite(t, c.egresses, []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", script), newFakeTarget(t, "i-2", "lookup", "south", script)})
			table := testTable()
			table.Route("a.example", "/safe/x").LatencyObjective = testStall
			s.ingress.gateway.SetTable(table)
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "lookup")
			for range c.requests {
				resp, body, err := do(t, s.ingress.request(t, "POST", "/safe/x", "q", "X-Deadline", "5000"))
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode, body)
			}
			require.LessOrEqual(t, len(silent.Load().seen()), c.atSilent)
		})
	}
}

// fixedOffers are the same for each question.
type fixedOffers []egress.Offer

func (f fixedOffers) FindEgress(context.Context, string) []egress.Offer { return f }

// muteListener accepts connections and never says anything.
func muteListener(t *testing.T) string {
	l := newLocalListener(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
	}()
	return l.Addr().String()
}

// A safe request must go on to the next node when its own time limit passes while it connects.
func TestSafeRequestOutlastsNodesThatDoNotAnswer(t *testing.T) {
	script := func(_ *fakeTarget, r *http.Request, c net.Conn) { reply(c, r.Header.Get("X-Id"), 200, "fine") }
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", script), newFakeTarget(t, "i-2", "lookup", "south", script)}
	s := newRelaySite(t, 1, targets)
	offers := fixedOffers{{Node: muteListener(t), Near: true, KeepsVersions: true}, {Node: muteListener(t), Near: true, KeepsVersions: true},
		{Node: s.others[0].address, Near: true, Load: 1000, KeepsVersions: true}}
	var d net.Dialer
	client := egress.NewClient(peer.Identity{Site: "s", Node: "ingress"}, d.DialContext, &peer.Traffic{})
	n := newCuttableNode(t, targets, WithEgress(egress.NewSender(client, offers)))
	table := testTable()
	table.Route("a.example", "/safe/x").LatencyObjective = 30 * time.Millisecond
	n.gateway.SetTable(table)
	n.cut(syscall.ECONNREFUSED)
	n.lostPath(t, "lookup")
	resp, body, err := do(t, n.request(t, "POST", "/safe/x", "q", "X-Deadline", "5000"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode, body)
}
