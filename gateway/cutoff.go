package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"

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

// logPanic logs and counts the panic of a request's handler. It must be deferred. The panic
// closes the client's connection.
func (g *Gateway) logPanic(r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		g.counters.panics.Inc()
		stack := strings.Join(strings.Fields(string(debug.Stack())), " ")
		klog.ErrorS(nil, "Request handler panicked", "request", r.Header.Get(g.cfg.Names.Identity), "panic", p, "stack", stack)
	}
	panic(http.ErrAbortHandler)
}
