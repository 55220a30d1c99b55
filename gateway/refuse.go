package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// When a client that was refused should come back.
const (
	retryOther = 100 * time.Millisecond // another node will serve it
	retryBusy  = 250 * time.Millisecond // a place comes free soon
)

// errorBody is what a client is told of a request that brought no answer of a
// target.
type errorBody struct {
	Error errorFacts `json:"error"`
}

type errorFacts struct {
	Code         int    `json:"code"`
	Name         string `json:"name"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// refuse ends a request with this system's own answer.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, e *walnutramp.Error) {
	klog.InfoS("Request ended here", "request", r.Header.Get(g.cfg.Names.Identity), "code", int(e.Code), "outcome", e.Outcome, "why", e.Message)
	g.writeError(w, e)
}

// fail ends a call with this system's own answer.
func (g *Gateway) fail(w http.ResponseWriter, c *call, e *walnutramp.Error) {
	klog.InfoS("Request ended here", "request", c.id, "content", c.content, "route", c.route.Name, "code", int(e.Code), "outcome", e.Outcome,
		"sent", c.sent, "read", c.work.Read, "priority", c.priority, "ms", uptime.Since(c.arrived).Milliseconds(), "why", e.Message)
	g.writeError(w, e)
}

func (g *Gateway) writeError(w http.ResponseWriter, e *walnutramp.Error) {
	g.counters.refused(e.Code)
	info := e.Code.Info()
	body, err := json.Marshal(errorBody{errorFacts{
		Code: int(e.Code), Name: info.Name, Outcome: string(e.Outcome), Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(info.Status)
	w.Write(body)
}

// comeBackShare is the part of a run's usual time after which a request that
// found no room had better come back: by then some of the runs have ended.
const comeBackShare = 1.0

// comeBack says when a request that found no room should come back. Those that
// are refused together do not come back together.
func (g *Gateway) comeBack(c *call) time.Duration {
	mean := comeBackShare * float64(g.targets.WholeRun(c.service))
	return time.Duration(mean * (0.5 + rand.Float64()))
}

// giveUp returns the final answer of a call that no target answered.
func (g *Gateway) giveUp(c *call, why string) *walnutramp.Error {
	if held := g.cfg.Quarantine.Refuse(c.content); held != nil && !c.reached {
		return held
	}
	if stop := g.cfg.Quarantine.Stop(c.look, c.content); stop != nil {
		return stop
	}
	if !c.reached && c.noRoom {
		g.noteNoRoom(c)
		return walnutramp.NewError(walnutramp.CodeOverloaded, walnutramp.NotRun, "no engine has room").WithRetryAfter(g.comeBack(c))
	}
	if !c.reached && c.restLeft > 0 {
		// Not before, at whichever node: a target that has too much to do asks them all.
		after := pause.Behind(c.restLeft, rand.Float64())
		return walnutramp.NewError(walnutramp.CodeTargetsRest, walnutramp.NotRun, "all targets asked for rest").WithRetryAfter(after)
	}
	if !c.reached {
		return walnutramp.NewError(walnutramp.CodeNoTarget, walnutramp.NotRun, "%s", why).WithRetryAfter(retryBusy)
	}
	if uptime.Until(c.deadline) <= deadlineMargin {
		return walnutramp.NewError(walnutramp.CodeTargetSlow, walnutramp.Unknown, "%s", why)
	}
	return walnutramp.NewError(walnutramp.CodeTargetFailed, walnutramp.Unknown, "%s", why)
}
