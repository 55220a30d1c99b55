package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/peer"
)

// relayBreaks are ways in which a relayed stream breaks off or changes its way. They run once,
// before the fifth event of the first run.
var relayBreaks = map[string]func(s *relaySite, c net.Conn){
	"target ends": func(_ *relaySite, c net.Conn) { c.Close() },
	"egress ends": func(s *relaySite, _ net.Conn) {
		for _, n := range s.sending() {
			if n.relayed() == 0 {
				n.server.Close()
			}
		}
	},
	"egress is cut off": func(s *relaySite, _ net.Conn) {
		for _, n := range s.sending() {
			n.cut(syscall.ECONNREFUSED)
		}
	},
	"path is back": func(s *relaySite, c net.Conn) {
		s.ingress.heal()
		time.Sleep(250 * time.Millisecond)
		c.Close()
	},
}

// A stream must go on where it was when its egress ends, when its target ends, and when the
// node's own path is back.
func TestRelayedStreamResumes(t *testing.T) {
	for name, breakOff := range relayBreaks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *relaySite
			var broken atomic.Bool
			script := draft(func(_ *fakeTarget, c net.Conn, n int) bool {
				if n == 5 && broken.CompareAndSwap(false, true) {
					breakOff(s, c)
				}
				time.Sleep(20 * time.Millisecond)
				return true
			})
			targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
			s = newRelaySite(t, 3, targets)
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, "draft")
			resp, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode)
			require.Equal(t, wholeDraft(1), body)
			require.True(t, broken.Load())
			require.Len(t, seenBy(targets), 2)
		})
	}
}

// A stream that a stopping egress hands back must go on through another one.
func TestStoppingEgressHandsStreamsBack(t *testing.T) {
	var s *relaySite
	var stopped atomic.Bool
	script := draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 3 && stopped.CompareAndSwap(false, true) {
			for _, n := range s.sending() {
				n.gateway.BeginShutdown(uptime.Now().Add(handBackTime + 100*time.Millisecond))
			}
		}
		time.Sleep(100 * time.Millisecond)
		return true
	})
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
	s = newRelaySite(t, 2, targets)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Equal(t, 1, s.others[0].relayed(), "each has sent it once")
	require.Equal(t, 1, s.others[1].relayed())
}

// frozenProxy passes connections on to an egress while it is not frozen.
func frozenProxy(t *testing.T, to string) (address string, frozen *atomic.Bool) {
	l := newLocalListener(t)
	t.Cleanup(func() { l.Close() })
	frozen = &atomic.Bool{}
	pass := func(from, to net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			for frozen.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if err != nil {
				to.Close()
				return
			}
			to.Write(buffer[:n])
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go pass(c, up)
			go pass(up, c)
		}
	}()
	return l.Addr().String(), frozen
}

// newProxiedEgress returns the address of another node that can be frozen.
func newProxiedEgress(t *testing.T, targets []*fakeTarget) (address string, frozen *atomic.Bool) {
	// The proxy's address is the name under which the egress must identify itself.
	node, l := newCuttableNode(t, targets), newLocalListener(t)
	address, frozen = frozenProxy(t, l.Addr().String())
	server := egress.NewServer(node.gateway, 8<<20)
	t.Cleanup(func() { server.Close() })
	go server.Serve(l, peer.Identity{Site: "s", Node: walnutramp.NodeName(address)}, &peer.Traffic{})
	return address, frozen
}

// A frozen egress must be noticed within a second.
func TestFrozenEgressIsReplaced(t *testing.T) {
	var frozen *atomic.Bool
	script := draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
		if n == 5 {
			frozen.Store(true)
		}
		time.Sleep(20 * time.Millisecond)
		return true
	})
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
	s := newRelaySite(t, 2, targets)
	var address string
	address, frozen = newProxiedEgress(t, targets)
	s.offers = []string{address}
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	time.AfterFunc(100*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.offers = []string{address, s.others[0].address}
	})
	began := time.Now()
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
	require.Less(t, time.Since(began), 2*time.Second)
}

// newLocalListener listens on a loopback address that no other process uses: tests go on
// dialing ports that they have closed, and those of a shared address may be given out again.
func newLocalListener(t *testing.T) net.Listener {
	pid := os.Getpid() // at most 22 bits
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 128+pid>>16, pid>>8&0xff, pid&0xff))
	require.NoError(t, err)
	return l
}

// A client that leaves must be passed on to the target within half a second.
func TestClientThatLeavesCancelsARelayedRun(t *testing.T) {
	gone := make(chan time.Time, 1)
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		streamHead(c, r.Header.Get("X-Id"), "s")
		chunk(c, event(1))
		c.Read(make([]byte, 1)) // until the connection is closed
		gone <- time.Now()
	})}
	s := newRelaySite(t, 1, targets, WithStall(5*time.Second))
	s.others[0].gateway.cfg.Stall = 5 * time.Second
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := http.DefaultTransport.RoundTrip(s.ingress.request(t, "POST", "/draft/", "", "X-Deadline", "9000").WithContext(ctx))
	require.NoError(t, err)
	defer resp.Body.Close()
	resp.Body.Read(make([]byte, 10))
	cancel()
	left := time.Now()
	select {
	case at := <-gone:
		require.Less(t, at.Sub(left), 500*time.Millisecond)
	case <-time.After(2 * time.Second):
		t.Fatal("the run goes on")
	}
}

// A stream that its node gives up while it still dials has not run.
func TestStreamCanceledWhileDialingHasNotRun(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", draft(nil))}
	for _, cause := range []error{errTargetUnresponsive, errPathLost} {
		s := newRelaySite(t, 0, targets)
		s.ingress.cut(errSilent)
		go func() {
			for s.ingress.dialed.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			s.ingress.gateway.pending.cancelWhere(cause, func(*pendingRun) bool { return true })
		}()
		status, body := s.ingress.post(t, "/draft/")
		require.Equal(t, 503, status)
		require.Contains(t, body, `"not-run"`)
	}
}

// A relayed request must not be relayed again while its egress is still finding out that it
// has lost its path, too.
func TestRelayedStreamHasNoSecondHop(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", draft(nil))}
	s, further := newRelaySite(t, 1, targets), newRelaySite(t, 1, targets)
	s.others[0].gateway.cfg.Egress = further.ingress.gateway.cfg.Egress
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	s.others[0].cut(errSilent)
	s.others[0].gateway.paths.Suspect("draft")
	status, body := s.ingress.post(t, "/draft/")
	require.Equal(t, 503, status)
	require.Contains(t, body, `"code":3011`)
	require.Zero(t, further.others[0].relayed())
}

// The operator's sum over all nodes must be the number of streams.
func TestRelayedStreamCountsAsBegunOnce(t *testing.T) {
	s := newRelaySite(t, 1, []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", draft(nil))})
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	resp, _, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	const begun = "walnutramp_gateway_streams_begun_total{"
	require.Contains(t, s.ingress.metrics(), begun)
	require.NotContains(t, s.others[0].metrics(), begun)
}

// A client that reads late must not be taken for a target that is silent.
func TestRelayedStreamOfASlowClientIsNotCutOff(t *testing.T) {
	const events = 40
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", longDraft(events)), newFakeTarget(t, "i-2", "draft", "south", longDraft(events))}
	s := newRelaySite(t, 2, targets, WithStall(testStall), WithBufferLimits(BufferLimits{Answer: 16 << 10, Account: 8 << 20, Total: 8 << 20}))
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	read := make(chan struct{})
	time.AfterFunc(testSilence, func() { close(read) })
	client := newSlowClient(read)
	require.True(t, s.ingress.serve(client, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60")))
	require.Equal(t, events, strings.Count(client.Body.String(), "\n\n"))
	require.Len(t, seenBy(targets), 1)
}

// The egress does not know whether a retry is left, so it must not end a run that has not begun.
func TestRelayedRequestOfASilentTargetIsWaitedFor(t *testing.T) {
	const silence = 10 * testStall
	scripts := map[string]func(*fakeTarget, *http.Request, net.Conn){
		"/draft/": func(f *fakeTarget, r *http.Request, c net.Conn) {
			time.Sleep(silence)
			draft(nil)(f, r, c)
		},
		"/safe/": func(_ *fakeTarget, r *http.Request, c net.Conn) {
			time.Sleep(silence)
			reply(c, r.Header.Get("X-Id"), 200, wholeDraft(1))
		},
	}
	for path, service := range map[string]string{"/draft/": "draft", "/safe/": "lookup"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			targets := []*fakeTarget{newFakeTarget(t, "i-1", service, "north", scripts[path]), newFakeTarget(t, "i-2", service, "south", scripts[path])}
			s := newRelaySite(t, 2, targets)
			table := testTable()
			table.Route("a.example", path+"x").LatencyObjective = testStall
			s.ingress.gateway.SetTable(table)
			for _, n := range s.others {
				n.gateway.cfg.FirstEvent = testStall
			}
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, service)
			spendBudget(s.ingress.gateway)
			resp, body, err := do(t, s.ingress.request(t, "POST", path+"x", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode, body)
			require.Equal(t, wholeDraft(1), body)
			require.Len(t, seenBy(targets), 1)
		})
	}
}

// A run that its ingress ends for silence must go on at a target that is not silent.
func TestSilentRelayedRequestIsReplacedAtAnotherTarget(t *testing.T) {
	for path, service := range map[string]string{"/draft/": "draft", "/safe/": "lookup"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			answer := draft(nil)
			if path == "/safe/" {
				answer = func(_ *fakeTarget, r *http.Request, c net.Conn) {
					reply(c, r.Header.Get("X-Id"), 200, wholeDraft(1))
				}
			}
			var silent atomic.Pointer[fakeTarget]
			script := func(f *fakeTarget, r *http.Request, c net.Conn) {
				if silent.CompareAndSwap(nil, f) || silent.Load() == f {
					c.Read(make([]byte, 1)) // until the run is given up
					return
				}
				answer(f, r, c)
			}
			targets := []*fakeTarget{newFakeTarget(t, "i-1", service, "north", script), newFakeTarget(t, "i-2", service, "south", script)}
			s := newRelaySite(t, 3, targets)
			table := testTable()
			table.Route("a.example", path+"x").LatencyObjective = testStall
			s.ingress.gateway.SetTable(table)
			s.ingress.cut(syscall.ECONNREFUSED)
			s.ingress.lostPath(t, service)
			resp, body, err := do(t, s.ingress.request(t, "POST", path+"x", "prompt", "X-Deadline", "9000"))
			require.NoError(t, err)
			require.Equal(t, 200, resp.StatusCode, body)
			require.Equal(t, wholeDraft(1), body)
			require.Len(t, silent.Load().seen(), 1)
		})
	}
}

// A stream that a stopping egress hands back waits for a retry, as its target is at work.
func TestStreamHandedBackWaitsForARetry(t *testing.T) {
	var s *relaySite
	var stopped atomic.Bool
	script := draft(func(_ *fakeTarget, c net.Conn, n int) bool {
		if n == 3 && stopped.CompareAndSwap(false, true) {
			for _, n := range s.sending() {
				n.gateway.BeginShutdown(uptime.Now().Add(handBackTime + testStall))
			}
		}
		time.Sleep(testStall)
		return true
	})
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
	s = newRelaySite(t, 2, targets, WithBorrow(lateBorrow(func() *Gateway { return s.ingress.gateway })))
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	spendBudget(s.ingress.gateway)
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
}

// An answer that can't be replaced must outlast a pause of its egress.
func TestRelayedAnswerOutlastsAPauseOfItsEgress(t *testing.T) {
	var frozen *atomic.Bool
	half := strings.Repeat("0123456789abcdef", 10<<10)
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "lookup", "north", func(_ *fakeTarget, r *http.Request, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), 2*len(half), half)
		time.Sleep(testStall)
		frozen.Store(true)
		time.Sleep(1200 * time.Millisecond)
		frozen.Store(false)
		io.WriteString(c, half)
	})}
	s := newRelaySite(t, 0, targets)
	var address string
	address, frozen = newProxiedEgress(t, targets)
	s.offers = []string{address}
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "lookup")
	resp, body, err := do(t, s.ingress.request(t, "POST", "/once/", "book", "X-Deadline", "9000"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, half+half, body)
}

// A stream that is lost with its egress waits until another node offers to send it.
func TestStreamLostWithItsEgressWaitsForAnother(t *testing.T) {
	var s *relaySite
	var lost atomic.Bool
	offer := func(nodes ...string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.offers = append([]string{}, nodes...)
	}
	script := draft(func(_ *fakeTarget, _ net.Conn, n int) bool {
		if n == 3 && lost.CompareAndSwap(false, true) {
			offer()
			time.AfterFunc(testSilence, func() { offer(s.others[1].address) })
			time.Sleep(testStall) // the events before have arrived
			s.others[0].server.Close()
		}
		return true
	})
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
	s = newRelaySite(t, 2, targets)
	offer(s.others[0].address)
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
}

// A run that an egress hands back before the head of its answer waits for a retry, too.
func TestRunHandedBackBeforeItsHeadWaitsForARetry(t *testing.T) {
	var s *relaySite
	var runs atomic.Int64
	script := func(f *fakeTarget, r *http.Request, c net.Conn) {
		if r.RequestURI != copyPath && runs.Add(1) == 1 {
			for _, n := range s.sending() {
				n.gateway.BeginShutdown(uptime.Now().Add(handBackTime + testStall))
			}
			c.Read(make([]byte, 1)) // until the run is handed back
			return
		}
		draft(nil)(f, r, c)
	}
	targets := []*fakeTarget{newFakeTarget(t, "i-1", "draft", "north", script), newFakeTarget(t, "i-2", "draft", "south", script)}
	s = newRelaySite(t, 2, targets, WithBorrow(lateBorrow(func() *Gateway { return s.ingress.gateway })), WithFirstEvent(3*time.Second))
	s.ingress.cut(syscall.ECONNREFUSED)
	s.ingress.lostPath(t, "draft")
	spendBudget(s.ingress.gateway)
	_, body, err := do(t, s.ingress.request(t, "POST", "/draft/", "prompt", "X-Deadline", "9000", "X-Usage", "100,60"))
	require.NoError(t, err)
	require.Equal(t, wholeDraft(1), body)
}
