package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/targetconn"
	"k8s.io/klog/v2"
)

// Signs are what an answer tells of its target's wish for more requests.
type Signs struct {
	// Rest is for how long the target wants nothing from this node; 0 if the answer
	// does not say.
	Rest time.Duration
}

// errand says what a target is asked for.
type errand string

// The errands.
const (
	errandFirst  errand = "first"  // a client's request that reached no target yet
	errandRepeat errand = "repeat" // one that targets turned away or failed
	errandResume errand = "resume" // the rest of a stream
	errandCopy   errand = "copy"   // an order that concerns a run's copy
)

// errand says what the next target is asked for.
func (c *call) errand() errand {
	switch {
	case c.hasLast:
		return errandResume
	case c.asked:
		return errandRepeat
	}
	return errandFirst
}

// ask sends a request to a target, and takes what the head of its answer tells of
// the target itself. Nothing reaches a target by another way.
func (g *Gateway) ask(ctx context.Context, t *balance.Target, e errand, r *targetconn.Request) (*targetconn.Answer, error) {
	if left := t.RestLeft(); left > 0 {
		klog.InfoS("Sent to a target that asked for rest", "request", r.Identity, "target", t.ID, "errand", e, "left_ms", left.Milliseconds())
		g.counters.sentToResting(e)
	}
	answer, err := g.pool.Do(ctx, endpoint(t), r)
	if err != nil {
		return nil, err
	}
	g.noteLoad(t, answer.Header)
	g.noteSigns(t, r.Identity, answer)
	return answer, nil
}

// noteSigns takes what an answer tells of the requests that its target wants.
func (g *Gateway) noteSigns(t *balance.Target, request string, a *targetconn.Answer) {
	if g.cfg.Names.ParseSigns == nil {
		return
	}
	signs := g.cfg.Names.ParseSigns(a.Status, a.Header)
	if signs.Rest > 0 {
		t.AskedForRest(signs.Rest)
		g.counters.rests.Inc()
		klog.InfoS("Target asks for rest", "request", request, "target", t.ID, "status", a.Status, "rest_ms", signs.Rest.Milliseconds())
	}
}

// noteLoad takes the load that an answer tells.
func (g *Gateway) noteLoad(t *balance.Target, h http.Header) {
	value := h.Get(g.cfg.Names.Load)
	if value == "" || g.cfg.Names.ParseLoad == nil {
		return
	}
	if l, ok := g.cfg.Names.ParseLoad(value); ok {
		t.Told(l)
	}
}
