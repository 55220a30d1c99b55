package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/egress"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// While this node has no path to a service's targets, it sends requests through other
// nodes; see package egress.

const (
	// maxEgresses is the number of nodes that are tried for one attempt.
	maxEgresses = 3
	// egressMargin is how much longer than a target an egress is waited for, so that it
	// can say what became of the request.
	egressMargin = 100 * time.Millisecond
)

// pathLostFor reports whether a call must go through another node, or over a connection
// that is open already. It waits for a check of the path that is under way.
func (g *Gateway) pathLostFor(ctx context.Context, c *call) bool {
	return g.cfg.Egress != nil && !c.relayed && g.paths.Await(ctx, c.service).Lost
}

// nextOnOwnPath returns the next target to try over this node's own connections, or nil.
// ownPath is false if this node has none to use.
func (g *Gateway) nextOnOwnPath(ctx context.Context, c *call) (t *balance.Target, ownPath bool) {
	c.connectedOnly = false
	if !g.pathLostFor(ctx, c) {
		return g.nextTarget(ctx, c), true
	}
	if !g.paths.State(c.service).Refused {
		return nil, false
	}
	c.connectedOnly = true
	if t := g.selectTarget(ctx, c, time.Time{}); t != nil {
		c.attempts++
		g.beginRolloutRequest(c, t)
		return t, true
	}
	c.connectedOnly = false
	return nil, false
}

// passage is a request that was sent through another node.
type passage struct {
	node   string
	answer *egress.Answer // nil if there is none
	end    *egress.End    // why there is none
}

// sendThroughEgress sends a call through other nodes until one has sent it to a target. The
// passage is nil if none has said so; left reports whether one may have. Release must be
// called with the passage's node once its answer is read.
func (g *Gateway) sendThroughEgress(ctx context.Context, c *call, from *egress.Copy) (p *passage, left bool) {
	c.noEgress, c.egressError = false, nil
	if c.attempts++; c.attempts > maxRejections {
		return nil, false
	}
	for range maxEgresses {
		node, ok := g.cfg.Egress.Choose(ctx, c.egressNeed())
		if !ok {
			break
		}
		if err := g.chargeRetry(c); err != nil {
			g.cfg.Egress.Release(node)
			return nil, false
		}
		c.sentAt = uptime.Now()
		answer, end, err := g.cfg.Egress.Do(ctx, node, g.egressRequest(c, from), c.body)
		if err == nil && (answer != nil || end.Result != egress.NotSent) {
			return &passage{node: node, answer: answer, end: end}, true
		}
		g.cfg.Egress.Release(node)
		left = g.egressFailed(ctx, c, node, end, err)
		if left || end != nil && end.Final || ctx.Err() != nil {
			return nil, left
		}
	}
	c.noEgress = true
	return nil, false
}

// egressNeed returns what a node must offer to send a call.
func (c *call) egressNeed() egress.Need {
	return egress.Need{Service: c.service, Exclude: slices.Clone(c.egressTried), KeepsVersions: c.resumable()}
}

// egressFailed records an egress that did not send a call or did not say what became of it.
// It returns whether a target may run the call.
func (g *Gateway) egressFailed(ctx context.Context, c *call, node string, end *egress.End, err error) (left bool) {
	var f *egress.Failure
	left = errors.As(err, &f) && f.Left
	if end != nil && end.Error != nil && (end.OfTargets || end.Final) {
		c.egressError = walnutramp.NewError(walnutramp.Code(end.Error.Code), walnutramp.NotRun, "%s", end.Error.Message).WithRetryAfter(end.Error.RetryAfter)
	} else if ctx.Err() == nil {
		g.cfg.Egress.Avoid(node)
	}
	if ctx.Err() == nil || f == nil || f.Sent.Target == "" { // otherwise its target is silent, not the node
		c.egressTried = append(c.egressTried, node)
	}
	g.counters.relayed("ingress", "failed")
	klog.InfoS("Another node did not send the request", "request", c.id, "egress", node, "left", left, "reason", reasonOf(end), "err", err)
	if left {
		g.recordRunElsewhere(c, f.Sent.Target)
		if f.Sent.Target != "" {
			c.failedHalls[f.Sent.DataHall]++
		}
	}
	return left
}

// reasonOf returns why an egress did not send a call; empty if it did not say.
func reasonOf(end *egress.End) string {
	if end == nil || end.Error == nil {
		return ""
	}
	return end.Error.Message
}

// egressRequest returns the message that sends a call through another node.
func (g *Gateway) egressRequest(c *call, from *egress.Copy) *egress.Request {
	r := &egress.Request{
		ID: c.id, Service: c.service, Route: c.route.Name, Kind: int(c.route.Kind), Resume: c.route.Resume, Version: c.version,
		Account: c.account.Name, Priority: c.priority, Method: c.method, URI: c.uri, Host: c.host, Header: c.header, HasBody: c.hasBody,
		Elapsed: uptime.Since(c.arrived), Deadline: uptime.Until(c.deadline), Objective: c.route.LatencyObjective, MaxEventGap: c.route.MaxEventGap,
		AttemptsLeft: max(1, c.route.MaxAttempts-c.dispatched), Retry: c.contacted, MayHaveRun: c.mayHaveRun,
		HasLast: c.hasLast, LastID: c.lastID, Resumed: c.resumed, Prefill: c.work.PrefillTokens, Memory: c.work.MemoryTokens,
		MaxOutput: c.maxOutput, PromptKey: c.promptKey, Attempt: c.stream.Attempt, FailedHalls: c.failedHalls, Copy: from,
		Bound: c.binding.bound, Software: c.binding.software, Idle: uptime.Since(c.idleSince), EndedByIngress: true, PendingByIngress: true,
	}
	if c.reservedRetry.Spent() {
		r.SendWithin = max(time.Millisecond, g.budgets.Of(c.service).SendWithin()-uptime.Since(c.reservedRetry.At))
	}
	r.Avoid = g.targets.Unwilling(c.service)
	r.Tried = append(r.Tried, c.triedElsewhere...)
	for t := range c.tried {
		r.Tried = append(r.Tried, t.Incarnation())
	}
	return r
}

// recordEnd records what became of a call at an egress that got no answer for it.
func (g *Gateway) recordEnd(c *call, p *passage) {
	g.counters.relayed("ingress", p.end.Result.String())
	klog.InfoS("No answer through another node", "request", c.id, "egress", p.node, "result", p.end.Result.String(), "target", p.end.Target)
	if t := g.targets.Target(p.end.Target); t != nil {
		if p.end.Cooldown > 0 {
			t.StartCooldown(p.end.Cooldown)
		}
		if p.end.Draining {
			t.RecordDraining()
		}
	}
	if p.end.Result == egress.Rejected {
		c.recordArrival()
		c.triedElsewhere = append(c.triedElsewhere, p.end.Target)
		return
	}
	g.recordRunElsewhere(c, p.end.Target)
	c.failedHalls[p.end.DataHall]++
}

// recordRelayedAnswer records the head of an answer through another node, with what the
// target asks for in it.
func (g *Gateway) recordRelayedAnswer(c *call, p *passage) {
	g.recordRunElsewhere(c, p.answer.Target)
	if t := g.targets.Target(p.answer.Target); t != nil && g.cfg.Names.ParseBackpressure != nil {
		g.recordBackpressure(t, c.id, c.sentAt, p.answer.Status, g.cfg.Names.ParseBackpressure(p.answer.Status, p.answer.Header))
	}
}

// recordRunElsewhere records that a target may have run the call through another node;
// target is empty if it is not known which. It gets no further run over this node's own path:
// the other node may still be ordering it to stop the first.
func (g *Gateway) recordRunElsewhere(c *call, target string) {
	c.recordArrival()
	c.dispatched++
	c.mayHaveRun = true
	if target == "" {
		return
	}
	c.triedElsewhere = append(c.triedElsewhere, target)
	if t := g.targets.Target(target); t != nil {
		c.tried[t] = true
	}
}

// attemptThroughEgress sends a request whose answer is not an event stream through another
// node. Retry reports whether the outcome allows another attempt.
func (g *Gateway) attemptThroughEgress(ctx context.Context, c *call) (a *response, retry bool) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer func() {
		if a == nil || a.rest == nil {
			cancel()
		}
	}()
	limit := g.limitAttempt(attemptCtx, c, nil, egressMargin, cancel)
	defer limit.close(c)
	p, left := g.sendThroughEgress(attemptCtx, c, nil)
	if p == nil {
		return nil, left || !limit.stop()
	}
	defer g.cfg.Egress.Release(p.node)
	if p.answer == nil {
		g.recordEnd(c, p)
		return nil, true
	}
	g.recordRelayedAnswer(c, p)
	g.meterAnswer(c)
	resp, err := limit.readResponse(p.answer.Status, p.answer.Header, p.answer.Length, p.answer)
	if err != nil {
		g.counters.brokenAnswers.Inc()
		g.counters.relayed("ingress", egress.Failed.String())
		klog.InfoS("Answer through another node broke off", "request", c.id, "egress", p.node, "target", p.answer.Target, "err", err)
		return nil, true
	}
	if c.isFalsePromise(resp.status) {
		return nil, true // an egress of an older build forwards it
	}
	resp.target = p.answer.Target
	g.counters.relayed("ingress", egress.Answered.String())
	klog.InfoS("Answered through another node", "request", c.id, "egress", p.node, "target", p.answer.Target, "status", resp.status)
	return resp, resp.status >= http.StatusInternalServerError
}

// runThroughEgress makes one more run of a stream through another node.
func (r *relay) runThroughEgress(ctx context.Context, from *kvCopy) runResult {
	g, c := r.gateway, r.call
	r.runs++
	r.events = 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p, left, silent := r.awaitPassage(ctx, cancel, from)
	switch {
	case p == nil && left:
		r.interrupted = true
		return runFailed
	case p == nil && silent:
		return runRejected
	case p == nil:
		return runNoTarget
	}
	defer g.cfg.Egress.Release(p.node)
	if p.answer == nil {
		g.recordEnd(c, p)
		r.interrupted = r.interrupted || p.end.HandedBack
		r.resumeFrom = g.copyOf(p.end.Copy)
		if p.end.Result == egress.Rejected {
			return runRejected
		}
		return runFailed
	}
	defer p.answer.Close()
	g.recordRelayedAnswer(c, p)
	if silent {
		return runFailed
	}
	r.software = p.answer.Software
	klog.InfoS("Run begins through another node", "request", c.id, "egress", p.node, "target", p.answer.Target, "software", r.software, "last", c.lastID, "run", r.runs)
	if !isEventStream(p.answer.Status, p.answer.Header) {
		return r.forwardRelayedAnswer(ctx, p)
	}
	end := r.forwardRelayedEvents(ctx, cancel, p)
	result := egress.Failed
	if end == runComplete {
		result = egress.Answered
	}
	g.counters.relayed("ingress", result.String())
	return end
}

// awaitPassage is sendThroughEgress for a stream. Silent says that it was canceled, as there
// was no answer in time and the run can be replaced.
func (r *relay) awaitPassage(ctx context.Context, cancel context.CancelFunc, from *kvCopy) (p *passage, left, silent bool) {
	g, c := r.gateway, r.call
	replacement := g.newReplacement(c, nil)
	defer replacement.close(c)
	read := g.targets.PredictDuration(c.service, c.work.PrefillTokens, 0)
	watchdog := replacement.endAfter(ctx, r.firstEventTimeout(runRequest{expected: read})+egressMargin, cancel)
	p, left = g.sendThroughEgress(ctx, c, copyMessage(from))
	silent = !watchdog.Stop()
	r.silent = r.silent || silent
	return p, left, silent
}

// copyMessage returns the message that names a copy; nil for none.
func copyMessage(from *kvCopy) *egress.Copy {
	if from == nil {
		return nil
	}
	return &egress.Copy{Holder: from.holder.Incarnation(), Name: from.name}
}

// copyOf returns the copy that a message names; nil for none, or if its holder is not
// listed here.
func (g *Gateway) copyOf(m *egress.Copy) *kvCopy {
	if m == nil {
		return nil
	}
	holder := g.targets.Target(m.Holder)
	if holder == nil {
		return nil
	}
	return &kvCopy{holder: holder, name: m.Name}
}

// forwardRelayedAnswer forwards an answer that is not an event stream, if the client has
// not received a head yet.
func (r *relay) forwardRelayedAnswer(ctx context.Context, p *passage) runResult {
	if p.answer.Status >= http.StatusInternalServerError || r.started {
		return runFailed
	}
	resp, err := readResponse(p.answer.Status, p.answer.Header, p.answer.Length, p.answer)
	if err != nil {
		return runFailed
	}
	r.gateway.writeResponse(ctx, r.w, r.call, resp)
	return runNotStream
}

// forwardRelayedEvents forwards the events of an answer through another node. It cancels the
// exchange if no event comes in time and the run can be replaced.
func (r *relay) forwardRelayedEvents(ctx context.Context, cancel context.CancelFunc, p *passage) runResult {
	g, c := r.gateway, r.call
	events := r.newRunEvents(p.answer)
	replacement := g.newReplacement(c, g.targets.Target(p.answer.Target))
	defer replacement.close(c)
	watchdog := replacement.endAfter(ctx, g.cfg.FirstEvent+egressMargin, cancel)
	defer watchdog.Stop()
	for {
		e, err := events.Next()
		if err != nil {
			return r.classifyRelayedEnd(ctx, p, events, err, !watchdog.Stop())
		}
		if !watchdog.Suspend() {
			return r.classifyRelayedEnd(ctx, p, events, context.Canceled, true)
		}
		replacement.bind(r.software)
		if r.events++; r.events == 1 {
			r.recordFirstEvent()
			g.meterFirst(c)
		}
		if e.HasID && c.hasLast && e.ID <= c.lastID { // the client already has it
			r.held = r.held[:0]
		} else {
			if !r.write(ctx, p.answer.Status, p.answer.Header, e.Raw) {
				return runClientLeft
			}
			if e.HasID {
				c.lastID, c.hasLast = e.ID, true
			}
		}
		if !r.unnumbered() {
			watchdog.Reset(g.stallTimeout(c.route))
		}
	}
}

// classifyRelayedEnd distinguishes a complete stream from a truncated one. Silent says that
// this node ended it.
func (r *relay) classifyRelayedEnd(ctx context.Context, p *passage, events *runEvents, err error, silent bool) runResult {
	g, c := r.gateway, r.call
	if err == io.EOF {
		if rest := events.Remainder(); (len(rest) > 0 || len(r.held) > 0 || !r.started) && !r.write(ctx, p.answer.Status, p.answer.Header, rest) {
			return runClientLeft
		}
		return runComplete
	}
	g.counters.brokenAnswers.Inc()
	g.counters.resumes.Inc()
	c.failedHalls[p.answer.DataHall]++
	switch end := p.answer.End(); {
	case end != nil:
		r.resumeFrom = g.copyOf(end.Copy)
		r.interrupted = end.HandedBack
	case silent:
		r.silent = true
		r.resumeFrom = g.copyOf(p.answer.Copy)
	default:
		r.interrupted = true
		g.cfg.Egress.Avoid(p.node)
	}
	klog.InfoS("Stream through another node broke off", "request", c.id, "egress", p.node, "target", p.answer.Target, "last", c.lastID,
		"handedBack", p.answer.End() != nil, "silent", silent, "err", err, "silent_ms", time.Since(r.lastEventAt).Milliseconds())
	return runFailed
}

// isEventStream reports whether an answer is an event stream.
func isEventStream(status int, header http.Header) bool {
	return status == http.StatusOK && strings.HasPrefix(header.Get("Content-Type"), eventStreamType) && header.Get("Content-Encoding") == ""
}
