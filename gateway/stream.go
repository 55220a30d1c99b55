package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/quarantine"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

const eventStreamType = "text/event-stream"

// relay forwards one event stream to a client, over one or more runs.
type relay struct {
	gateway         *Gateway
	call            *call
	w               http.ResponseWriter
	started         bool            // the head has been sent to the client
	out             *responseBuffer // for the body
	held            []byte          // of the current run, to be forwarded before its next event; see passOn
	lastEventAt     time.Time       // when the last event was forwarded
	firstEventAfter time.Duration   // from the request's arrival
	maxGap          time.Duration   // longest time between two events
	runs            int
	target          *balance.Target        // of the latest run on this node's own path; nil before
	software        string                 // version of the latest run's target, as of when it was sent
	egressWriter    *egress.ResponseWriter // w, if the client is another node
	events          int                    // of the current run
	settled         bool                   // the current run has gone on for quarantine.Onset
	firstEventBy    time.Time              // when the current run's first event is overdue
	firstEventAt    time.Time              // of the current run
	resumeFrom      *kvCopy                // of the failed run
	silent          bool                   // a run was canceled for silence or a lost path since the last event
	timeoutLate     time.Duration          // by which the run's first timeout since the last event was noticed late
	interrupted     bool                   // a run was ended by another node, or lost with it, since the last event
	writeErr        error                  // why the client did not receive all of it
	replaceWait     time.Duration          // latest pause since the last event before the stream was tried again
}

// runResult says how a run ended.
type runResult int

const (
	runComplete   runResult = iota // the answer is complete
	runRejected                    // the request was not sent, or the target rejected it without running it
	runNoTarget                    // no target is available
	runFailed                      // no answer in time, a server error, or the connection broke
	runNotStream                   // an answer that is not an event stream was forwarded
	runClientLeft                  // the client disconnected
)

// serveStream serves a request whose answer is an event stream.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	r := &relay{gateway: g, call: c, w: w}
	defer r.close()
	if g.cfg.Find != nil {
		g.cfg.Find(ctx, c.promptKey, c.stream, c.resumed)
	}
	if c.resumed {
		r.resumeFrom = g.findCopy(c)
	}
	var why endReason
	for why == "" {
		end := r.runNext(ctx)
		if (end == runComplete && r.finish(ctx)) || end == runNotStream {
			g.counters.answered(c.arrived)
			klog.InfoS("Stream served", "request", c.id, "route", c.route.Name, "first_ms", r.firstEventAfter.Milliseconds(),
				"longest_pause_ms", r.maxGap.Milliseconds(), "last", c.lastID, "runs", r.runs,
				"ms", uptime.Since(c.arrived).Milliseconds())
			return
		}
		why = r.whyNoNextRun(ctx, end)
	}
	if r.started || why == endClientLeft {
		rest := r.drain()
		g.counters.streamCutOff(why)
		klog.InfoS("Stream given up", "request", c.id, "route", c.route.Name, "last", c.lastID, "sent", c.dispatched,
			"outcome", c.outcome(), "versionGone", c.versionGone, "why", why, "cause", context.Cause(ctx), "notPassed", rest,
			"silent_ms", uptime.Since(c.idleSince).Milliseconds(), "configurationAge_ms", g.tableAge().Milliseconds())
		panic(http.ErrAbortHandler) // a truncated stream must not look complete
	}
	g.fail(w, c, g.endedError(ctx, c))
}

// finish waits until the client has received everything; false if it does not.
func (r *relay) finish(ctx context.Context) bool {
	if r.out == nil {
		return true
	}
	err := r.out.Finish(ctx)
	if err != nil {
		r.recordClientLeft(ctx, err)
	}
	return err == nil
}

// drain forwards what was buffered of a failed stream, so that the client can resume
// from there. It returns why the client did not receive all of it.
func (r *relay) drain() error {
	if r.out == nil {
		return nil
	}
	return r.out.Drain()
}

// close stops writing to the client before the handler returns.
func (r *relay) close() {
	if r.out != nil {
		r.out.Stop(context.Canceled)
	}
}

// recordClientLeft records why a client did not receive all of its stream, and logs it unless
// this node or the deadline has ended the request.
func (r *relay) recordClientLeft(ctx context.Context, err error) {
	r.writeErr = err
	if why := contextReason(ctx); why == endStopping || why == endDeadline {
		return
	}
	klog.InfoS("Client left", "request", r.call.id, "route", r.call.route.Name, "last", r.call.lastID, "err", err)
}

// canceledByGateway reports whether the gateway itself canceled a run that brought no
// answer, and records the run if its target may have received the request.
func (g *Gateway) canceledByGateway(runCtx context.Context, c *call, t *balance.Target, err error) bool {
	cause := context.Cause(runCtx)
	switch {
	case !errors.IsAny(cause, errTargetUnresponsive, errQuarantined, errPathLost):
		return false
	case !mayHaveArrived(err):
		g.recordNotSent(c, t)
	case errors.Is(cause, errTargetUnresponsive):
		g.recordMove(c, t)
	default:
		c.recordRun(t)
	}
	return true
}

// runNext makes one more run: at the holder of the failed run's copy if there is one that
// is usable and accepts the run, else at the best target.
func (r *relay) runNext(ctx context.Context) runResult {
	from := r.resumeFrom
	r.resumeFrom = nil
	if from != nil && !r.gateway.pathLostFor(ctx, r.call) && from.holder.Usable() && !r.holderSilent(from) && r.gateway.mayResumeAt(r.call, from.holder) && r.gateway.acquireGrants(ctx, r.call, from.holder, resumePermitWait) {
		r.gateway.chargeRollout(r.call)
		r.gateway.beginRolloutRequest(r.call, from.holder)
		r.gateway.recordRegionCrossing(r.call, from.holder, func() balance.Reason { return balance.ReasonCopy })
		if end := r.runAt(ctx, from.holder, from); end != runRejected {
			return end
		}
	}
	t, ownPath := r.gateway.nextOnOwnPath(ctx, r.call)
	if !ownPath {
		return r.runThroughEgress(ctx, from)
	}
	if t == nil {
		return runNoTarget
	}
	return r.runAt(ctx, t, nil)
}

// holderSilent reports whether a run that was given up for silence would resume at a holder
// that is silent, too.
func (r *relay) holderSilent(from *kvCopy) bool {
	return r.call.place != nil && from.holder.Silent(r.call.placeSince)
}

// runRequest is the request of one run.
type runRequest struct {
	request *targetconn.Request
	work    balance.Work
	// expected is the predicted time to the first event.
	expected time.Duration
	copy     *kvCopy // that grows with the run; nil for none
	trace    balance.Trace
}

// runAt executes one run at a target until it ends.
func (r *relay) runAt(ctx context.Context, t *balance.Target, from *kvCopy) (end runResult) {
	r.runs++
	r.events, r.settled = 0, false
	r.target, r.software = t, t.Version
	o := r.newRunRequest(t, from)
	if r.egressWriter != nil {
		r.egressWriter.SetTarget(egress.Target{Incarnation: t.Incarnation(), DataHall: t.DataHall, Software: r.software, Copy: copyMessage(o.copy)})
		announceTarget(r.egressWriter, r.call, t)
	}
	run := t.Begin(o.work, o.trace)
	end = runFailed
	defer func() { // also after a panic
		run.End(balance.RunEnd{Complete: end == runComplete, Tokens: r.events * r.call.settings.EventTokens})
	}()
	r.call.beginAt(t)
	rc := &runCopy{relay: r, target: t, run: run, copy: o.copy}
	end = r.execute(ctx, t, o, rc)
	r.call.rolloutRequest.Discard() // no effect if an outcome was recorded
	if end == runFailed || end == runClientLeft {
		if rc.open {
			rc.recordAbandoned(ctx)
			rc.stop(ctx.Err() == nil || r.call.relayed)
		}
		r.gateway.abandonLease(r.call)
	} else {
		r.gateway.cfg.InFlight.Release(&r.call.grants.lease)
	}
	if left := rc.end(end); run.Begun() {
		r.resumeFrom = left
	}
	return end
}

// newRunRequest builds the request of a run.
func (r *relay) newRunRequest(t *balance.Target, from *kvCopy) runRequest {
	g, c := r.gateway, r.call
	choice := c.choice()
	o := runRequest{
		request: g.request(c, t), work: g.targets.WorkAt(choice, t), expected: g.targets.Expected(choice, t),
		trace: balance.Trace{Key: c.promptKey, Stream: c.stream},
	}
	klog.InfoS("Run begins", "request", c.id, "content", c.fingerprint, "key", c.promptKey, "route", c.route.Name, "version", c.version, "target", t.ID, "born", t.Born, "software", r.software, "bound", c.binding.bound, "again", c.resumed, "resumes", c.header.Get(g.cfg.Names.Resumes), "last", c.lastID,
		"read", c.work.PrefillTokens, "expectedRead", o.work.PrefillTokens, "expected_ms", o.expected.Milliseconds(),
		"fromCopy", from != nil, "run", r.runs)
	if from != nil {
		o.work.PrefillTokens = 0
	}
	if o.copy = r.requestCopy(o.request, t, from); o.copy != nil {
		o.trace.Copy, o.trace.CopyName = o.copy.holder.Incarnation(), o.copy.name
	}
	return o
}

// execute sends a run's request and forwards the answer.
func (r *relay) execute(ctx context.Context, t *balance.Target, o runRequest, rc *runCopy) runResult {
	g, c := r.gateway, r.call
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	replacement := g.newReplacement(c, t)
	defer replacement.close(c)
	firstEvent := r.firstEventTimeout(o)
	r.firstEventBy = time.Now().Add(firstEvent)
	timeout := replacement.endAfter(runCtx, firstEvent, func() { cancel(nil) })
	defer timeout.Stop()
	pending := g.pending.add(c, t, replacement, cancel)
	defer pending.drop()
	pending.watchSending(o.request)
	c.sentAt = uptime.Now()
	silence := g.watchSilence(c, prefillSilence)
	defer silence.stop()
	answer, err := g.send(runCtx, t, c.purpose(), &c.grants, o.request)
	if notSent(err) {
		g.recordNotSent(c, t)
		return runRejected
	}
	if err != nil {
		r.silent = r.silent || !timeout.Stop() || errors.IsAny(context.Cause(runCtx), errTargetUnresponsive, errPathLost)
		if !g.canceledByGateway(runCtx, c, t, err) {
			g.recordFailure(ctx, c, t, err)
		}
		if !mayHaveArrived(err) {
			return runRejected
		}
		rc.open = true
		return runFailed
	}
	defer answer.Close()
	if g.notRun(answer) {
		g.recordRejection(c, t, answer)
		return runRejected
	}
	c.recordRun(t)
	if !isEventStream(answer.Status, answer.Header) {
		return r.forwardNonStream(ctx, answer, t, timeout)
	}
	rc.open = true
	if !timeout.Stop() {
		r.silent = true
		return runFailed
	}
	return r.forwardEvents(runCtx, answer, rc, silence, replacement, func() { pending.drop() })
}

// canRetryElsewhere reports whether a run without a first event may be replaced by one
// at another target.
func (c *call) canRetryElsewhere() bool {
	return c.route.Idempotent() && c.dispatched+1 < c.route.MaxAttempts
}

// recordMove records a run that was canceled because its target stopped answering others.
func (g *Gateway) recordMove(c *call, t *balance.Target) {
	c.recordRun(t)
	c.failedHalls[t.DataHall]++
	g.recordLostAnswer(c, t)
	g.counters.movedRuns.Inc()
	klog.InfoS("Run moved: its target is silent to others", "request", c.id, "target", t.ID, "ms", uptime.Since(c.arrived).Milliseconds())
}

// overdueFactor is how many times its predicted wait a run must have waited for its
// first event before it is replaced. For a healthy target the prediction is rarely that
// wrong.
const overdueFactor = 2

// firstEventTimeout returns how long to wait for a run's first event. The last permitted
// attempt may use the whole deadline. An earlier one that is overdue by then is canceled
// at the last moment at which a new run can still start in time; if that moment is too
// early or the stream has begun, after FirstEvent plus the predicted prefill time, or half
// of the time left if that is less, so that another run fits.
func (r *relay) firstEventTimeout(o runRequest) time.Duration {
	g, c := r.gateway, r.call
	if !c.canRetryElsewhere() {
		return uptime.Until(c.deadline)
	}
	read := g.targets.PredictDuration(c.service, c.work.PrefillTokens, 0)
	if latest := uptime.Until(c.latestStart()) - read; !r.started && latest > overdueFactor*o.expected {
		return latest
	}
	return min(g.cfg.FirstEvent, max(uptime.Until(c.deadline)/2, c.route.LatencyObjective)) + read
}

// firstEventWait returns how long to wait for a run's first event once its head has come: to
// the end of firstEventTimeout, but at least as long as for any event.
func (r *relay) firstEventWait() time.Duration {
	g := r.gateway
	return max(min(time.Until(r.firstEventBy), g.cfg.FirstEvent), g.stallTimeout(r.call.route))
}

// forwardNonStream forwards an answer that is not an event stream, if the client has
// not received a head yet. The timeout for the first event is that for reading it.
func (r *relay) forwardNonStream(ctx context.Context, a *targetconn.Answer, t *balance.Target, timeout *replaceTimer) runResult {
	g, c := r.gateway, r.call
	if a.Status >= http.StatusInternalServerError || c.isFalsePromise(a.Status) {
		g.recordErrorAnswer(c, t)
		t.RecordErrorResponse()
		klog.InfoS("Target answered with a server error", "request", c.id, "target", t.ID, "status", a.Status)
		return runFailed
	}
	if r.started {
		return runFailed
	}
	if a.Header.Get("Content-Encoding") != "" {
		t.RecordFailure()
		return runFailed
	}
	resp, err := readResponse(a.Status, a.Header, a.Length, a)
	if !timeout.Stop() {
		r.silent = true
		c.failedHalls[t.DataHall]++
		g.recordLostAnswer(c, t)
		t.RecordUnresponsive(false)
		return runFailed
	}
	if err != nil {
		if ctx.Err() == nil { // otherwise the request has ended
			g.counters.brokenAnswers.Inc()
			klog.InfoS("Answer broke off", "request", c.id, "target", t.ID, "status", a.Status, "err", err)
			g.recordConnectionLoss(c, t, quarantine.Begun)
			t.RecordFailure()
		}
		return runFailed
	}
	g.cfg.Quarantine.RecordSuccess(c.fingerprint)
	g.writeResponse(ctx, r.w, c, resp)
	return runNotStream
}

// forwardEvents forwards the events of an answer. First is called at the run's first
// event.
func (r *relay) forwardEvents(ctx context.Context, a *targetconn.Answer, rc *runCopy, silence *silenceWatch, replacement *replacement, first func()) runResult {
	g, c, t := r.gateway, r.call, rc.target
	events := r.newRunEvents(a)
	seen := false
	timeouts := 0 // since the last event
	var due time.Time
	a.OnTimeout(func() time.Duration {
		if timeouts++; timeouts == 1 {
			r.timeoutLate = time.Since(due)
		}
		if r.unnumbered() {
			return replaceInterval
		}
		return replacement.wait(ctx, timeouts, seen)
	})
	for {
		replacement.heard()
		timeouts, r.timeoutLate = 0, 0
		wait := g.stallTimeout(c.route)
		if !seen {
			wait = r.firstEventWait()
		}
		due = time.Now().Add(wait)
		a.SetReadDeadline(due)
		e, err := events.Next()
		if err != nil {
			return r.classifyEnd(ctx, a, t, events, err)
		}
		r.events++
		t.RecordEvent()
		silence.heard(time.Duration(streamSilenceShare * float64(g.stallTimeout(c.route))))
		if !seen {
			seen = true
			first()
			replacement.bind(r.software)
			rc.run.FirstEvent()
			t.RecordSuccess()
			r.recordFirstEvent()
			r.firstEventAt = time.Now()
			c.rolloutRequest.RecordFirstEvent()
			g.meterFirst(c)
		}
		if r.events == paceSampleEvents {
			c.rolloutRequest.RecordEventInterval(time.Since(r.firstEventAt) / (paceSampleEvents - 1))
		}
		r.recordSettled()
		rc.maintain(ctx)
		if e.HasID && c.hasLast && e.ID <= c.lastID {
			r.held = r.held[:0]
			continue // the client already has it
		}
		if !r.write(ctx, a.Status, a.Header, e.Raw) {
			c.rolloutRequest.Discard()
			return runClientLeft
		}
		if e.HasID {
			c.lastID, c.hasLast = e.ID, true
		}
	}
}

// unnumbered reports whether events without IDs were forwarded: another run would repeat them.
func (r *relay) unnumbered() bool { return r.started && !r.call.hasLast }

// paceSampleEvents is the number of events over which a run's pace is measured: enough
// to average out interleaved prefills, and few enough to detect a slow version within a
// second.
const paceSampleEvents = 6

// stallShare is the fraction of a route's maximum event gap after which a target is
// given up; the rest is left for resuming at another.
const stallShare = 0.64

// stallTimeout returns the timeout between the events of a route's stream.
func (g *Gateway) stallTimeout(r *Route) time.Duration {
	if r.MaxEventGap > 0 {
		return time.Duration(stallShare * float64(r.MaxEventGap))
	}
	return g.cfg.Stall
}

// recordFirstEvent measures the time to a run's first event.
func (r *relay) recordFirstEvent() {
	if !r.started {
		r.gateway.counters.firstEventSeconds.Update(uptime.Since(r.call.arrived).Seconds())
		return
	}
	r.countContinuation()
	gap := time.Since(r.lastEventAt)
	r.gateway.counters.resumeGapSeconds.Update(gap.Seconds())
	klog.InfoS("Stream goes on", "request", r.call.id, "last", r.call.lastID, "software", r.software, "gap_ms", gap.Milliseconds())
}

// classifyEnd distinguishes a complete stream from a truncated one.
func (r *relay) classifyEnd(ctx context.Context, a *targetconn.Answer, t *balance.Target, events *runEvents, err error) runResult {
	g, c := r.gateway, r.call
	if err == io.EOF && a.Framed {
		if rest := events.Remainder(); (len(rest) > 0 || len(r.held) > 0 || !r.started) && !r.write(ctx, a.Status, a.Header, rest) {
			return runClientLeft
		}
		c.rolloutRequest.Finish(rollout.Served)
		g.cfg.Quarantine.RecordSuccess(c.fingerprint)
		return runComplete
	}
	if ctx.Err() != nil {
		r.silent = r.silent || errors.IsAny(context.Cause(ctx), errTargetUnresponsive, errPathLost)
		c.rolloutRequest.Discard()
		return runFailed // otherwise the request has ended
	}
	g.paths.Suspect(c.service)
	g.recordLostAnswer(c, t)
	g.counters.brokenAnswers.Inc()
	g.counters.resumes.Inc()
	c.failedHalls[t.DataHall]++
	if isTimeout(err) {
		r.silent = true
		g.counters.stalls.Inc()
		t.RecordUnresponsive(false) // the engine may only have preempted this run
	} else {
		r.silent, r.interrupted = false, false
		t.RecordFailure()
		g.recordConnectionLoss(c, t, r.standing())
	}
	klog.InfoS("Stream broke off", "request", c.id, "target", t.ID, "last", c.lastID, "err", err,
		"silent_ms", time.Since(r.lastEventAt).Milliseconds(), "late_ms", r.timeoutLate.Milliseconds())
	return runFailed
}

// write forwards bytes, after the head at the first call; false if the client has
// disconnected.
func (r *relay) write(ctx context.Context, status int, header http.Header, raw []byte) bool {
	r.bind(ctx)
	if !r.started {
		r.gateway.writeHead(r.w, header, status, -1)
		r.started = true
		r.out = r.gateway.buffers.newResponseBuffer(r.call, r.w)
	}
	if len(r.held) > 0 {
		raw = append(r.held, raw...)
	}
	err := r.out.Put(ctx, raw)
	r.held = r.held[:0]
	if err != nil {
		r.recordClientLeft(ctx, err)
		return false
	}
	now := time.Now()
	if r.firstEventAfter == 0 {
		r.firstEventAfter = uptime.Since(r.call.arrived)
	} else {
		r.maxGap = max(r.maxGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt, r.silent, r.interrupted, r.replaceWait = now, false, false, 0
	r.call.idleSince = uptime.Now()
	return true
}
