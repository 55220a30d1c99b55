package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quota"
	"github.com/walnutramp/walnutramp/ratelimit"
	"github.com/walnutramp/walnutramp/targetconn"
)

// limitedTarget publishes a rate limit in its answers unless the limit is empty.
type limitedTarget struct {
	limit  atomic.Value // string
	script func(*fakeTarget, *http.Request, net.Conn)
}

func newLimitedTarget(limit string) *limitedTarget {
	l := &limitedTarget{}
	l.limit.Store(limit)
	return l
}

func (l *limitedTarget) answer(f *fakeTarget, r *http.Request, c net.Conn) {
	if l.script != nil {
		l.script(f, r, c)
		return
	}
	reply(c, r.Header.Get("X-Id"), 200, "ok", l.headers()...)
}

func (l *limitedTarget) headers() []string {
	if limit := l.limit.Load().(string); limit != "" {
		return []string{"X-Limit: " + limit}
	}
	return nil
}

// Requests that other targets can take must not wait for, nor fail at, a target that is at
// its rate limit.
func TestRequestsGoToTargetsWithoutRateLimit(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/"} {
		limited := newLimitedTarget("0.1")
		targets := []*fakeTarget{
			newFakeTarget(t, "i-1", "lookup", "north", limited.answer),
			newFakeTarget(t, "i-2", "lookup", "north", newLimitedTarget("").answer),
		}
		s := newTestSite(t, targets)
		began := time.Now()
		for range 40 {
			status, _ := s.post(t, path)
			require.Equal(t, 200, status)
		}
		require.Less(t, time.Since(began), 2*time.Second)
		require.LessOrEqual(t, len(targets[0].seen()), 3, "the first, and what the limit allows")
		require.Equal(t, 40, len(targets[0].seen())+len(targets[1].seen()), "one attempt each")
	}
}

// With all targets at their rate limits, requests must be rejected at once as not run,
// with Retry-After values that grow by the interval of the limit.
func TestRateLimitRejectsWithRetryAfter(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/draft/"} {
		service := "lookup"
		if path == "/draft/" {
			service = "draft"
		}
		f := newFakeTarget(t, "i-1", service, "north", newLimitedTarget("0.2").answer)
		s := newTestSite(t, []*fakeTarget{f})
		var after []float64
		began := time.Now()
		for range 8 {
			resp, body, err := do(t, s.request(t, "POST", path, "x"))
			require.NoError(t, err)
			if resp.StatusCode == 200 {
				continue
			}
			require.Equal(t, 503, resp.StatusCode)
			require.Contains(t, body, "targets-limited")
			require.Contains(t, body, "not-run")
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			after = append(after, seconds)
		}
		require.Less(t, time.Since(began), 400*time.Millisecond, "rejected without waiting")
		require.Len(t, f.seen(), 2, "the one that told the limit, and one that it allows")
		require.Len(t, after, 6)
		for i, seconds := range after {
			require.InDelta(t, 5*float64(i+1), seconds, 5*float64(i+1)*0.25+0.5, "the requests before it come first")
		}
	}
}

// A request waits for a permit that it is granted in time.
func TestRequestWaitsForAPermit(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", newLimitedTarget("8").answer)
	s := newTestSite(t, []*fakeTarget{f})
	for range 30 {
		status, _ := s.post(t, "/safe/") // uses up the burst
		if status != 200 {
			break
		}
	}
	for range 3 {
		began := time.Now()
		status, _ := s.post(t, "/safe/")
		require.Equal(t, 200, status)
		require.Less(t, time.Since(began), 700*time.Millisecond, "at most half of its latency objective")
	}
}

// While a target is short of permits, the more urgent requests must get them.
func TestUrgentRequestsGetThePermits(t *testing.T) {
	limiter := ratelimit.New(ratelimit.WithSeed(1))
	limiter.Observe("t", ratelimit.Signal{Published: true, PerSecond: 4})
	granted := map[int]int{}
	for range 400 {
		for _, rank := range []int{2, 0} {
			if _, denial := limiter.Acquire(t.Context(), ratelimit.Request{Target: "t", MaxWait: time.Second, Rank: rank}); denial == nil {
				granted[rank]++
			}
		}
		time.Sleep(time.Millisecond)
	}
	require.Greater(t, granted[0], granted[2])
}

// A target that lifts its limit must be fully used at once.
func TestLiftedRateLimitIsForgottenAtTheNextResponse(t *testing.T) {
	limited := newLimitedTarget("0.5")
	f := newFakeTarget(t, "i-1", "lookup", "north", limited.answer)
	s := newTestSite(t, []*fakeTarget{f})
	for range 5 {
		s.post(t, "/safe/")
	}
	limited.limit.Store("")
	t.Cleanup(uptime.Pretend(3 * time.Second))
	for range 20 {
		status, _ := s.post(t, "/safe/")
		require.Equal(t, 200, status)
	}
}

// A limit that becomes known, or falls, between the selection of a target and the sending
// must hold for the request.
func TestRateLimitIsCheckedJustBeforeSending(t *testing.T) {
	f := newFakeTarget(t, "i-1", "draft", "north", newLimitedTarget("").answer)
	s := newTestSite(t, []*fakeTarget{f})
	target := s.target("i-1")
	limits := s.gateway.cfg.Limits
	limits.Observe(target.Incarnation(), ratelimit.Signal{Published: true, PerSecond: 8})
	c := &call{id: "a", header: http.Header{"X-Id": {"a"}}, method: "GET", uri: "/", host: "a.example", deadline: uptime.Now()}
	for limits.Check(c.permitRequest(target, 0)) == ratelimit.InHand {
		_, denial := limits.Acquire(t.Context(), c.permitRequest(target, 0))
		require.Nil(t, denial)
	}
	require.True(t, s.gateway.acquirePermit(t.Context(), c, target, time.Second), "reserved")
	limits.Observe(target.Incarnation(), ratelimit.Signal{Published: true, PerSecond: 0.1})
	_, err := s.gateway.send(t.Context(), target, purposeFirst, &c.grants, s.gateway.request(c, target))
	require.ErrorIs(t, err, errRateLimited)
	require.Empty(t, f.seen())
}

// A permit whose request was not sent must serve another request of the node.
func TestUnusedPermitIsReused(t *testing.T) {
	limiter := ratelimit.New()
	limiter.Observe("t", ratelimit.Signal{Published: true, PerSecond: 0.5})
	request := ratelimit.Request{Target: "t"}
	p, denial := limiter.Acquire(t.Context(), request)
	require.Nil(t, denial)
	_, denial = limiter.Acquire(t.Context(), request)
	require.NotNil(t, denial)
	limiter.Return(&p)
	require.Equal(t, ratelimit.InHand, limiter.Check(request))
	p, denial = limiter.Acquire(t.Context(), request)
	require.Nil(t, denial)
	require.True(t, limiter.Use("t", &p))
	require.False(t, limiter.Use("t", &p), "used up")
}

// Streams, resumed streams and copy orders must stay within the rate limit of an engine.
func TestRateLimitCoversStreamsResumesAndCopies(t *testing.T) {
	limited := newLimitedTarget("0.1")
	limited.script = func(f *fakeTarget, r *http.Request, c net.Conn) {
		if r.URL.Path == copyPath {
			reply(c, r.Header.Get("X-Id"), 200, "h", limited.headers()...)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("X-Id"), lines(limited.headers()))
		chunk(c, event(1))
		c.Close()
	}
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", limited.answer), newFakeTarget(t, "i-2", "draft", "south", limited.answer)}
	s := newTestSite(t, targets)
	for range 6 {
		s.postBroken(t, "/draft/")
	}
	for _, f := range targets {
		require.LessOrEqual(t, len(f.seen()), 2, "the one that told the limit, and one that it allows")
	}
}

// postBroken sends a request whose answer may break off.
func (s *testSite) postBroken(t *testing.T, path string) {
	t.Helper()
	resp, _, err := do(t, s.request(t, "POST", path, "x", "X-Usage", "100,60", "X-Deadline", "1500"))
	if err == nil {
		require.NotEqual(t, 200, resp.StatusCode)
	}
}

// A restarted target has published no limit.
func TestRestartedTargetHasNoRateLimit(t *testing.T) {
	tracker := balance.NewTracker()
	limiter := ratelimit.New()
	limiter.OnLimited(tracker.SetLimited)
	f := newFakeTarget(t, "i-1", "lookup", "north", newLimitedTarget("").answer)
	entry := f.listed()
	entry.Born = 1
	tracker.Update(listed(nil))
	tracker.Update([]discovery.Target{entry})
	first := tracker.Pick(balance.Choice{Service: "lookup"})
	limiter.Observe(first.Incarnation(), ratelimit.Signal{Published: true, PerSecond: 0})
	deny := func(*balance.Target) balance.Allowance { return balance.NoAllowance }
	require.Nil(t, tracker.Pick(balance.Choice{Service: "lookup", Allowance: deny}))
	entry.Born = 2
	tracker.Update([]discovery.Target{entry})
	next := tracker.Pick(balance.Choice{Service: "lookup", Allowance: deny})
	require.NotNil(t, next)
	require.False(t, limiter.Notice(next.Incarnation()).Limited())
}

// denyingNetwork is that of a node whose peers own all slots and have no permits left.
type denyingNetwork struct{ asked atomic.Int64 }

func (n *denyingNetwork) Ask(_ context.Context, _ string, a ratelimit.Ask) (ratelimit.Reply, bool) {
	n.asked.Add(1)
	return ratelimit.Reply{Wait: 10 * time.Millisecond, Rate: a.Rate, Age: a.Age}, true
}

func (n *denyingNetwork) Nodes() int { return 2 }

func (n *denyingNetwork) Gossip(int, []ratelimit.Change) {}

// A request must go at once to a loaded target without a limit, however many targets that
// are idle at their limits deny it a permit.
func TestLoadedTargetServesWhileIdleOnesAreAtTheirLimits(t *testing.T) {
	ownership := quota.NewOwnership(quota.NewHolder(time.Second), "a", time.Second)
	ownership.SetMembers(quota.NewMembers(1, []string{"b", "c", "d"}))
	network := &denyingNetwork{}
	limiter := ratelimit.New(ratelimit.WithOwnership(ownership), ratelimit.WithNetwork(network))
	loaded := &limitedTarget{script: func(_ *fakeTarget, r *http.Request, c net.Conn) {
		reply(c, r.Header.Get("X-Id"), 200, "ok", "X-Load: 200")
	}}
	targets := []*fakeTarget{newFakeTarget(t, "i-0", "lookup", "north", loaded.answer)}
	for n := range 6 {
		targets = append(targets, newFakeTarget(t, fmt.Sprint("i-", n+1), "lookup", "north", newLimitedTarget("1").answer))
	}
	s := newTestSite(t, targets, WithLimits(limiter))
	for range 60 { // each target reports its limit or its load
		s.post(t, "/safe/")
	}
	for range 10 {
		time.Sleep(30 * time.Millisecond) // until the owners may be asked again
		began := time.Now()
		status, _ := s.post(t, "/safe/")
		require.Equal(t, 200, status)
		require.Less(t, time.Since(began), 100*time.Millisecond, "it must not wait for a permit")
	}
	require.Positive(t, network.asked.Load())
}

// closedConn is a connection that turns out to be closed when request number n is written.
type closedConn struct {
	net.Conn
	n int
}

func (c *closedConn) Write(b []byte) (int, error) {
	if c.n--; c.n == 0 {
		c.Close()
	}
	return c.Conn.Write(b)
}

// A permit must not be lost with a kept connection that was closed before anything was sent.
func TestPermitIsKeptWhenAnIdleConnectionIsClosed(t *testing.T) {
	f := newFakeTarget(t, "i-1", "lookup", "north", newLimitedTarget("0.2").answer)
	s := newTestSite(t, []*fakeTarget{f})
	s.gateway.pool = targetconn.NewPool(targetconn.WithIdentityHeader("X-Id"), targetconn.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := targetconn.NewDialer(nil).DialContext(ctx, network, address)
		return &closedConn{Conn: c, n: 2}, err
	}))
	t.Cleanup(s.gateway.pool.Close)
	for range 2 {
		status, _ := s.post(t, "/once/")
		require.Equal(t, 200, status)
	}
	require.Len(t, f.seen(), 2)
	require.EqualValues(t, 2, s.gateway.pool.Dialed())
}
