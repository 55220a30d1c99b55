package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// cutOff logs and counts a plain request that ends without a complete answer, and closes its
// connection by a panic with http.ErrAbortHandler: a truncated answer must not look complete.
// Err is why the answer could not be forwarded; nil if there is none.
func (g *Gateway) cutOff(ctx context.Context, c *call, why endReason, err error) {
	g.counters.requestCutOff(why)
	klog.InfoS("Request cut off", "request", c.id, "route", c.route.Name, "sent", c.dispatched, "outcome", c.outcome(), "why", why,
		"cause", context.Cause(ctx), "err", err, "stopping", g.stopping.Load() != phaseServing, "relayed", c.relayed,
		"ms", uptime.Since(c.arrived).Milliseconds(), "configurationAge_ms", g.tableAge().Milliseconds())
	panic(http.ErrAbortHandler)
}

// answerWriter is an http.ResponseWriter that records whether an answer has begun.
type answerWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap implements what http.ResponseController uses.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// answerPanic answers a request whose handler has panicked with p, or closes its connection if
// an answer has begun. The call is nil if it was not opened.
func (g *Gateway) answerPanic(p any, w *answerWriter, r *http.Request, c *call) {
	if p != http.ErrAbortHandler {
		g.recordPanic(r.Header.Get(g.cfg.Names.Identity), p)
	}
	if p == http.ErrAbortHandler || w.begun {
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(w)
		}
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	g.writeError(w, c.panicError())
}

// resetConnection resets the connection of an answer. If the answer has no length, closing the
// connection would complete it for an HTTP/1.0 client.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.ErrorS(err, "Failed to reset the connection of a truncated answer")
		return
	}
	defer conn.Close()
	tcp, ok := innermost(conn).(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.SetLinger(0); err != nil {
		klog.ErrorS(err, "Failed to reset the connection of a truncated answer")
	}
}

// innermost returns the connection inside all wrappers that name theirs.
func innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// panicError returns the error of a call whose handler has panicked.
func (c *call) panicError() *walnutramp.Error {
	outcome := walnutramp.NotRun
	if c != nil && !c.sentAt.IsZero() {
		outcome = walnutramp.Unknown
	}
	return walnutramp.NewError(walnutramp.CodeInternal, outcome, "the handler of the request failed")
}

// endOfPanic returns the end of another node's request whose handler has panicked with p.
func (g *Gateway) endOfPanic(p any, c *call) egress.End {
	if p != http.ErrAbortHandler {
		g.recordPanic(c.id, p)
	}
	if e := c.panicError(); e.Outcome == walnutramp.NotRun {
		return notSentEnd(e)
	}
	return egress.End{Result: egress.Failed}
}

// recordPanic logs and counts the panic of a request's handler. It must be called from the
// deferred function that recovers it.
func (g *Gateway) recordPanic(request string, p any) {
	g.counters.panics.Inc()
	stack := strings.Join(strings.Fields(string(debug.Stack())), " ")
	klog.ErrorS(nil, "Request handler panicked", "request", request, "panic", p, "stack", stack)
}
