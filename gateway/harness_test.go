package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/targetconn"
	"github.com/walnutramp/walnutramp/topology"
)

// testNames is a dialect for tests.
var testNames = Names{
	Identity: "X-Id", Deadline: "X-Deadline", Key: "X-Key", EventID: "X-Last", Resumes: "X-Resumes", Account: "X-Account", Expect: "X-Expect",
	Priority: "X-Priority", CopyTo: "X-Copy-To", CopyFrom: "X-Copy-From", Load: "X-Load", NotRun: "X-Not-Run", Usage: "X-Usage",
	Prefix: "X-Prefix", Model: "X-Model", System: []string{"X-System"},
	CopyHandle: func(address, identity string) string { return address + "/" + identity },
	CopyOrders: CopyOrders{
		Make: func(run, holder string) TargetCall {
			return TargetCall{Method: "POST", URI: copyPath, Body: []byte(run + " to " + holder)}
		},
		Stop: func(run, holder string) TargetCall {
			return TargetCall{Method: "POST", URI: stopPath + run, Body: []byte(holder)}
		},
		ParseHandle: func(answer []byte) (string, error) {
			if len(answer) == 0 {
				return "", errors.New("no handle")
			}
			return string(answer), nil
		},
		Release: func(handle string) TargetCall {
			return TargetCall{Method: "DELETE", URI: copyPath + "/" + handle}
		},
	},
	ParseUsage: func(v string) (prompt, out int) {
		a, b, _ := strings.Cut(v, ",")
		prompt, _ = strconv.Atoi(a)
		out, _ = strconv.Atoi(b)
		return prompt, out
	},
	ParseBackpressure: parseTestBackpressure,
	ParseLoad: func(v string) (balance.Load, bool) {
		n, err := strconv.Atoi(v)
		return balance.Load{Running: n}, err == nil
	},
}

const (
	copyPath = "/copy"
	stopPath = "/stop/"
)

// fakeTarget answers each request by a script that writes to the connection.
type fakeTarget struct {
	id      string
	service string
	hall    string
	l       net.Listener
	script  func(t *fakeTarget, r *http.Request, c net.Conn)

	// stop answers the order to stop a run; nil for a target that ends runs as their
	// connections close. Such orders don't count as requests.
	stop func(c net.Conn, run string)

	mu       sync.Mutex
	requests []*http.Request
}

func newFakeTarget(t *testing.T, id, service, hall string, script func(*fakeTarget, *http.Request, net.Conn)) *fakeTarget {
	t.Helper()
	l := newLocalListener(t)
	f := &fakeTarget{id: id, service: service, hall: hall, l: l, script: script}
	t.Cleanup(func() { l.Close() })
	go f.serve()
	return f
}

func (f *fakeTarget) serve() {
	for {
		c, err := f.l.Accept()
		if err != nil {
			return
		}
		go f.serveConn(c)
	}
}

func (f *fakeTarget) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, max(r.ContentLength, 0))
		for n := 0; n < len(body); {
			k, err := r.Body.Read(body[n:])
			n += k
			if err != nil {
				break
			}
		}
		if run, isStop := strings.CutPrefix(r.RequestURI, stopPath); isStop {
			f.answerStop(c, run)
			continue
		}
		f.mu.Lock()
		f.requests = append(f.requests, r)
		f.mu.Unlock()
		f.script(f, r, c)
	}
}

func (f *fakeTarget) answerStop(c net.Conn, run string) {
	if f.stop == nil {
		reply(c, "", http.StatusNotFound, "")
		return
	}
	f.stop(c, run)
}

func (f *fakeTarget) seen() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*http.Request(nil), f.requests...)
}

func (f *fakeTarget) listed() discovery.Target {
	return discovery.Target{ID: f.id, Service: f.service, Address: f.l.Addr().String(), DataHall: f.hall, Slots: 8}
}

// reply writes a complete answer.
func reply(c net.Conn, id string, status int, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, id, len(body), lines(headers), body)
}

func lines(headers []string) string {
	if len(headers) == 0 {
		return ""
	}
	return strings.Join(headers, "\r\n") + "\r\n"
}

// streamHead writes the head of a chunked event stream.
func streamHead(c net.Conn, id, seal string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, seal)
}

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func streamEnd(c net.Conn) { fmt.Fprint(c, "0\r\n\r\n") }

// testSite is a gateway with its targets.
type testSite struct {
	gateway *Gateway
	tracker *balance.Tracker
	server  *httptest.Server
}

func testTable() *Table {
	table := &Table{Version: 1, Open: true, Services: map[string]Service{
		"draft": {Name: "draft", Engine: true, Copies: true, CopyOrders: true, CopyLife: 4 * time.Second}, "lookup": {Name: "lookup"},
	}}
	table.SetRoutes([]*Route{
		{Name: "draft", Host: "a.example", Prefix: "/draft/", Kind: Stream, Resume: true, Timeout: 10 * time.Second, LatencyObjective: time.Second, MaxAttempts: 5, Split: []WeightedService{{"draft", 1}}},
		{Name: "once", Host: "a.example", Prefix: "/once/", Kind: Unsafe, Timeout: 3 * time.Second, LatencyObjective: time.Second, MaxAttempts: 3, Split: []WeightedService{{"lookup", 1}}},
		{Name: "safe", Host: "a.example", Prefix: "/safe/", Kind: Safe, Timeout: 3 * time.Second, LatencyObjective: time.Second, MaxAttempts: 2, Split: []WeightedService{{"lookup", 1}}},
		{Name: "deeper", Host: "a.example", Prefix: "/safe/deeper/", Kind: Safe, Timeout: 3 * time.Second, MaxAttempts: 2, AllowAnonymous: true, Split: []WeightedService{{"lookup", 1}}},
	})
	return table
}

func newTestSite(t *testing.T, targets []*fakeTarget, opts ...Option) *testSite {
	t.Helper()
	return newTestSiteWithRegions(t, topology.Map{}, targets, opts...)
}

// newTestSiteWithRegions returns a site whose data halls are assigned to regions.
func newTestSiteWithRegions(t *testing.T, regions topology.Map, targets []*fakeTarget, opts ...Option) *testSite {
	t.Helper()
	tracker := balance.NewTracker(balance.WithSeed(1), balance.WithDataHall("north"), balance.WithRemoteHallCost(1000, 1000), balance.WithTopology(regions))
	pool := targetconn.NewPool(targetconn.WithIdentityHeader("X-Id"))
	t.Cleanup(pool.Close)
	opts = append([]Option{WithNames(testNames)}, opts...)
	budgets := balance.NewBudgets(balance.BudgetConfig{Ratio: 1, Slack: 200, Window: 10 * time.Second})
	g := New(tracker, pool, budgets, func() {}, opts...)
	g.cfg.Origins.NothingBefore()
	tracker.Update(listed(targets))
	g.SetTable(testTable())
	s := &testSite{gateway: g, tracker: tracker, server: httptest.NewServer(g)}
	t.Cleanup(s.server.Close)
	return s
}

func (s *testSite) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, s.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = "a.example"
	r.Header.Set("X-Id", "attempt-1")
	r.Header.Set("X-Deadline", "2000")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// listed returns the target list of the site.
func listed(targets []*fakeTarget) []discovery.Target {
	var list []discovery.Target
	for _, f := range targets {
		list = append(list, f.listed())
	}
	return list
}
