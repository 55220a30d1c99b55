package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/eventstream"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

const eventStreamType = "text/event-stream"

// relay is one event stream on its way to a client, over the runs that make
// it up.
type relay struct {
	gateway *Gateway
	call    *call
	w       http.ResponseWriter
	started bool          // the client has the head
	out     *outbox       // of what follows the head
	newest  time.Time     // when the newest event was passed on
	first   time.Duration // from the request to its first event
	longest time.Duration // pause between two events
	runs    int
	events  int       // of the newest run
	settled bool      // the newest run has gone on for a while
	begun   time.Time // when the newest run's first event came
	copy    *copyOf   // of the run that broke off
}

// ending says how a run ended.
type ending int

const (
	endWhole  ending = iota // the answer is complete
	endTurned               // the target turned the request away: it did not run
	endNone                 // there is no target to ask
	endBroken               // no answer, or it broke off
	endOther                // an answer that is no event stream was passed on
	endLeft                 // the client has gone
)

// stream serves a request whose answer is an event stream.
func (g *Gateway) stream(ctx context.Context, w http.ResponseWriter, c *call) {
	r := &relay{gateway: g, call: c, w: w}
	defer r.close()
	if g.cfg.Find != nil {
		g.cfg.Find(ctx, c.key, c.again)
	}
	if c.again {
		if at, name := g.targets.FindCopy(c.key); at != nil {
			klog.InfoS("Client comes again, a copy is known", "request", c.id, "copy", name, "at", at.ID, "last", c.lastID)
			r.copy = &copyOf{at: at, name: name}
		}
	}
	for {
		end := r.next(ctx)
		if end == endWhole && !r.finish(ctx) {
			break
		}
		if end == endWhole || end == endOther {
			g.counters.answered(c.arrived)
			klog.InfoS("Stream served", "request", c.id, "route", c.route.Name, "first_ms", r.first.Milliseconds(),
				"longest_pause_ms", r.longest.Milliseconds(), "last", c.lastID, "runs", r.runs,
				"ms", uptime.Since(c.arrived).Milliseconds())
			return
		}
		if ctx.Err() != nil || end == endNone || end == endLeft || end == endBroken && !c.route.Idempotent() && c.reached || !g.mayRepeat(ctx, c) {
			break
		}
	}
	if r.started || ctx.Err() == context.Canceled {
		rest := r.passRest()
		klog.InfoS("Stream given up", "request", c.id, "route", c.route.Name, "last", c.lastID, "sent", c.sent,
			"outcome", c.outcomeOf(), "cause", ctx.Err(), "notPassed", rest)
		panic(http.ErrAbortHandler) // what ends early must not look whole
	}
	g.fail(w, c, g.giveUp(c, "no target answered"))
}

// finish waits until the client has the whole answer; false if it does not get it.
func (r *relay) finish(ctx context.Context) bool {
	if r.out == nil {
		return true
	}
	err := r.out.Finish(ctx)
	if err != nil {
		r.noteLeft(err)
	}
	return err == nil
}

// passRest passes on what was read of an answer that is given up: its client goes on
// from there. It returns why the client did not get all of it.
func (r *relay) passRest() error {
	if r.out == nil {
		return nil
	}
	return r.out.FinishSoon()
}

// close ends writing to the client before its request ends.
func (r *relay) close() {
	if r.out != nil {
		r.out.Stop(context.Canceled)
	}
}

// noteLeft notes that a client did not take its answer.
func (r *relay) noteLeft(err error) {
	klog.InfoS("Client left", "request", r.call.id, "route", r.call.route.Name, "last", r.call.lastID, "err", err)
}

// givenUp reports whether a run that brought no answer was given up here, and notes
// that if so.
func (g *Gateway) givenUp(runCtx context.Context, c *call, t *balance.Target) bool {
	switch cause := context.Cause(runCtx); {
	case errors.Is(cause, errTargetSilent):
		g.noteMoved(c, t)
	case errors.Is(cause, errHeldBack):
		c.ran(t)
	default:
		return false
	}
	return true
}

// next runs the request at one more target: at the copy of the broken run
// where there is one, else at the best.
func (r *relay) next(ctx context.Context) ending {
	from := r.copy
	r.copy = nil
	if from != nil && from.at.Usable() && r.gateway.mayGoOn(r.call, from.at) {
		r.gateway.watch(r.call, from.at)
		r.gateway.noteRegion(r.call, from.at, func() balance.Reason { return balance.ReasonCopy })
		if end := r.run(ctx, from.at, from); end != endTurned {
			return end
		}
	}
	t := r.gateway.next(ctx, r.call)
	if t == nil {
		return endNone
	}
	return r.run(ctx, t, nil)
}

// order is what one run asks of its target.
type order struct {
	request *targetconn.Request
	work    balance.Work
	// expected is the predicted time to the first event.
	expected time.Duration
	copy     *copyOf // that grows with the run; nil for none
	trace    balance.Trace
}

// run passes one run on until it ends.
func (r *relay) run(ctx context.Context, t *balance.Target, from *copyOf) ending {
	r.runs++
	r.events, r.settled = 0, false
	o := r.order(t, from)
	under := t.Begin(o.work, o.trace)
	kept := &runCopy{relay: r, target: t, run: under, copy: o.copy}
	end := r.follow(ctx, t, o, kept)
	r.call.watched.Dropped() // unless its end is noted
	under.End(balance.RunEnd{Whole: end == endWhole, Tokens: r.events * r.call.engine.EventTokens})
	if left := kept.end(end); under.Begun() {
		r.copy = left
	}
	return end
}

// order works out what a run asks of its target.
func (r *relay) order(t *balance.Target, from *copyOf) order {
	g, c := r.gateway, r.call
	choice := c.choice()
	o := order{
		request: g.request(c, t), work: g.targets.Kept(choice, t), expected: g.targets.Expected(choice, t),
		trace: balance.Trace{Key: c.key},
	}
	klog.InfoS("Run begins", "request", c.id, "content", c.content, "key", c.key, "route", c.route.Name, "version", c.version, "target", t.ID, "born", t.Born, "again", c.again, "last", c.lastID,
		"read", c.work.Read, "expectedRead", o.work.Read, "expected_ms", o.expected.Milliseconds(),
		"fromCopy", from != nil, "run", r.runs)
	if from != nil {
		o.work.Read = 0
	}
	if o.copy = r.askForCopy(o.request, t, from); o.copy != nil {
		o.trace.Copy, o.trace.CopyName = o.copy.at.Life(), o.copy.name
	}
	return o
}

// follow sends a run's request and passes on what comes.
func (r *relay) follow(ctx context.Context, t *balance.Target, o order, kept *runCopy) ending {
	g, c := r.gateway, r.call
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(r.headWait(o), func() { cancel(nil) })
	pending := g.pending.add(c, t, cancel)
	defer pending.drop()
	c.sentAt = uptime.Now()
	answer, err := g.ask(runCtx, t, c.purpose(), o.request)
	if notSent(err) {
		g.noteNotSent(c, t)
		return endTurned
	}
	if err != nil {
		if !g.givenUp(runCtx, c, t) {
			g.noteFailure(ctx, c, t, err)
		}
		return endBroken
	}
	defer answer.Close()
	if g.notRun(answer) {
		g.noteNotRun(c, t, answer)
		return endTurned
	}
	c.ran(t)
	if !patience.Stop() {
		return endBroken
	}
	if !isEventStream(answer) {
		return r.passOther(ctx, answer, t)
	}
	return r.pass(runCtx, answer, kept, pending.drop)
}

// mayMove reports whether another target may still be asked in this one's
// place, before the first event has come.
func (c *call) mayMove() bool {
	return c.route.Idempotent() && c.sent+1 < c.route.MaxAttempts
}

// noteMoved notes that a run was given up before its first event because its
// target has fallen silent to others.
func (g *Gateway) noteMoved(c *call, t *balance.Target) {
	c.ran(t)
	c.failed[t.DataHall]++
	g.noteLost(c, t)
	g.counters.moved.Inc()
	klog.InfoS("Run moved: its target is silent to others", "request", c.id, "target", t.ID, "ms", uptime.Since(c.arrived).Milliseconds())
}

// overdue is how many times its predicted wait a run must have been silent
// before its first event to be given up so that another target can begin in
// time: a sound target is rarely that wrong.
const overdue = 2

// headWait is how long a run may be silent before its first event, when
// another target may still answer; the last target is waited for. A run that
// is overdue is given up at the last moment at which another one can begin in
// time.
func (r *relay) headWait(o order) time.Duration {
	g, c := r.gateway, r.call
	if !c.mayMove() {
		return uptime.Until(c.deadline)
	}
	read := g.targets.RunTime(c.service, c.work.Read, 0)
	if latest := uptime.Until(c.beginBy()) - read; !r.started && latest > overdue*o.expected {
		return latest
	}
	return g.cfg.FirstEvent + read
}

func isEventStream(a *targetconn.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), eventStreamType) &&
		a.Header.Get("Content-Encoding") == ""
}

// passOther passes on an answer that is no event stream, if the client has no
// head yet.
func (r *relay) passOther(ctx context.Context, a *targetconn.Answer, t *balance.Target) ending {
	g, c := r.gateway, r.call
	if a.Status >= http.StatusInternalServerError {
		g.noteFailed(c, t)
		t.Erred()
		klog.InfoS("Target failed", "request", c.id, "target", t.ID, "status", a.Status)
		return endBroken
	}
	if r.started {
		return endBroken
	}
	whole, err := g.readWhole(a)
	if err != nil {
		g.noteBreak(c, t, quarantine.Begun)
		return endBroken
	}
	g.cfg.Quarantine.Sound(c.content)
	g.passWhole(ctx, r.w, c, whole)
	return endOther
}

// pass passes events on. First is called at the run's first event.
func (r *relay) pass(ctx context.Context, a *targetconn.Answer, kept *runCopy, first func()) ending {
	g, c, t := r.gateway, r.call, kept.target
	events := eventstream.NewReader(a)
	seen := false
	for {
		if !events.Buffered() {
			wait := g.stall(c.route)
			if !seen {
				wait = g.cfg.FirstEvent
			}
			a.SetReadDeadline(time.Now().Add(wait))
		}
		e, err := events.Next()
		if err != nil {
			return r.ended(ctx, a, t, events, err)
		}
		r.events++
		if !seen {
			seen = true
			first()
			kept.run.FirstEvent()
			t.Succeeded()
			r.noteFirst()
			r.begun = time.Now()
			c.watched.First()
			g.meterFirst(c)
		}
		if r.events == paceEvents {
			c.watched.Pace(time.Since(r.begun) / (paceEvents - 1))
		}
		r.noteSettled()
		kept.watch(ctx)
		if e.HasID && c.hasLast && e.ID <= c.lastID {
			continue // the client has it
		}
		if !r.write(ctx, a, e.Raw) {
			c.watched.Dropped()
			return endLeft
		}
		if e.HasID {
			c.lastID, c.hasLast = e.ID, true
		}
	}
}

// paceEvents is after how many events of a run its pace is measured: enough to
// even out the prompts that are read between them, and few enough to tell a
// slow version within a second.
const paceEvents = 6

// stallShare is the part of the longest pause that keeps a stream in time
// after which its target is given up: the rest is left for another to go on.
const stallShare = 0.64

// stall is the silence within a route's stream after which its target is given
// up.
func (g *Gateway) stall(r *Route) time.Duration {
	if r.GapAim > 0 {
		return time.Duration(stallShare * float64(r.GapAim))
	}
	return g.cfg.Stall
}

// noteFirst measures the wait for a run's first event.
func (r *relay) noteFirst() {
	if !r.started {
		r.gateway.counters.first.Update(uptime.Since(r.call.arrived).Seconds())
		return
	}
	gap := time.Since(r.newest)
	r.gateway.counters.gap.Update(gap.Seconds())
	klog.InfoS("Stream goes on", "request", r.call.id, "last", r.call.lastID, "gap_ms", gap.Milliseconds())
}

// ended tells a whole stream from one that broke off.
func (r *relay) ended(ctx context.Context, a *targetconn.Answer, t *balance.Target, events *eventstream.Reader, err error) ending {
	g, c := r.gateway, r.call
	if err == io.EOF && a.Framed {
		if rest := events.Rest(); (len(rest) > 0 || !r.started) && !r.write(ctx, a, rest) {
			return endLeft
		}
		c.watched.Ended(rollout.Served)
		g.cfg.Quarantine.Sound(c.content)
		return endWhole
	}
	if ctx.Err() != nil {
		c.watched.Dropped()
		return endBroken // this side ended it: the client left, or time is up
	}
	g.noteLost(c, t)
	g.counters.broken.Inc()
	g.counters.resumes.Inc()
	c.failed[t.DataHall]++
	if silence(err) {
		g.counters.stalls.Inc()
		t.FellSilent(false) // it may only have put this run back
	} else {
		t.Broke()
		g.noteBreak(c, t, r.standing())
	}
	klog.InfoS("Stream broke off", "request", c.id, "target", t.ID, "last", c.lastID, "err", err,
		"silent_ms", time.Since(r.newest).Milliseconds())
	return endBroken
}

// write passes bytes on, after the head of the first run; false if the client has
// gone.
func (r *relay) write(ctx context.Context, a *targetconn.Answer, raw []byte) bool {
	if !r.started {
		r.gateway.passHead(r.w, a.Header, a.Status, -1)
		r.started = true
		r.out = r.gateway.held.newOutbox(r.call, r.w)
	}
	if err := r.out.Put(ctx, raw); err != nil {
		r.noteLeft(err)
		return false
	}
	now := time.Now()
	if r.first == 0 {
		r.first = uptime.Since(r.call.arrived)
	} else {
		r.longest = max(r.longest, now.Sub(r.newest))
	}
	r.newest = now
	return true
}
