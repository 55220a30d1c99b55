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

// During a roll-out, the rollout agent decides which requests go to the new version of a
// service's targets, and receives the outcomes of both versions.

// drawNewVersion decides whether the next attempt of a call goes to the new version.
// Retries do so only once all requests go there, so that a request that failed at the
// new version is retried at the old one.
func (g *Gateway) drawNewVersion(c *call) bool {
	r := g.cfg.Rollouts
	if r == nil || c.attempts > 0 && !r.Shifted(c.service) {
		return false
	}
	return r.SelectCanary(c.service, c.route.Name)
}

// excludeByVersion returns a filter that excludes the targets of a service whose version is
// not in force; nil if it excludes none. A filter returns true for excluded targets.
func (g *Gateway) excludeByVersion(service string) func(*balance.Target) bool {
	if g.cfg.Rollouts == nil {
		return nil
	}
	allowed := g.cfg.Rollouts.Versions(service, false) // those in force
	if allowed.Any() {
		return nil
	}
	return func(t *balance.Target) bool { return !allowed.Has(t.Version) }
}

// excludeAllButNew returns a filter that excludes all targets except those of the new
// version that are in the current focus.
func (g *Gateway) excludeAllButNew(c *call) func(*balance.Target) bool {
	allowed := g.cfg.Rollouts.Versions(c.service, true) // the new one
	focus := g.cfg.Rollouts.Focus(c.service)
	if focus.Part >= 1 {
		return func(t *balance.Target) bool { return !allowed.Has(t.Version) }
	}
	focused := inFocus(focus, g.targets.AvailableIDs(c.service, func(t *balance.Target) bool { return allowed.Has(t.Version) }))
	return func(t *balance.Target) bool { return !slices.Contains(focused, t.ID) }
}

// inFocus selects the fraction f.Part of the targets, at least one if there are any. It
// reorders ids. The selection is deterministic: nodes with the same target list select
// the same targets.
func inFocus(f rollout.Focus, ids []string) []string {
	rendezvous.Sort(ids, strconv.FormatUint(f.Round, 10))
	return ids[:min(len(ids), int(math.Ceil(f.Part*float64(len(ids)))))]
}

// mayResumeAt reports whether a run may resume from a copy at a target. A route may lead to
// another service than when the copy was made.
func (g *Gateway) mayResumeAt(c *call, t *balance.Target) bool {
	if t.Service != c.service {
		return false
	}
	if c.binding.bound {
		return c.binding.allows(t) && g.mayContinueAt(c.service, t.Version)
	}
	return g.cfg.Rollouts == nil || g.cfg.Rollouts.MayUse(c.service, t.Version)
}

// rolloutKey returns the key under which a target's answers to a call are counted.
func (c *call) rolloutKey(t *balance.Target) rollout.Key {
	return rollout.Key{Service: c.service, Route: c.route.Name, Version: t.Version, DataHall: t.DataHall, Target: t.ID}
}

// beginRolloutRequest starts tracking an attempt while its service has a roll-out.
func (g *Gateway) beginRolloutRequest(c *call, t *balance.Target) {
	if g.cfg.Rollouts != nil {
		c.rolloutRequest = g.cfg.Rollouts.Begin(c.rolloutKey(t))
	}
}

// recordErrorAnswer records that a target answered with a failure.
func (g *Gateway) recordErrorAnswer(c *call, t *balance.Target) {
	logNewVersionFailure(c, t, "failed")
	c.rolloutRequest.Finish(rollout.Failed)
}

// logNewVersionFailure logs a failed or lost answer of a new version.
func logNewVersionFailure(c *call, t *balance.Target, how string) {
	if c.rolloutRequest.IsNewVersion() {
		klog.InfoS("Answer against a new version", "request", c.id, "service", c.service, "route", c.route.Name,
			"version", t.Version, "target", t.ID, "how", how)
	}
}

// lossConfirmDelay is how long counting a lost answer is delayed, so that the loss of
// a whole data hall is detected first.
const lossConfirmDelay = 300 * time.Millisecond

// recordLostAnswer records a lost answer, unless the target's whole data hall is failing or
// this node has lost its path to targets, which says nothing about a version.
func (g *Gateway) recordLostAnswer(c *call, t *balance.Target) {
	request := c.rolloutRequest
	if request == nil {
		return
	}
	logNewVersionFailure(c, t, "lost")
	c.rolloutRequest = nil
	time.AfterFunc(lossConfirmDelay, func() {
		if g.targets.HallSuspect(t) || !g.atFault(t) {
			request.Discard()
			return
		}
		request.Finish(rollout.Lost)
	})
}
