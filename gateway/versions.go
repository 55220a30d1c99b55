package gateway

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/walnutramp/walnutramp/balance"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/rollout"
	"k8s.io/klog/v2"
)

// While a service is brought to a new version of its targets, the roll-out's
// agent says which requests go to it, and is told how both versions answer.

// drawNew decides whether the next try of a call goes to the new version of
// its service. A try after another is one only once all requests go there:
// what the new version may have failed is tried again at the old one.
func (g *Gateway) drawNew(c *call) bool {
	r := g.cfg.Rollouts
	if r == nil || c.turns > 0 && !r.Shifted(c.service) {
		return false
	}
	return r.Draw(c.service, c.route.Name)
}

// versions returns what leaves out the targets that a call may not go to for
// their version; nil if there are none.
func (g *Gateway) versions(c *call) func(*balance.Target) bool {
	if g.cfg.Rollouts == nil {
		return nil
	}
	allowed := g.cfg.Rollouts.Versions(c.service, false)
	if allowed.Any() {
		return nil
	}
	return func(t *balance.Target) bool { return !allowed.Has(t.Version) }
}

// newTargets returns what leaves out all targets but those of the new version
// that get its requests now.
func (g *Gateway) newTargets(c *call) func(*balance.Target) bool {
	allowed := g.cfg.Rollouts.Versions(c.service, true)
	focus := g.cfg.Rollouts.Focus(c.service)
	if focus.Part >= 1 {
		return func(t *balance.Target) bool { return !allowed.Has(t.Version) }
	}
	focused := inFocus(focus, g.targets.OpenIDs(c.service, func(t *balance.Target) bool { return allowed.Has(t.Version) }))
	return func(t *balance.Target) bool { return !slices.Contains(focused, t.ID) }
}

// inFocus returns the targets of a focus, at least one where there are any.
// Nodes that know the same targets draw the same ones.
func inFocus(f rollout.Focus, ids []string) []string {
	rendezvous.Sort(ids, strconv.FormatUint(f.Round, 10))
	return ids[:min(len(ids), int(math.Ceil(f.Part*float64(len(ids)))))]
}

// mayGoOn reports whether a run may go on from a copy at a target.
func (g *Gateway) mayGoOn(c *call, t *balance.Target) bool {
	return g.cfg.Rollouts == nil || g.cfg.Rollouts.MayUse(c.service, t.Version)
}

// answerKey says with what others the answers of a target to a call are
// counted.
func (c *call) answerKey(t *balance.Target) rollout.Key {
	return rollout.Key{Service: c.service, Route: c.route.Name, Version: t.Version, DataHall: t.DataHall, Target: t.ID}
}

// watch notes a call on its way to a target, while its service has a roll-out.
func (g *Gateway) watch(c *call, t *balance.Target) {
	if g.cfg.Rollouts != nil {
		c.watched = g.cfg.Rollouts.Begin(c.answerKey(t))
	}
}

// noteFailed notes that a target's answer tells of a failure.
func (g *Gateway) noteFailed(c *call, t *balance.Target) {
	logAgainst(c, t, "failed")
	c.watched.Ended(rollout.Failed)
}

// logAgainst logs what speaks against a new version: its share of the requests
// is small, and so are these lines.
func logAgainst(c *call, t *balance.Target, how string) {
	if c.watched.New() {
		klog.InfoS("Answer against a new version", "request", c.id, "service", c.service, "route", c.route.Name,
			"version", t.Version, "target", t.ID, "how", how)
	}
}

// lossSettle is how long a lost answer waits to be counted: by then a data hall
// that was lost is known to be in doubt.
const lossSettle = 300 * time.Millisecond

// noteLost notes that a target's answer was lost, unless that befalls its data
// hall as a whole, which says nothing of a version.
func (g *Gateway) noteLost(c *call, t *balance.Target) {
	watched := c.watched
	if watched == nil {
		return
	}
	logAgainst(c, t, "lost")
	c.watched = nil
	time.AfterFunc(lossSettle, func() {
		if g.targets.HallInDoubt(t) {
			watched.Dropped()
			return
		}
		watched.Ended(rollout.Lost)
	})
}
