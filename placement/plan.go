// Package placement brings what engines hold to what the bundle says, by
// fenced orders that one leader gives: within what the weight store bears, a
// canary share before the rest, and never unloading the last ready copy of a
// model that is in use.
package placement

import (
	"cmp"
	"slices"
	"strings"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/target"
)

// Step is an order for one target.
type Step struct {
	Target   bundle.Target
	Action   target.OrderAction
	Artifact string
}

// Plan returns the orders to give next, at most one a target. Targets whose
// state is not known get none and are taken to hold nothing.
func Plan(b *bundle.Bundle, placed map[walnutramp.TargetName]target.Placed) []Step {
	p := &planner{bundle: b, placed: placed, busy: map[walnutramp.TargetName]bool{}}
	p.loads()
	p.unloads()
	return p.steps
}

type planner struct {
	bundle *bundle.Bundle
	placed map[walnutramp.TargetName]target.Placed
	busy   map[walnutramp.TargetName]bool
	steps  []Step
}

func (p *planner) step(t bundle.Target, action target.OrderAction, artifact string) {
	p.busy[t.Name] = true
	p.steps = append(p.steps, Step{t, action, artifact})
}

// targets returns the engines that should hold a model, those that know
// nothing of the model first in the order of their names.
func (p *planner) targets(m bundle.Model) []bundle.Target {
	var ts []bundle.Target
	for _, t := range p.bundle.Targets {
		if t.Kind == bundle.KindEngine && slices.Contains(t.Models, m.Name) && !p.bundle.IsLeaving(t.Name) {
			ts = append(ts, t)
		}
	}
	slices.SortFunc(ts, func(a, b bundle.Target) int { return cmp.Compare(a.Name, b.Name) })
	return ts
}

// loads orders what is wanted and not there, as far as the weight store
// bears.
func (p *planner) loads() {
	room := p.bundle.Placement.Loads - p.loading()
	for _, m := range p.bundle.Models {
		for _, t := range p.due(m) {
			placed, known := p.placed[t.Name]
			_, there := placed.Copies[m.Artifact()]
			if room <= 0 || !known || there || p.busy[t.Name] || isLoading(placed) {
				continue
			}
			p.step(t, target.LoadArtifact, m.Artifact())
			room--
		}
	}
}

func (p *planner) loading() int {
	n := 0
	for _, placed := range p.placed {
		for _, s := range placed.Copies {
			if s == target.CopyLoading {
				n++
			}
		}
	}
	return n
}

func isLoading(placed target.Placed) bool {
	for _, s := range placed.Copies {
		if s == target.CopyLoading {
			return true
		}
	}
	return false
}

// due returns the targets that may load a model now: its canary share, and
// once that is ready all.
func (p *planner) due(m bundle.Model) []bundle.Target {
	ts := p.targets(m)
	if m.Canary == 0 {
		return ts
	}
	share := (len(ts)*m.Canary + 99) / 100
	for _, t := range ts[:share] {
		if p.placed[t.Name].Copies[m.Artifact()] != target.CopyReady {
			return ts[:share]
		}
	}
	return ts
}

// unloads orders away what is not wanted, unless it is the last ready copy of
// a model of the bundle, or the target does not hold its successor yet.
func (p *planner) unloads() {
	for _, t := range p.bundle.Targets {
		placed, known := p.placed[t.Name]
		if t.Kind != bundle.KindEngine || !known || p.busy[t.Name] {
			continue
		}
		artifacts := make([]string, 0, len(placed.Copies))
		for a := range placed.Copies {
			artifacts = append(artifacts, a)
		}
		slices.Sort(artifacts)
		for _, a := range artifacts {
			if p.removable(t, placed, a) {
				p.step(t, target.UnloadArtifact, a)
				break
			}
		}
	}
}

func (p *planner) removable(t bundle.Target, placed target.Placed, artifact string) bool {
	name := modelOf(artifact)
	m, inUse := p.bundle.Model(name)
	if !inUse {
		return true
	}
	wanted := slices.Contains(t.Models, name)
	if wanted && artifact == m.Artifact() {
		return false
	}
	if wanted && placed.Copies[m.Artifact()] != target.CopyReady {
		return false
	}
	return placed.Copies[artifact] == target.CopyLoading || p.readyElsewhere(t.Name, artifact, name)
}

func modelOf(artifact string) walnutramp.ModelName {
	name, _, _ := strings.Cut(artifact, "@")
	return walnutramp.ModelName(name)
}

// readyElsewhere reports whether any other copy of the model is ready, on
// another target or another version on this one, that is not on its way out.
func (p *planner) readyElsewhere(not walnutramp.TargetName, artifact string, name walnutramp.ModelName) bool {
	for _, t := range p.bundle.Targets {
		if p.bundle.IsLeaving(t.Name) {
			continue
		}
		for a, s := range p.placed[t.Name].Copies {
			same := t.Name == not && a == artifact
			if s == target.CopyReady && modelOf(a) == name && !same && !p.goes(t.Name, a) {
				return true
			}
		}
	}
	return false
}

// goes reports whether a step of this plan unloads a copy.
func (p *planner) goes(t walnutramp.TargetName, artifact string) bool {
	return slices.ContainsFunc(p.steps, func(s Step) bool {
		return s.Target.Name == t && s.Action == target.UnloadArtifact && s.Artifact == artifact
	})
}
