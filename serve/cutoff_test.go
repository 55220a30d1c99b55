package serve

import (
	"bufio"
	"fmt"
	"io"
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
	"github.com/walnutramp/walnutramp/gateway"
	"github.com/walnutramp/walnutramp/internal/rawserver"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/targetconn"
)

// A shutdown that returns before the requests it cuts off have ended loses their log lines.
func TestShutdownWaitsForRequestsItCutsOff(t *testing.T) {
	const (
		grace  = killMargin + 100*time.Millisecond
		ending = 20 * time.Millisecond // of a request that is cut off
	)
	begun := make(chan struct{})
	var ended atomic.Bool
	handler := func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		time.Sleep(ending)
		ended.Store(true)
	}
	e := newTestEntry(gateway.New(balance.NewTracker(), targetconn.NewPool(), balance.NewBudgets(balance.BudgetConfig{}), func() {}), http.HandlerFunc(handler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(e.clientServer, l)
	go http.Get("http://" + l.Addr().String())
	<-begun
	stopped := time.Now()
	e.stop(grace)
	require.True(t, ended.Load(), "the request had not ended")
	require.Less(t, time.Since(stopped), grace)
}

// newTestEntry returns an entry whose clients are served by a handler.
func newTestEntry(g *gateway.Gateway, h http.Handler) *entry {
	pool := targetconn.NewPool()
	return &entry{
		gateway: g, pool: pool, clientServer: (&Process{}).newServer(h, 0), readyServer: (&Process{}).newServer(http.NotFoundHandler(), 0),
		quarantine: quarantine.NewCrashDetector(quarantine.New(), pool.Dial),
	}
}

// silentTarget returns a target that reads requests and answers none.
func silentTarget(t *testing.T, service string) discovery.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, c)
		}
	}()
	return discovery.Target{ID: "i-" + service, Service: service, Address: l.Addr().String(), Slots: 100}
}

// A request in flight at the end of a stop's grace must not end without an answer.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	const grace = killMargin + 500*time.Millisecond
	tracker := balance.NewTracker()
	tracker.Update([]discovery.Target{silentTarget(t, "silent")})
	table := &gateway.Table{Version: 1, Open: true, Services: map[string]gateway.Service{"silent": {Name: "silent"}, "missing": {Name: "missing"}}}
	var routes []*gateway.Route
	for _, service := range []string{"silent", "missing"} {
		for kind, prefix := range map[gateway.Kind]string{gateway.Unsafe: "once", gateway.Stream: "stream"} {
			routes = append(routes, &gateway.Route{Name: service + prefix, Host: "a.example", Prefix: "/" + service + "/" + prefix + "/", Kind: kind, Timeout: 10 * time.Second,
				LatencyObjective: 4 * time.Second, MaxAttempts: 1, Split: []gateway.WeightedService{{Service: service, Weight: 1}}})
		}
	}
	table.SetRoutes(routes)
	g := gateway.New(tracker, targetconn.NewPool(), balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 200, Window: time.Second}), func() {},
		gateway.WithNames(gateway.Names{Identity: "X-Id", Deadline: "X-Deadline", Expect: "X-Expect", Priority: "X-Priority"}))
	g.SetTable(table)
	e := newTestEntry(g, g)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(e.clientServer, l)
	var clients sync.WaitGroup
	for path, want := range map[string]struct {
		status     int
		outcome    string
		retryAfter bool
	}{
		"/silent/once/":    {http.StatusBadGateway, `"outcome":"unknown"`, false},
		"/silent/stream/":  {http.StatusBadGateway, `"outcome":"unknown"`, false},
		"/missing/once/":   {http.StatusServiceUnavailable, `"outcome":"not-run"`, true},
		"/missing/stream/": {http.StatusServiceUnavailable, `"outcome":"not-run"`, true},
	} {
		clients.Go(func() {
			r, err := http.NewRequest("POST", "http://"+l.Addr().String()+path, strings.NewReader("x"))
			require.NoError(t, err)
			r.Host = "a.example"
			r.Header.Set("X-Id", "a")
			resp, err := (&http.Transport{}).RoundTrip(r)
			if !assert.NoError(t, err, path) {
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NoError(t, err, path)
			assert.Equal(t, want.status, resp.StatusCode, path)
			assert.Contains(t, string(body), want.outcome, path)
			assert.Equal(t, want.retryAfter, resp.Header.Get("Retry-After") != "", path)
			assert.True(t, resp.Close, path)
		})
	}
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	e.stop(grace)
	require.Less(t, time.Since(stopped), grace)
	clients.Wait()
}

// An operator's call in flight at the end of a stop must not end without an answer.
func TestStoppingReplicaAnswersCallsInFlight(t *testing.T) {
	begun := make(chan struct{})
	r := &replica{server: peer.NewServer(peer.Identity{}, &peer.Traffic{}), operator: (&Process{}).newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		select { // as a document that no majority stores
		case <-r.Context().Done():
		case <-time.After(2 * replicaStopTimeout):
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}), 0)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(r.operator, l)
	answer := make(chan error, 1)
	go func() {
		_, err := (&http.Transport{}).RoundTrip(must(http.NewRequest("PUT", "http://"+l.Addr().String(), strings.NewReader("x"))))
		answer <- err
	}()
	<-begun
	r.stop()
	r.operator.Close() // as the end of the process
	require.NoError(t, <-answer)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// The connection of an HTTP/1.0 client with a truncated answer must be reset, through all that
// wraps it.
func TestTruncatedAnswerIsNotCompleteForAnOlderClient(t *testing.T) {
	const size = 128 << 10
	address := rawserver.New(t, fmt.Sprintf("HTTP/1.1 200 X\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, strings.Repeat("x", size)))
	tracker := balance.NewTracker()
	tracker.Update([]discovery.Target{{ID: "i-1", Service: "lookup", Address: address, Slots: 100}})
	table := &gateway.Table{Version: 1, Open: true, Services: map[string]gateway.Service{"lookup": {Name: "lookup"}}}
	table.SetRoutes([]*gateway.Route{{Name: "once", Host: "a.example", Prefix: "/", Kind: gateway.Unsafe, Timeout: 10 * time.Second, MaxAttempts: 1,
		Split: []gateway.WeightedService{{Service: "lookup", Weight: 1}}}})
	g := gateway.New(tracker, targetconn.NewPool(targetconn.WithIdentityHeader("X-Id")), balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 200, Window: time.Second}), func() {},
		gateway.WithNames(gateway.Names{Identity: "X-Id", Deadline: "X-Deadline", Expect: "X-Expect", Priority: "X-Priority"}))
	g.SetTable(table)
	e := newTestEntry(g, g)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	serveInBackground(e.clientServer, &timeoutListener{Listener: l, limits: g.Limits})
	t.Cleanup(func() { e.clientServer.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprint(c, "POST / HTTP/1.0\r\nHost: a.example\r\nX-Id: a\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
