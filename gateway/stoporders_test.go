package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/ratelimit"
)

// twiceLimit is how long a target may work on a request that goes on at another one.
const twiceLimit = 400 * time.Millisecond

// work is one target's work on a request.
type work struct {
	target  *fakeTarget
	attempt string
	path    string
	stop    chan struct{} // closed by an order
	known   time.Time     // until then the target answers orders with 404
}

// patientTargets are targets that keep working on requests whose connections are closed. They
// record requests on which one still works twiceLimit after another has begun.
type patientTargets struct {
	t *testing.T
	// delay returns the time before an event.
	delay func(f *fakeTarget, n int) time.Duration
	// unknown is for how long after its begin a run is not known to orders.
	unknown time.Duration
	// refuse answers the first orders with statuses of its own, one each.
	refuse []int
	// stop answers all orders instead, if set.
	stop func(c net.Conn, attempt string)

	first *fakeTarget // of newSite

	mu      sync.Mutex
	working []*work
	orders  []string // attempts that were ordered to stop
	twice   []string // paths
	checks  sync.WaitGroup
}

func (p *patientTargets) add(id, hall string) *fakeTarget {
	f := newFakeTarget(p.t, id, "draft", hall, p.run)
	f.stop = p.stop
	if f.stop == nil {
		f.stop = func(c net.Conn, attempt string) { p.answerStop(f, c, attempt) }
	}
	return f
}

// newSite returns a site at whose first target a stream begins, and the other target, which is
// listed from then on.
func (p *patientTargets) newSite() (s *testSite, other *fakeTarget) {
	first, other := p.add("i-1", "north"), p.add("i-2", "south")
	p.first = first
	s = newTestSite(p.t, []*fakeTarget{first}, WithStall(testStall))
	go func() {
		assert.Eventually(p.t, func() bool { return len(first.seen()) > 0 }, time.Second, time.Millisecond)
		s.tracker.Update(listed([]*fakeTarget{first, other}))
	}()
	return s, other
}

func (p *patientTargets) run(f *fakeTarget, r *http.Request, c net.Conn) {
	if r.Method == http.MethodDelete {
		reply(c, "", 200, "")
		return
	}
	w := p.begin(f, r)
	defer p.end(w)
	last, _ := strconv.Atoi(r.Header.Get("X-Last"))
	for n := last + 1; n <= draftEvents; n++ {
		select {
		case <-w.stop:
			c.Close()
			return
		case <-time.After(p.delay(f, n)):
		}
		if n == last+1 {
			streamHead(c, w.attempt, "seal-of-"+f.id)
		}
		chunk(c, event(n))
	}
	streamEnd(c)
}

func (p *patientTargets) begin(f *fakeTarget, r *http.Request) *work {
	w := &work{target: f, attempt: r.Header.Get("X-Id"), path: r.URL.Path, stop: make(chan struct{}), known: time.Now().Add(p.unknown)}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, before := range p.working {
		if before.path == w.path && before.target != f {
			p.checks.Add(1)
			time.AfterFunc(twiceLimit, func() { p.checkEnded(before) })
		}
	}
	p.working = append(p.working, w)
	return w
}

func (p *patientTargets) end(w *work) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.working = slices.DeleteFunc(p.working, func(o *work) bool { return o == w })
}

func (p *patientTargets) checkEnded(before *work) {
	defer p.checks.Done()
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.working, before) {
		p.twice = append(p.twice, before.path+" at "+before.target.id)
	}
}

func (p *patientTargets) answerStop(f *fakeTarget, c net.Conn, attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, attempt)
	if len(p.refuse) > 0 {
		reply(c, "", p.refuse[0], "")
		p.refuse = p.refuse[1:]
		return
	}
	for i, w := range p.working {
		if w.target == f && w.attempt == attempt && !time.Now().Before(w.known) {
			close(w.stop)
			p.working = slices.Delete(p.working, i, i+1)
			reply(c, "", 200, "handle-"+attempt)
			return
		}
	}
	reply(c, "", 404, "")
}

// requireNoneTwice checks that no target kept working on a request that went on elsewhere.
func (p *patientTargets) requireNoneTwice() {
	p.t.Helper()
	p.checks.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(p.t, p.twice)
	require.NotEmpty(p.t, p.orders)
}

// slowAt delays one event of the first target for a time that no stream waits for.
func slowAt(event int) func(*fakeTarget, int) time.Duration {
	return func(f *fakeTarget, n int) time.Duration {
		if f.id == "i-1" && n == event {
			return 2 * time.Second
		}
		return 20 * time.Millisecond
	}
}

// A slow target must not keep working on a stream that its node has moved, even if it does not
// drop requests whose connections are closed.
func TestMovedStreamDoesNotRunOnAtItsSlowTarget(t *testing.T) {
	for name, p := range map[string]*patientTargets{
		"between events":                   {delay: slowAt(5)},
		"before the first event":           {delay: slowAt(1)},
		"not begun when ordered to stop":   {delay: slowAt(1), unknown: time.Second},
		"while another order is under way": {delay: slowAt(5), refuse: []int{409, 409}},
		"while it rejects orders":          {delay: slowAt(5), refuse: []int{503, 429}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.t = t
			s, other := p.newSite()
			_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, wholeDraft(1), body)
			require.Len(t, other.seen(), 1)
			p.requireNoneTwice()
		})
	}
}

// ends are the ways in which a stream's connection to its client ends before the stream does.
var ends = map[string]func(s *testSite, client context.CancelFunc){
	"client leaves": func(_ *testSite, client context.CancelFunc) { client() },
	"node stops": func(s *testSite, _ context.CancelFunc) {
		s.gateway.EndRequests()
		for s.gateway.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), twiceLimit)
		defer cancel()
		s.gateway.AwaitStopOrders(ctx)
		s.gateway.Close()
	},
}

// A stream that its client takes up at another node must not run on at the target of the first.
func TestStreamTakenUpElsewhereDoesNotRunOnAtItsTarget(t *testing.T) {
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &patientTargets{t: t, delay: func(*fakeTarget, int) time.Duration { return 100 * time.Millisecond }}
			first, second := p.add("i-1", "north"), p.add("i-2", "south")
			a := newTestSite(t, []*fakeTarget{first, second})
			begun := WithOrigins(a.gateway.cfg.Origins)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, err := http.DefaultTransport.RoundTrip(a.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000").WithContext(ctx))
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = resp.Body.Read(make([]byte, len(event(1))))
			require.NoError(t, err)
			elsewhere := second
			if p.runsAt()[0] == second {
				elsewhere = first
			}
			end(a, cancel)
			b := newTestSite(t, []*fakeTarget{elsewhere}, begun)
			_, body, err := do(t, b.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000", "X-Id", "attempt-2", "X-Last", "1"))
			require.NoError(t, err)
			require.Equal(t, wholeDraft(2), body)
			p.requireNoneTwice()
		})
	}
}

// runsAt returns the targets that work on a request now.
func (p *patientTargets) runsAt() (targets []*fakeTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.working {
		targets = append(targets, w.target)
	}
	return targets
}

// A stream that goes through another node must not run on at a target that this node gives up.
func TestRelayedStreamDoesNotRunOnAtItsSlowTarget(t *testing.T) {
	for name, p := range map[string]*patientTargets{
		"between events":                 {delay: slowAt(5)},
		"before the first event":         {delay: slowAt(1)},
		"not begun when ordered to stop": {delay: slowAt(1), unknown: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.t = t
			slow, other := p.add("i-1", "north"), p.add("i-2", "south")
			s := newRelaySite(t, 1, []*fakeTarget{slow, other})
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "draft")
			for len(slow.seen()) == 0 {
				_, body, err := do(t, s.ingress.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
				require.NoError(t, err)
				require.Equal(t, wholeDraft(1), body)
			}
			p.requireNoneTwice()
		})
	}
}

// The stream goes on at once whatever a target makes of the order to stop its run, and the
// orders come to an end.
func TestStopOrderDelaysNoStream(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(c net.Conn)
		result stopResult
	}{
		"not running":    {func(c net.Conn) { reply(c, "", 404, "") }, stopNotRunning},
		"unsupported":    {func(c net.Conn) { reply(c, "", 405, "") }, stopUnsupported},
		"server error":   {func(c net.Conn) { reply(c, "", 500, "") }, stopUnsupported},
		"no answer":      {func(net.Conn) {}, stopUnanswered},
		"closed":         {func(c net.Conn) { c.Close() }, stopUnanswered},
		"rubbish":        {func(c net.Conn) { fmt.Fprint(c, "rubbish\r\n\r\n") }, stopUnanswered},
		"another answer": {func(c net.Conn) { reply(c, "attempt-9", 200, "handle-9") }, stopUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &patientTargets{t: t, delay: slowAt(5)}
			p.stop = func(conn net.Conn, _ string) { c.answer(conn) }
			s, _ := p.newSite()
			began := time.Now()
			_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, wholeDraft(1), body)
			require.Less(t, time.Since(began), time.Second, "slowAt is 2 s")
			require.Eventually(t, func() bool {
				return s.gateway.counters.set.GetOrCreateCounter(fmt.Sprintf("walnutramp_gateway_stop_orders_total{result=%q}", c.result)).Get() == 1
			}, stopTimeout+time.Second, 10*time.Millisecond)
			require.Zero(t, s.gateway.stopOrders.Load())
		})
	}
}

// The copy that a stop makes is released, unless the stream may go on from it.
func TestCopyOfAStoppedRunIsReleased(t *testing.T) {
	p := &patientTargets{t: t, delay: slowAt(5)}
	s, _ := p.newSite()
	_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Eventually(t, func() bool {
		return slices.Contains(copyOrdersOf(p.first), "DELETE "+copyPath+"/handle-attempt-1")
	}, 5*time.Second, time.Millisecond)
}

func TestCopyFromWhichAStreamGoesOnIsNotReleased(t *testing.T) {
	s, body, err := newCopySite(t, http.StatusOK, (*copySite).copied, func(c net.Conn) bool {
		c.Close()
		return false
	}, func(f *fakeTarget) { f.stop = func(c net.Conn, _ string) { reply(c, "", 200, "handle-1") } })
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.gateway.AwaitStopOrders(ctx)
	require.NoError(t, ctx.Err())
	require.Equal(t, []string{"POST " + copyPath}, copyOrdersOf(s.source))
	require.Equal(t, s.copyName(), s.other.seen()[0].Header.Get("X-Copy-From"))
}

// Targets that take no orders get none.
func TestTargetWithoutOrdersIsNotOrderedToStop(t *testing.T) {
	p := &patientTargets{t: t, delay: slowAt(5)}
	slow, other := p.add("i-1", "north"), p.add("i-2", "south")
	s := newTestSite(t, []*fakeTarget{slow, other}, WithStall(testStall))
	table := testTable()
	service := table.Services["draft"]
	service.CopyOrders = false
	table.Services["draft"] = service
	s.gateway.SetTable(table)
	for len(slow.seen()) == 0 {
		_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
		require.NoError(t, err)
		require.Equal(t, wholeDraft(1), body)
	}
	require.Empty(t, p.orders)
}

// Repeated orders must not take the permits of a target with a rate limit.
func TestStopOrderToATargetWithARateLimitIsNotRepeated(t *testing.T) {
	p := &patientTargets{t: t, delay: slowAt(1)}
	p.stop = func(c net.Conn, attempt string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.orders = append(p.orders, attempt)
		reply(c, "", 404, "", "X-Limit: 50")
	}
	s, _ := p.newSite()
	s.gateway.cfg.Limits.Observe("i-1", ratelimit.ParseSignal([]string{"50"}))
	_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	time.Sleep(2 * twiceLimit)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.orders, 1)
}

// A run that is canceled before its first event is ordered to stop, whatever the cause.
func TestCanceledRunIsOrderedToStop(t *testing.T) {
	for _, cause := range []error{errTargetUnresponsive, errPathLost, errQuarantined} {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			p := &patientTargets{t: t, delay: slowAt(1)}
			s, _ := p.newSite()
			go func() {
				assert.Eventually(t, func() bool { return len(p.runsAt()) > 0 && s.tracker.Target("i-2") != nil }, time.Second, time.Millisecond)
				s.gateway.pending.cancelWhere(cause, func(*pendingRun) bool { return true })
			}()
			_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, wholeDraft(1), body)
			p.requireNoneTwice()
		})
	}
}

// A run that is canceled while no other target is known must be stopped once its stream goes on
// at one that is listed later.
func TestRunIsOrderedToStopOnceAnotherTargetIsKnown(t *testing.T) {
	p := &patientTargets{t: t, delay: slowAt(1)}
	first, other := p.add("i-1", "north"), p.add("i-2", "south")
	s := newTestSite(t, []*fakeTarget{first}, WithStall(testStall))
	go func() {
		assert.Eventually(t, func() bool { return len(p.runsAt()) > 0 }, time.Second, time.Millisecond)
		s.gateway.pending.cancelWhere(errPathLost, func(*pendingRun) bool { return true })
		time.Sleep(testStall)
		s.tracker.Update(listed([]*fakeTarget{first, other}))
	}()
	_, body, err := do(t, s.request(t, "POST", "/draft/a", "prompt", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	p.requireNoneTwice()
}

// A target may know a run only some time after the first order to stop it. The run must still
// end within twiceLimit, and the orders must stay few.
func TestOrdersStopARunThatItsTargetKnowsLate(t *testing.T) {
	const (
		latest    = 3 * twiceLimit / 4
		maxOrders = 6 // within stopTimeout
	)
	var orders []time.Duration
	backoff := stopBackoff{wait: minStopRetry}
	for at := time.Duration(0); at < stopTimeout; at += backoff.next(stopNotRunning, at) {
		orders = append(orders, at)
	}
	require.LessOrEqual(t, len(orders), maxOrders, orders)
	for known := time.Duration(0); known <= latest; known += 10 * time.Millisecond {
		i := slices.IndexFunc(orders, func(at time.Duration) bool { return at >= known })
		require.Less(t, orders[i], twiceLimit, "known after %s", known)
	}
}
