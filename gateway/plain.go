package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Bounds of the tries of one request.
const (
	wholeLimit     = 64 << 10 // bytes of an answer that is read whole before it is passed on
	tryAims        = 3        // a safe request is sent again after so many times its aim
	shortestTry    = 200 * time.Millisecond
	deadlineMargin = 20 * time.Millisecond // before the deadline, for the final answer
)

// plain serves a request whose answer is not an event stream.
func (g *Gateway) plain(ctx context.Context, w http.ResponseWriter, c *call) {
	ctx, cancel := context.WithTimeout(ctx, uptime.Until(c.deadline)-deadlineMargin)
	defer cancel()
	var last *wholeAnswer
	for t := g.next(ctx, c); t != nil; t = g.next(ctx, c) {
		a, retry := g.tryPlain(ctx, c, t)
		if a != nil {
			last = a
		}
		if !retry || ctx.Err() != nil || !g.mayRepeat(ctx, c) {
			break
		}
	}
	if last != nil {
		klog.InfoS("Request served", "request", c.id, "content", c.content, "route", c.route.Name, "version", c.version, "target", last.target,
			"status", last.status, "sent", c.sent, "asked", c.turns, "ms", uptime.Since(c.arrived).Milliseconds())
		g.passWhole(ctx, w, c, last)
		return
	}
	if ctx.Err() == context.Canceled {
		panic(http.ErrAbortHandler) // the client is gone
	}
	g.fail(w, c, g.giveUp(c, "no target answered"))
}

// mayRepeat reports whether another target may be asked, and pays for it.
func (g *Gateway) mayRepeat(ctx context.Context, c *call) bool {
	if g.cfg.Quarantine.Stop(c.look, c.content) != nil {
		return false
	}
	if c.reached && !c.route.Idempotent() {
		return false
	}
	if c.sent >= max(1, c.route.MaxAttempts) {
		return false
	}
	budget := g.budgets.Of(c.service)
	paid := c.payRepeat(budget) || g.cfg.Borrow != nil && g.cfg.Borrow(ctx, c.service) && c.payRepeat(budget)
	g.logRepeat(c, budget, paid)
	return paid
}

// logRepeat tells what a repeat was decided by: what this node counted within the window,
// and what it was told of all.
func (g *Gateway) logRepeat(c *call, b *balance.Budget, paid bool) {
	what := "Repeated"
	if !paid {
		what = "Not repeated: the budget is spent"
	}
	own := b.Count()
	site, heard := b.Site()
	klog.InfoS(what, "request", c.id, "service", c.service, "sent", c.sent, "ownRequests", own.Requests, "ownRepeats", own.Repeats,
		"requests", site.Requests, "repeats", site.Repeats, "nodesHeard", heard, "part", b.Part())
}

// wholeAnswer is an answer that is passed on in one piece, or, where it is
// long, from its head on.
type wholeAnswer struct {
	target string
	status int
	header http.Header
	length int64
	body   []byte
	rest   *targetconn.Answer // the part behind body, nil if body is all
}

// tryPlain asks one target. Retry says that another may be asked, as far as
// the target is concerned.
func (g *Gateway) tryPlain(ctx context.Context, c *call, t *balance.Target) (a *wholeAnswer, retry bool) {
	tryCtx, cancel := context.WithCancel(ctx)
	defer func() {
		if a == nil || a.rest == nil {
			cancel()
		}
	}()
	defer g.limitTry(c, cancel).Stop()
	defer func() { c.watched.Dropped() }() // unless its end is noted
	run := t.Begin(balance.Work{}, balance.Trace{})
	defer run.End(balance.RunEnd{Whole: true})
	c.sentAt = uptime.Now()
	answer, err := g.ask(tryCtx, t, c.purpose(), g.request(c, t))
	if notSent(err) {
		g.noteNotSent(c, t)
		return nil, true
	}
	if err != nil {
		g.noteFailure(ctx, c, t, err)
		return nil, true
	}
	if g.notRun(answer) {
		g.noteNotRun(c, t, answer)
		answer.Close()
		return nil, true
	}
	c.ran(t)
	g.meterAnswer(c)
	if answer.Header.Get("Content-Encoding") != "" {
		answer.Close()
		g.noteLost(c, t)
		t.Broke()
		return nil, true
	}
	whole, err := g.readWhole(answer)
	if err != nil {
		g.counters.broken.Inc()
		klog.InfoS("Answer broke off", "request", c.id, "target", t.ID, "status", answer.Status, "err", err)
		if ctx.Err() == nil {
			g.noteLost(c, t)
			g.noteBreak(c, t, quarantine.Begun)
		}
		t.Broke()
		return nil, true
	}
	whole.target = t.ID
	g.cfg.Quarantine.Sound(c.content)
	c.watched.First()
	if answer.Status >= http.StatusInternalServerError {
		g.noteFailed(c, t)
		t.Erred()
		return g.ownStatus(c, whole), true
	}
	c.watched.Ended(rollout.Served)
	t.Succeeded()
	return whole, false
}

// limitTry ends a try that takes so long that a safe request had better be
// sent to another target.
func (g *Gateway) limitTry(c *call, cancel context.CancelFunc) *time.Timer {
	limit := uptime.Until(c.deadline)
	if c.route.Kind == Safe && c.sent+1 < c.route.MaxAttempts {
		limit = max(shortestTry, tryAims*c.route.Aim)
	}
	return time.AfterFunc(limit, cancel)
}

// ownStatus keeps back an answer whose status would promise that a request
// which may not be repeated did not run, though its target does not say so.
func (g *Gateway) ownStatus(c *call, a *wholeAnswer) *wholeAnswer {
	if a.status == http.StatusServiceUnavailable && !c.route.Idempotent() {
		return nil
	}
	return a
}

// readWhole reads a short answer to its end.
func (g *Gateway) readWhole(a *targetconn.Answer) (*wholeAnswer, error) {
	whole := &wholeAnswer{status: a.Status, header: a.Header, length: a.Length}
	body, err := io.ReadAll(io.LimitReader(a, wholeLimit))
	if err != nil {
		a.Close()
		return nil, err
	}
	whole.body = body
	if len(body) < wholeLimit {
		// One more read sees the end, which lets the connection be kept.
		a.Close()
		whole.length = int64(len(body))
		return whole, nil
	}
	whole.rest = a
	return whole, nil
}

// passWhole hands an answer to the client as the target gave it.
func (g *Gateway) passWhole(ctx context.Context, w http.ResponseWriter, c *call, a *wholeAnswer) {
	g.passHead(w, a.header, a.status, a.length)
	g.counters.answered(c.arrived)
	if c.method == http.MethodHead {
		return
	}
	var err error
	if a.rest == nil {
		_, err = w.Write(a.body)
	} else {
		err = g.passLong(ctx, w, c, a)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // what ends early must not look whole
	}
}

// passLong passes on an answer of which only the first part is read yet.
func (g *Gateway) passLong(ctx context.Context, w http.ResponseWriter, c *call, a *wholeAnswer) error {
	out := g.held.newOutbox(c, w)
	defer out.Stop(context.Canceled)
	_, err := io.Copy(putter{ctx, out}, io.MultiReader(bytes.NewReader(a.body), a.rest))
	a.rest.Close() // the target is free before the client has all
	if err != nil {
		return errors.Join(err, out.FinishSoon())
	}
	return out.Finish(ctx)
}

// putter puts what is written to it into an outbox.
type putter struct {
	ctx context.Context
	out *outbox
}

// Write implements io.Writer.
func (p putter) Write(b []byte) (int, error) {
	if err := p.out.Put(p.ctx, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// passHead writes the head of an answer with its headers unchanged.
func (g *Gateway) passHead(w http.ResponseWriter, header http.Header, status int, length int64) {
	h := w.Header()
	named := connectionNamed(header)
	for name, values := range header {
		if !connectionHeaders[name] && !named[name] {
			h[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			h[name] = nil // net/http would set one
		}
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
}

// notRun reports whether an answer states that the request did not run.
func (g *Gateway) notRun(a *targetconn.Answer) bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(g.cfg.Names.NotRun) != ""
}

// noteNotRun learns from a target that turned a request away.
func (g *Gateway) noteNotRun(c *call, t *balance.Target, a *targetconn.Answer) {
	klog.InfoS("Target turned the request away", "request", c.id, "target", t.ID, "status", a.Status)
	c.arrive()
	c.watched.Dropped()
	c.turned[t] = true
	if a.Status == http.StatusMisdirectedRequest {
		t.Gone()
		g.pool.Forget(t.Life())
		g.refresh()
		return
	}
	t.Full()
}

// noteFailure learns from an exchange that brought no answer.
func (g *Gateway) noteFailure(ctx context.Context, c *call, t *balance.Target, err error) {
	var f *targetconn.Failure
	if errors.As(err, &f) && f.Reached() {
		c.ran(t)
	} else {
		c.turned[t] = true
	}
	if ctx.Err() == context.Canceled {
		c.watched.Dropped()
		return // the client left; nothing is known of the target
	}
	g.noteLost(c, t)
	c.failed[t.DataHall]++
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.Refused()
	}
	if silence(err) {
		t.FellSilent(true)
	} else {
		t.Broke()
	}
	klog.InfoS("Target did not answer", "request", c.id, "target", t.ID, "address", t.Address, "err", err,
		"ms", uptime.Since(c.arrived).Milliseconds())
	if brokeOff(err) {
		g.noteBreak(c, t, c.waiting())
	}
}

// outcomeOf says what is known of a call that got no answer.
func (c *call) outcomeOf() walnutramp.Outcome {
	if c.reached {
		return walnutramp.Unknown
	}
	return walnutramp.NotRun
}
