package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/retryafter"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// Retry-After values for rejected requests.
const (
	retryAtOtherNode = 100 * time.Millisecond // another node can serve it
	retryWhenBusy    = 250 * time.Millisecond // capacity is expected to free up soon
	retryWithoutPath = 500 * time.Millisecond // about when a lost path is found to have recovered
)

// errorBody is the JSON body of an error that the gateway itself reports.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// refuse rejects a request with an error of the gateway that was found while opening the
// call or because the node is stopping. For other errors, see fail.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, e *walnutramp.Error) {
	klog.InfoS("Request ended here", "request", r.Header.Get(g.cfg.Names.Identity), "code", int(e.Code), "outcome", e.Outcome, "why", e.Message)
	g.writeError(w, e)
}

// fail answers an opened call with an error of the gateway, whether or not a target was
// tried, and logs the call's details.
func (g *Gateway) fail(w http.ResponseWriter, c *call, e *walnutramp.Error) {
	klog.InfoS("Request ended here", "request", c.id, "content", c.fingerprint, "route", c.route.Name, "code", int(e.Code), "outcome", e.Outcome,
		"sent", c.dispatched, "read", c.work.PrefillTokens, "priority", c.priority, "ms", uptime.Since(c.arrived).Milliseconds(), "why", e.Message)
	g.writeError(w, e)
}

func (g *Gateway) writeError(w http.ResponseWriter, e *walnutramp.Error) {
	g.counters.refused(e.Code)
	info := e.Code.Info()
	body, err := json.Marshal(errorBody{errorDetail{
		Code: int(e.Code), Name: info.Name, Outcome: string(e.Outcome), Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if g.stopping.Load() >= phaseClosing || e.Code == walnutramp.CodeStopping {
		h.Set("Connection", "close")
	}
	if e.RetryAfter > 0 {
		h.Set(retryafter.Header, retryafter.Format(e.RetryAfter))
	}
	w.WriteHeader(info.Status)
	w.Write(body)
}

// retryShare is the mean Retry-After of a request that could not be admitted, as a
// multiple of the mean run time.
const retryShare = 1.0

// retryDelay returns the Retry-After of a request that could not be admitted, with
// jitter so that clients rejected together don't return together.
func (g *Gateway) retryDelay(c *call) time.Duration {
	mean := retryShare * float64(g.targets.RunDuration(c.service))
	return time.Duration(mean * (0.5 + rand.Float64()))
}

// errNodeStopping returns the error of a request that this node has not sent and will not.
func errNodeStopping() *walnutramp.Error {
	return walnutramp.NewError(walnutramp.CodeStopping, walnutramp.NotRun, "this node is stopping").WithRetryAfter(retryAtOtherNode)
}

// endedError returns the error of a call that got no answer until its context ended or no
// target was left.
func (g *Gateway) endedError(ctx context.Context, c *call) *walnutramp.Error {
	switch {
	case contextReason(ctx) != endStopping:
		return g.finalError(c)
	case c.mayHaveRun:
		return walnutramp.NewError(walnutramp.CodeTargetFailed, walnutramp.Unknown, "this node is stopping, and no target has answered")
	}
	return errNodeStopping()
}

// finalError returns the error of a call that no target answered.
func (g *Gateway) finalError(c *call) *walnutramp.Error {
	const why = "no target answered"
	if held := g.cfg.Quarantine.CheckNew(c.fingerprint); held != nil && !c.mayHaveRun {
		return held
	}
	if stop := g.cfg.Quarantine.CheckRetry(c.crashProbe, c.fingerprint); stop != nil {
		return stop
	}
	if c.versionGone && !c.mayHaveRun {
		return errVersionGone()
	}
	if !c.mayHaveRun && c.egressError != nil {
		return c.egressError
	}
	if !c.mayHaveRun && c.noEgress {
		return walnutramp.NewError(walnutramp.CodeNoPath, walnutramp.NotRun, "no path to the targets, and no other node offers one").WithRetryAfter(pause.Behind(retryWithoutPath, rand.Float64()))
	}
	if !c.mayHaveRun && c.noCapacity {
		g.countRejectedDemand(c)
		return walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "no engine has free capacity").WithRetryAfter(g.retryDelay(c))
	}
	if !c.mayHaveRun && c.crowded {
		return walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "all targets are brittle and have no free slot").WithRetryAfter(pause.Behind(max(retryWhenBusy, g.retryDelay(c)), rand.Float64()))
	}
	if !c.mayHaveRun && c.denial != nil {
		g.logDenial(c)
		after := c.denial.RetryAfter
		if c.cooldownLeft > 0 {
			after = min(after, c.cooldownLeft)
		}
		return walnutramp.NewError(walnutramp.CodeTargetsLimited, walnutramp.NotRun, "all targets are at their rate limits").WithRetryAfter(pause.Behind(after, rand.Float64()))
	}
	if !c.mayHaveRun && c.cooldownLeft > 0 {
		// Retrying sooner is likely to fail at other nodes too: a target requests a
		// cooldown from every node that sends it requests.
		after := pause.Behind(c.cooldownLeft, rand.Float64())
		return walnutramp.NewError(walnutramp.CodeTargetsCooldown, walnutramp.NotRun, "all targets are in cooldown").WithRetryAfter(after)
	}
	if !c.mayHaveRun {
		return walnutramp.NewError(walnutramp.CodeNoTarget, walnutramp.NotRun, "%s", why).WithRetryAfter(retryWhenBusy)
	}
	if uptime.Until(c.deadline) <= deadlineMargin {
		return walnutramp.NewError(walnutramp.CodeTargetSlow, walnutramp.Unknown, "%s", why)
	}
	return walnutramp.NewError(walnutramp.CodeTargetFailed, walnutramp.Unknown, "%s", why)
}
