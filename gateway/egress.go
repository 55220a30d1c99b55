package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"k8s.io/klog/v2"
)

const (
	// maxRelayed bounds the requests of other nodes that are served at a time.
	maxRelayed = 512
	// handBackTime is how long before the end of a planned stop the streams of other nodes
	// are handed back to them, to be resumed elsewhere.
	handBackTime = time.Second
)

// errHandedBack cancels a stream of another node as this one stops.
var errHandedBack = errors.New("node stops, stream handed back")

// Reaches implements loadshare.ReachHandler.
func (g *Gateway) Reaches(service string) (ok bool, load int) {
	return g.refusesRelayed(service) == nil, g.InFlight()
}

// refusesRelayed returns why this node sends no requests of other nodes to a service; nil if
// it does.
func (g *Gateway) refusesRelayed(service string) *walnutramp.Error {
	table := g.table.Load()
	switch {
	case table == nil || !g.targets.Listed() || !g.holdsLease():
		return walnutramp.NewError(walnutramp.CodeNotInForce, walnutramp.NotRun, "no configuration or target list")
	case g.stopping.Load() != phaseServing:
		return walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "this node is stopping")
	case g.relayed.count() >= maxRelayed || g.bodies.Exceeded():
		return walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "too many requests of other nodes")
	case g.paths.State(service).Lost:
		return walnutramp.NewError(walnutramp.CodeNoPath, walnutramp.NotRun, "no path to the targets")
	}
	if _, known := table.Services[service]; !known {
		return walnutramp.NewError(walnutramp.CodeNoTarget, walnutramp.NotRun, "unknown service")
	}
	return nil
}

// HandleRelayed implements egress.Handler.
func (g *Gateway) HandleRelayed(ctx context.Context, r *egress.Request, body []byte, w *egress.ResponseWriter) (end egress.End) {
	if e := g.refusesRelayed(r.Service); e != nil {
		return notSentEnd(e)
	}
	giveBack, refusal := g.cfg.Heads.TakeHeader(r.Header)
	if refusal != nil {
		end := notSentEnd(walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "%s", refusal.Why).WithRetryAfter(refusal.RetryAfter))
		end.OfTargets = true // others with common heads are still sent through this node
		return end
	}
	defer giveBack()
	c := g.relayedCall(r, body)
	defer func() {
		if p := recover(); p != nil {
			end = g.endOfPanic(p, c)
		}
	}()
	if c.mayHaveRun && !c.route.Idempotent() {
		end := notSentEnd(walnutramp.NewError(walnutramp.CodeOutcomeUnknown, walnutramp.Unknown, "a request that may have run is not repeated"))
		end.Final = true
		return end
	}
	if c.resumable() && c.hasLast && !c.binding.bound {
		end := notSentEnd(errVersionUnknown()) // the ingress runs a build that binds no streams
		end.Final = true
		return end
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, stop := g.requestContext(ctx, c.deadline)
	defer stop()
	defer g.relayed.add(c, cancel)()
	g.active.Add(1)
	defer g.active.Add(-1)
	g.bodies.Add(int64(len(body)))
	defer g.bodies.GiveBack(int64(len(body)))
	defer g.returnGrants(c)
	klog.InfoS("Sending another node's request", "request", c.id, "service", c.service, "route", c.route.Name, "retry", r.Retry, "last", c.lastID)
	if c.route.Kind == Stream {
		end = g.relayStream(ctx, c, g.copyOf(r.Copy), w)
	} else {
		end = g.relayPlain(ctx, c, w)
	}
	g.counters.relayed("egress", end.Result.String())
	return end
}

// notSentEnd returns the end of a request that this node did not send.
func notSentEnd(e *walnutramp.Error) egress.End {
	return egress.End{Result: egress.NotSent, Error: &egress.Error{Code: int(e.Code), Message: e.Message, RetryAfter: e.RetryAfter}}
}

// relayedCall returns the call of another node's request. The retry budget, the client
// account's usage and demand are that node's business.
func (g *Gateway) relayedCall(r *egress.Request, body []byte) *call {
	now := uptime.Now()
	table := g.table.Load()
	c := &call{
		id: r.ID, service: r.Service, settings: table.Services[r.Service], account: Account{Name: r.Account},
		route: &Route{Name: r.Route, Kind: Kind(r.Kind), Resume: r.Resume, Timeout: r.Elapsed + r.Deadline, LatencyObjective: r.Objective,
			MaxEventGap: r.MaxEventGap, Priority: r.Priority, MaxAttempts: r.AttemptsLeft},
		method: r.Method, uri: r.URI, host: r.Host, header: r.Header, body: body, hasBody: r.HasBody,
		arrived: now.Add(-r.Elapsed), deadline: now.Add(r.Deadline), priority: r.Priority, rank: table.ranks[r.Priority], version: r.Version,
		lastID: r.LastID, hasLast: r.HasLast, resumed: r.Resumed, promptKey: r.PromptKey, maxOutput: r.MaxOutput,
		work:  balance.Work{PrefillTokens: r.Prefill, MemoryTokens: r.Memory},
		tried: map[*balance.Target]bool{}, rejected: map[*balance.Target]bool{}, failedHalls: r.FailedHalls,
		mayHaveRun: r.MayHaveRun, metered: true, relayed: true, endedByIngress: r.EndedByIngress, pendingByIngress: r.PendingByIngress,
		binding: binding{bound: r.Bound, software: r.Software}, idleSince: now.Add(-r.Idle),
	}
	if c.failedHalls == nil {
		c.failedHalls = map[string]int{}
	}
	for _, incarnation := range append(r.Avoid, r.Tried...) {
		if t := g.targets.Target(incarnation); t != nil {
			c.tried[t] = true
		}
	}
	if r.SendWithin > 0 {
		c.sendBy = now.Add(min(r.SendWithin, math.MaxInt64/2))
	}
	c.fingerprint = quarantine.FingerprintOf(c.body, c.account.Name, c.host, c.method, c.uri)
	g.identifyStream(c)
	c.stream.Attempt = r.Attempt
	return c
}

// endOf returns the end of a call without a complete answer, once it was sent or no target
// is left.
func (g *Gateway) endOf(c *call, target *balance.Target, ran bool) egress.End {
	if !c.contacted {
		if e := g.refusesRelayed(c.service); e != nil {
			return notSentEnd(e)
		}
		e := g.finalError(c)
		end := notSentEnd(e)
		end.OfTargets, end.Final = true, e.Outcome == walnutramp.NotRun && e.Code != walnutramp.CodeNoTarget
		return end
	}
	end := egress.End{Result: egress.Rejected}
	if ran {
		end.Result = egress.Failed
		g.cfg.Quarantine.CheckRetry(c.crashProbe, c.fingerprint) // the ingress learns of a crash before it retries
	}
	if target != nil {
		end.Target, end.DataHall = target.Incarnation(), target.DataHall
		end.Cooldown, end.Draining = target.RemainingCooldown(), target.Draining()
	}
	return end
}

// relayPlain sends a request whose answer is not an event stream to a target, once.
func (g *Gateway) relayPlain(ctx context.Context, c *call, w *egress.ResponseWriter) egress.End {
	for {
		t := g.nextTarget(ctx, c)
		if t == nil {
			return g.endOf(c, nil, false)
		}
		before := c.dispatched
		announceTarget(w, c, t)
		a, _ := g.attemptPlain(ctx, c, t)
		if a != nil {
			w.SetTarget(egress.Target{Incarnation: t.Incarnation(), DataHall: t.DataHall, Software: t.Version})
			g.writeResponse(ctx, w, c, a)
			return egress.End{Result: egress.Answered}
		}
		if c.contacted || ctx.Err() != nil || g.paths.Await(ctx, c.service).Lost {
			return g.endOf(c, t, c.dispatched > before)
		}
	}
}

// announceTarget names the target to the ingress, which may have to end the request for its
// silence.
func announceTarget(w *egress.ResponseWriter, c *call, t *balance.Target) {
	if c.pendingByIngress {
		w.Sent(egress.Sent{Target: t.Incarnation(), DataHall: t.DataHall})
	}
}

// relayStream makes one run of a stream.
func (g *Gateway) relayStream(ctx context.Context, c *call, from *kvCopy, w *egress.ResponseWriter) egress.End {
	r := &relay{gateway: g, call: c, w: w, egressWriter: w, resumeFrom: from}
	defer r.close()
	for {
		result := r.runNext(ctx)
		switch {
		case result == runComplete && r.finish(ctx), result == runNotStream:
			return egress.End{Result: egress.Answered}
		case result == runNoTarget || c.contacted || ctx.Err() != nil || g.paths.Await(ctx, c.service).Lost:
			if r.started {
				r.drain()
			}
			end := g.endOf(c, r.target, result != runRejected)
			end.Copy = copyMessage(r.resumeFrom)
			end.HandedBack = r.silent || contextReason(ctx) == endStopping
			return end
		}
	}
}

// relayedCalls are the requests of other nodes that are being served.
type relayedCalls struct {
	mu    sync.Mutex
	calls map[*call]context.CancelCauseFunc
}

// add registers a call; done removes it.
func (r *relayedCalls) add(c *call, cancel context.CancelCauseFunc) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[*call]context.CancelCauseFunc{}
	}
	r.calls[c] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, c)
	}
}

func (r *relayedCalls) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// handBack cancels the streams that can be resumed at another node.
func (r *relayedCalls) handBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, cancel := range r.calls {
		if c.route.Kind == Stream && c.route.Resume {
			cancel(errHandedBack)
		}
	}
}
