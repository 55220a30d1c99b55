package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/inflight"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/ratelimit"
	"k8s.io/klog/v2"
)

// A silent target may still answer. So a run is canceled for its target's silence, or for a
// lost path, only when it can be replaced: the route allows another attempt, the budget has a
// retry left, and another target would take it, or another node offers a path to one.
// Otherwise the client would lose an answer that is only late.

// replaceInterval is how often it is checked whether a silent run can be replaced.
const replaceInterval = 100 * time.Millisecond

// maxReplaceWait is the longest pause before a stream is tried again that targets reject.
const maxReplaceWait = time.Second

// lateReadTime is how long a run is still read from after a timeout: while this process was
// not scheduled, events may have arrived.
const lateReadTime = 10 * time.Millisecond

// replacement reserves the retry by which one run may be replaced. Its methods are safe for
// use by other goroutines than that of the run's relay.
type replacement struct {
	gateway            *Gateway
	request            string
	service            string
	target             *balance.Target // of the run; nil if it is not known
	budget             *balance.Budget
	content            quarantine.Fingerprint
	allowed            bool           // the route allows another run
	relayed            bool           // the run is for another node, which has the budget
	ingressEndsBegun   bool           // that node ends the run once it has produced an event
	ingressEndsUnbegun bool           // that node ends the run before that, too
	choice             balance.Choice // of another target, whatever its version
	egress             egress.Need    // of a node to send it through, if this one has no path
	rank               int            // of the call
	deadline           time.Time
	version            atomic.Pointer[string] // to which the stream is bound; nil before

	mu      sync.Mutex
	retry   balance.Retry
	place   *balance.Place // held for the next run; nil for none
	heardAt time.Time      // when the run began or last brought something
	closed  bool
}

// newReplacement returns the replacement of a call's next run at a target, which is nil if it
// is not known.
func (g *Gateway) newReplacement(c *call, t *balance.Target) *replacement {
	p := &replacement{
		gateway: g, request: c.id, service: c.service, target: t, budget: g.budgets.Of(c.service), content: c.fingerprint,
		allowed: c.canRetryElsewhere(), relayed: c.relayed, ingressEndsBegun: c.endedByIngress, ingressEndsUnbegun: c.pendingByIngress, rank: c.rank, deadline: c.deadline,
	}
	if c.binding.bound {
		p.bind(c.binding.software)
	}
	p.egress = c.egressNeed()
	tried := maps.Clone(c.tried)
	p.choice = c.choice()
	p.choice.FailedHalls = maps.Clone(c.failedHalls)
	p.choice.Admission, p.choice.MaxWait = c.settings.Engine, 0 // a target that is full does not take the run
	p.choice.Exclude = func(o *balance.Target) bool { return o == t || tried[o] }
	p.choice.Allowance = p.allowance
	p.heard()
	return p
}

// bind restricts the replacement to targets of a software version, once events of it were
// forwarded.
func (p *replacement) bind(version string) { p.version.Store(&version) }

// reserve reports whether the run can be replaced now, and reserves the retry and the place
// for that. With ask, other nodes are asked for a retry if this node has none left, and for
// a path to targets if it has none.
func (p *replacement) reserve(ctx context.Context, ask bool) bool {
	if p.relayed {
		return p.allowed
	}
	if _, quarantined := p.gateway.cfg.Quarantine.Quarantined(p.content); !p.allowed || quarantined || !p.available(ctx, ask) {
		return false
	}
	if p.spend() || ask && p.gateway.cfg.Borrow != nil && p.gateway.cfg.Borrow(ctx, p.service) && p.spend() {
		return true
	}
	p.releasePlace()
	return false
}

// wait returns how much longer to wait for a silent run; 0 if it is to be replaced. timeouts
// counts the timeouts since its last event; begun says that it has produced an event.
func (p *replacement) wait(ctx context.Context, timeouts int, begun bool) time.Duration {
	if timeouts == 1 {
		return lateReadTime
	}
	if !(p.ingressEndsUnbegun || begun && p.ingressEndsBegun) && p.reserve(ctx, true) {
		return 0
	}
	if timeouts == 2 {
		p.recordKept()
	}
	return replaceInterval
}

// recordKept records that a silent run is not canceled. The ingress of a relayed run cancels it
// without a word to this node, so its target's silence is recorded here.
func (p *replacement) recordKept() {
	klog.InfoS("Run is silent, but can't be replaced", "request", p.request, "service", p.service)
	if p.ingressEndsUnbegun && p.target != nil {
		p.target.RecordUnresponsive(false)
	}
}

// heard records that the run has brought something.
func (p *replacement) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = uptime.Now()
	p.releaseHeld()
}

// silentSince returns the time since which a target must have been heard to be a place for
// the run: half of its silence ago. If all targets fall silent at once, those whose runs
// have not timed out yet are none. The caller holds the mutex.
func (p *replacement) silentSince() time.Time {
	now := uptime.Now()
	return now.Add(-now.Sub(p.heardAt) / 2)
}

// releasePlace releases the place if one is held.
func (p *replacement) releasePlace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseHeld()
}

// releaseHeld is releasePlace. The caller holds the mutex.
func (p *replacement) releaseHeld() {
	if p.place != nil {
		p.place.Release()
		p.place = nil
	}
}

// available reports whether another target is available to this node, and holds a place
// there, or, with ask, whether another node offers a path to targets, after a check of the
// path that is under way. It must not find one that the next selection does not, as the run
// would be given up for it.
func (p *replacement) available(ctx context.Context, ask bool) bool {
	g := p.gateway
	path := g.paths.State(p.service)
	if ask {
		path = g.paths.Await(ctx, p.service)
	}
	if g.cfg.Egress == nil || !path.Lost {
		return p.holdPlace(false)
	}
	if path.Refused && p.holdPlace(true) {
		return true
	}
	if !ask {
		return false
	}
	node, ok := g.cfg.Egress.Choose(ctx, p.egress)
	if ok {
		g.cfg.Egress.Release(node)
	}
	return ok
}

// holdPlace holds a place at a target that would be selected for the next run now, among
// those with an idle connection if connected is set; false if there is none. A target that
// has just failed or rejected a request does not count.
func (p *replacement) holdPlace(connected bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.releaseHeld()
	g := p.gateway
	excluded := g.excludeByVersion(p.service)
	if version := p.version.Load(); version != nil {
		excluded = g.excludeUnbound(p.service, boundTo(*version))
	}
	choice := p.choice
	choice.Connected = connected
	choice.Bounded = g.cfg.InFlight.Bounded(p.service)
	choice.HeardSince = p.silentSince()
	choice.Exclude = func(t *balance.Target) bool { return p.choice.Exclude(t) || excluded != nil && excluded(t) }
	p.place = g.targets.Hold(choice)
	return p.place != nil
}

// allowance returns whether a permit of a target and a slot may be granted to the next run.
func (p *replacement) allowance(t *balance.Target) balance.Allowance {
	permit := ratelimit.Request{Target: t.Incarnation(), Rank: p.rank}
	if p.version.Load() != nil {
		permit.MaxWait, permit.Rank = resumePermitWait, 0
	}
	if p.gateway.cfg.InFlight.Check(leaseRequest(t, uptime.Until(p.deadline))) == inflight.Exhausted ||
		p.gateway.cfg.Limits.Check(permit) == ratelimit.Exhausted {
		return balance.NoAllowance
	}
	return balance.AllowanceObtainable
}

// spend spends a retry, unless one is reserved that can still be sent in time.
func (p *replacement) spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.retry.Spent() {
		if uptime.Since(p.retry.At) < p.budget.SendWithin() {
			return true
		}
		p.budget.Refund(p.retry)
		p.retry = balance.Retry{}
	}
	var ok bool
	p.retry, ok = p.budget.Spend()
	return ok
}

// close is called at the end of the run. It passes a reserved retry and place to the call,
// which may then select targets again that rejected it before this run.
func (p *replacement) close(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if !p.retry.Spent() {
		p.releaseHeld()
		return
	}
	c.releasePlace()
	c.place, p.place = p.place, nil
	c.placeSince = p.silentSince()
	c.refundRetry(p.budget)
	c.reservedRetry = p.retry
	clear(c.rejected)
}

// awaitReplacement waits until a stream may be tried again whose run this node has canceled,
// for its target's silence or a lost path, or that was lost on its way through another node;
// false if it may not be before the deadline or the client leaves. It does not wait for a
// stream that its target broke off, which the client may resume at once, nor for one without
// an event while this node stops.
func (r *relay) awaitReplacement(ctx context.Context) bool {
	g, c := r.gateway, r.call
	if !r.silent && !r.interrupted || !c.mayHaveRun || c.versionGone || c.dispatched >= c.route.MaxAttempts {
		return false
	}
	c.releasePlace()
	r.replaceWait = min(max(2*r.replaceWait, replaceInterval), maxReplaceWait)
	for wait := r.replaceWait; pause.For(ctx, wait); wait = min(2*wait, maxReplaceWait) {
		if g.cfg.Quarantine.CheckRetry(c.crashProbe, c.fingerprint) != nil || !g.targets.Offers(c.service) || !r.started && g.stopping.Load() != phaseServing {
			return false
		}
		c.egressTried = nil
		if wait < maxReplaceWait && !g.mayBegin(ctx, c) {
			continue // a run that is rejected costs a retry
		}
		if g.mayRetry(ctx, c) {
			c.attempts = 0
			clear(c.rejected)
			return true
		}
	}
	return false
}

// mayBegin reports whether another target is available for a call without a run.
func (g *Gateway) mayBegin(ctx context.Context, c *call) bool {
	p := g.newReplacement(c, nil)
	defer p.releasePlace()
	return p.available(ctx, true)
}

// releasePlace releases the place that is held for the next run, if any.
func (c *call) releasePlace() {
	if c.place != nil {
		c.place.Release()
		c.place = nil
	}
}

// beginAt records that a run of the call begins at a target, and releases the place.
func (c *call) beginAt(t *balance.Target) {
	if c.mayHaveRun {
		t.RecordMove()
	}
	c.releasePlace()
}

// replaceTimer ends a run after a timeout, as soon as it can be replaced.
type replaceTimer struct {
	replacement *replacement
	ctx         context.Context
	end         func()

	mu      sync.Mutex
	timer   *time.Timer
	resets  int
	late    bool // the timeout has passed
	stopped bool
	fired   bool
}

// endAfter calls end after a timeout, as soon as the run can be replaced.
func (p *replacement) endAfter(ctx context.Context, timeout time.Duration, end func()) *replaceTimer {
	w := &replaceTimer{replacement: p, ctx: ctx, end: end}
	w.Reset(timeout)
	return w
}

// expire is called when the timeout after a number of resets has passed.
func (w *replaceTimer) expire(resets int) {
	replaceable := !w.replacement.ingressEndsUnbegun && w.replacement.reserve(w.ctx, true)
	if w.endOrKeep(resets, replaceable) {
		w.replacement.recordKept()
	}
}

// endOrKeep ends the run if it is replaceable, or else keeps it for replaceInterval. It
// returns whether the run is kept for the first time since the last reset.
func (w *replaceTimer) endOrKeep(resets int, replaceable bool) (keptFirst bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.resets != resets {
		w.replacement.releasePlace()
		return false
	}
	if replaceable {
		w.fired = true
		w.end()
		return false
	}
	keptFirst, w.late = !w.late, true
	w.timer.Reset(replaceInterval)
	return keptFirst
}

// Reset restarts the timeout, unless the timer has fired or is stopped.
func (w *replaceTimer) Reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !w.fired {
		w.replacement.heard()
		w.late = false
		w.halt()
		resets := w.resets
		w.timer = time.AfterFunc(timeout, func() { w.expire(resets) })
	}
}

// Suspend stops the timeout until the next Reset; false if the timer has fired.
func (w *replaceTimer) Suspend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.halt()
	return !w.fired
}

// halt stops the timeout, also one that has just passed. The caller holds the mutex.
func (w *replaceTimer) halt() {
	w.resets++
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Stop stops the timer; false if it has fired.
func (w *replaceTimer) Stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return !w.fired
}
