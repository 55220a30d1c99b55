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

// Limits of the attempts of one request.
const (
	maxBufferedBody      = 64 << 10 // bytes of an answer that are read before it is forwarded
	attemptTimeoutFactor = 3        // timeout of an attempt that can be retried, in latency objectives
	minAttemptTimeout    = 200 * time.Millisecond
	deadlineMargin       = 20 * time.Millisecond // reserved before the deadline for the final answer
)

// servePlain serves a request whose answer is not an event stream.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	ctx, cancel := context.WithTimeout(ctx, uptime.Until(c.deadline)-deadlineMargin)
	defer cancel()
	began := uptime.Now()
	var last *response
	for {
		a, retry := g.attemptAnywhere(ctx, c)
		if a != nil {
			last = a
		}
		if !retry || ctx.Err() != nil || !g.mayRetry(ctx, c) {
			break
		}
	}
	if last != nil {
		klog.InfoS("Request served", "request", c.id, "content", c.fingerprint, "route", c.route.Name, "version", c.version, "target", last.target,
			"status", last.status, "sent", c.dispatched, "asked", c.attempts, "ms", uptime.Since(c.arrived).Milliseconds())
		g.writeResponse(ctx, w, c, last)
		if last.status < http.StatusInternalServerError {
			g.plainTimes.observe(c.route.Name, uptime.Since(began))
		}
		return
	}
	if contextReason(ctx) == endClientLeft {
		g.cutOff(ctx, c, endClientLeft, nil)
	}
	g.fail(w, c, g.endedError(ctx, c))
}

// attemptAnywhere sends the request to the next target, or through another node if this
// one has no path to targets. Retry reports whether the outcome allows another attempt.
func (g *Gateway) attemptAnywhere(ctx context.Context, c *call) (a *response, retry bool) {
	t, ownPath := g.nextOnOwnPath(ctx, c)
	if !ownPath {
		return g.attemptThroughEgress(ctx, c)
	}
	if t == nil {
		return nil, false
	}
	return g.attemptPlain(ctx, c, t)
}

// logRetry logs the counts on which a retry was decided: those of this node within the
// window, and those reported by all nodes.
func (g *Gateway) logRetry(c *call, b *balance.Budget, reserved bool) {
	msg := "Repeated"
	if !reserved {
		msg = "Not repeated: the budget is spent"
	}
	own := b.Count()
	site, heard := b.SiteCount()
	klog.InfoS(msg, "request", c.id, "service", c.service, "sent", c.dispatched, "ownRequests", own.Requests, "ownRepeats", own.Retries,
		"requests", site.Requests, "repeats", site.Retries, "nodesHeard", heard, "part", b.Share())
}

// response is an answer to forward: in one piece, or, if it is long, its first part
// and the remainder.
type response struct {
	target string
	status int
	header http.Header
	length int64
	body   []byte
	rest   answerBody // the part after body, nil if body is complete
}

// answerBody is the body of an answer from a target, or through another node.
type answerBody interface {
	io.Reader
	Close()
}

// attemptPlain sends the request to one target. Retry reports whether the outcome
// allows another attempt.
func (g *Gateway) attemptPlain(ctx context.Context, c *call, t *balance.Target) (a *response, retry bool) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer func() {
		if a == nil || a.rest == nil {
			cancel()
		}
	}()
	limit := g.limitAttempt(attemptCtx, c, t, 0, cancel)
	defer limit.close(c)
	defer func() { c.rolloutRequest.Discard() }() // no effect if an outcome was recorded
	run := t.Begin(balance.Work{}, balance.Trace{})
	c.beginAt(t)
	defer run.End(balance.RunEnd{Complete: true})
	c.sentAt = uptime.Now()
	silence := g.watchSilence(c, plainSilence)
	defer silence.stop()
	answer, err := g.send(attemptCtx, t, c.purpose(), &c.grants, g.request(c, t))
	if notSent(err) {
		g.recordNotSent(c, t)
		return nil, true
	}
	if err != nil {
		g.recordFailure(ctx, c, t, err)
		return nil, true
	}
	if g.notRun(answer) {
		g.recordRejection(c, t, answer)
		answer.Close()
		return nil, true
	}
	c.recordRun(t)
	g.meterAnswer(c)
	if answer.Header.Get("Content-Encoding") != "" {
		answer.Close()
		g.recordLostAnswer(c, t)
		t.RecordFailure()
		return nil, true
	}
	resp, err := limit.readResponse(answer.Status, answer.Header, answer.Length, answer)
	if err != nil {
		g.abandonLease(c)
		g.counters.brokenAnswers.Inc()
		klog.InfoS("Answer broke off", "request", c.id, "target", t.ID, "status", answer.Status, "err", err)
		if ctx.Err() == nil {
			g.recordLostAnswer(c, t)
			g.recordConnectionLoss(c, t, quarantine.Begun)
		}
		t.RecordFailure()
		return nil, true
	}
	resp.target = t.ID
	if resp.rest == nil {
		g.cfg.InFlight.Release(&c.grants.lease)
	}
	g.cfg.Quarantine.RecordSuccess(c.fingerprint)
	c.rolloutRequest.RecordFirstEvent()
	if c.isFalsePromise(answer.Status) {
		resp = nil
	}
	if answer.Status >= http.StatusInternalServerError || resp == nil {
		g.recordErrorAnswer(c, t)
		t.RecordErrorResponse()
		return resp, true
	}
	c.rolloutRequest.Finish(rollout.Served)
	t.RecordSuccess()
	return resp, false
}

// attemptLimit cancels an attempt that takes too long.
type attemptLimit struct {
	deadline    *time.Timer   // nil if the request can be retried
	timeout     *replaceTimer // nil unless it can
	replacement *replacement
}

// limitAttempt cancels an attempt at its deadline, or earlier if the request can then be
// retried at another target than t: after a timeout to which margin is added. The caller
// calls close at the end of the attempt.
func (g *Gateway) limitAttempt(ctx context.Context, c *call, t *balance.Target, margin time.Duration, cancel context.CancelFunc) attemptLimit {
	if c.route.Kind != Safe || c.dispatched+1 >= c.route.MaxAttempts {
		return attemptLimit{deadline: time.AfterFunc(uptime.Until(c.deadline), cancel)}
	}
	p := g.newReplacement(c, t)
	timeout := p.endAfter(ctx, max(minAttemptTimeout, attemptTimeoutFactor*c.route.LatencyObjective)+margin, cancel)
	return attemptLimit{timeout: timeout, replacement: p}
}

// readResponse reads an answer up to maxBufferedBody. The limit does not apply to the rest,
// which can't be sent again once the head is forwarded.
func (l *attemptLimit) readResponse(status int, header http.Header, length int64, a answerBody) (*response, error) {
	resp, err := readResponse(status, header, length, a)
	if err == nil && resp.rest != nil && !l.stop() {
		a.Close()
		return nil, context.Canceled
	}
	return resp, err
}

// stop returns false if the limit has canceled the attempt.
func (l *attemptLimit) stop() bool {
	if l.timeout != nil {
		return l.timeout.Stop()
	}
	return l.deadline.Stop()
}

// close stops the limit, and passes a reserved retry to the call.
func (l *attemptLimit) close(c *call) {
	l.stop()
	if l.replacement != nil {
		l.replacement.close(c)
	}
}

// isFalsePromise reports whether a status must not be forwarded to the client of a request
// that must not be retried: clients take it to mean that the request did not run, which the
// target did not state.
func (c *call) isFalsePromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return !c.route.Idempotent()
	}
	return false
}

// readResponse reads an answer up to maxBufferedBody.
func readResponse(status int, header http.Header, length int64, a answerBody) (*response, error) {
	resp := &response{status: status, header: header, length: length}
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedBody))
	if err != nil {
		a.Close()
		return nil, err
	}
	resp.body = body
	if len(body) < maxBufferedBody {
		// The body was read to EOF, so the connection can be reused.
		a.Close()
		resp.length = int64(len(body))
		return resp, nil
	}
	resp.rest = a
	return resp, nil
}

// writeResponse forwards an answer unchanged.
func (g *Gateway) writeResponse(ctx context.Context, w http.ResponseWriter, c *call, a *response) {
	g.writeHead(w, a.header, a.status, a.length)
	g.counters.answered(c.arrived)
	if c.method == http.MethodHead {
		return
	}
	var err error
	if a.rest == nil {
		_, err = w.Write(a.body)
	} else {
		err = g.writeLongBody(ctx, w, c, a)
	}
	if err != nil {
		why := endBrokenAnswer
		switch {
		case ctx.Err() != nil:
			why = contextReason(ctx)
		case errors.Is(err, errClientSlow):
			why = endClientSlow
		}
		g.cutOff(ctx, c, why, err)
	}
}

// writeLongBody forwards an answer of which only the first part has been read.
func (g *Gateway) writeLongBody(ctx context.Context, w http.ResponseWriter, c *call, a *response) error {
	out := g.buffers.newResponseBuffer(c, w)
	defer out.Stop(context.Canceled)
	_, err := io.Copy(bufferWriter{ctx, out}, io.MultiReader(bytes.NewReader(a.body), a.rest))
	a.rest.Close() // frees the target before the client has everything
	g.cfg.InFlight.Release(&c.grants.lease)
	if err != nil {
		return errors.Join(err, out.Drain())
	}
	return out.Finish(ctx)
}

// bufferWriter is an io.Writer that appends to a responseBuffer.
type bufferWriter struct {
	ctx context.Context
	out *responseBuffer
}

// Write implements io.Writer.
func (p bufferWriter) Write(b []byte) (int, error) {
	if err := p.out.Put(p.ctx, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// writeHead writes the head of an answer with its headers unchanged.
func (g *Gateway) writeHead(w http.ResponseWriter, header http.Header, status int, length int64) {
	h := w.Header()
	named := hopByHopNamed(header)
	for name, values := range header {
		if !hopByHopHeaders[name] && !named[name] {
			h[name] = values
		}
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			h[name] = nil // keeps net/http from setting a default
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

// recordRejection records that a target rejected a request without running it.
func (g *Gateway) recordRejection(c *call, t *balance.Target, a *targetconn.Answer) {
	klog.InfoS("Target turned the request away", "request", c.id, "target", t.ID, "status", a.Status)
	c.recordArrival()
	c.rolloutRequest.Discard()
	c.rejected[t] = true
	if a.Status == http.StatusServiceUnavailable {
		g.cfg.InFlight.Reject(&c.grants.lease)
	} else {
		g.cfg.InFlight.Release(&c.grants.lease)
	}
	if a.Status == http.StatusMisdirectedRequest {
		t.RecordEnded()
		g.pool.CloseIdle(t.Incarnation())
		g.refresh()
		return
	}
	t.RecordFull()
}

// recordFailure records an exchange that failed without an answer.
func (g *Gateway) recordFailure(ctx context.Context, c *call, t *balance.Target, err error) {
	if mayHaveArrived(err) {
		c.recordRun(t)
		g.abandonLease(c)
	} else {
		c.rejected[t] = true
	}
	if why := contextReason(ctx); why == endClientLeft || why == endStopping {
		c.rolloutRequest.Discard()
		return // says nothing about the target
	}
	g.recordLostAnswer(c, t)
	c.failedHalls[t.DataHall]++
	g.counters.connectionFailed(err)
	g.paths.Suspect(c.service)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		t.RecordRefused()
	case isTimeout(err):
		t.RecordUnresponsive(true)
	default:
		t.RecordFailure()
	}
	klog.InfoS("Target did not answer", "request", c.id, "target", t.ID, "address", t.Address, "err", err,
		"ms", uptime.Since(c.arrived).Milliseconds())
	if connectionLost(err) {
		g.recordConnectionLoss(c, t, c.unansweredStanding())
	}
}

// outcome returns what is known of a call that got no answer.
func (c *call) outcome() walnutramp.Outcome {
	if c.mayHaveRun {
		return walnutramp.Unknown
	}
	return walnutramp.NotRun
}
