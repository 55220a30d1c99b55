// Package placement reconciles the models that engines hold with the bundle. One leader
// sends fenced orders, with limited concurrent loads from the weight store, a canary
// share first, and without unloading the last ready copy of a model in use.
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

// Plan returns the next orders, at most one per target. Targets whose state is unknown
// get none and count as holding nothing.
func Plan(b *bundle.Bundle, placed map[walnutramp.TargetName]target.Placed) []Step {
	p := &planner{bundle: b, placed: placed, busy: map[walnutramp.TargetName]bool{}}
	p.planLoads()
	p.planUnloads()
	return p.steps
}

type planner struct {
	bundle *bundle.Bundle
	placed map[walnutramp.TargetName]target.Placed
	busy   map[walnutramp.TargetName]bool
	steps  []Step
}

func (p *planner) addStep(t bundle.Target, action target.OrderAction, artifact string) {
	p.busy[t.Name] = true
	p.steps = append(p.steps, Step{t, action, artifact})
}

// enginesFor returns the engines that should hold a model, by name.
func (p *planner) enginesFor(m bundle.Model) []bundle.Target {
	var ts []bundle.Target
	for _, t := range p.bundle.Targets {
		if t.Kind == bundle.KindEngine && slices.Contains(t.Models, m.Name) && !p.bundle.IsLeaving(t.Name) {
			ts = append(ts, t)
		}
	}
	slices.SortFunc(ts, func(a, b bundle.Target) int { return cmp.Compare(a.Name, b.Name) })
	return ts
}

// planLoads plans the loads of missing artifacts within the limit on concurrent
// loads.
func (p *planner) planLoads() {
	free := p.bundle.Placement.Loads - p.loadingCount()
	for _, m := range p.bundle.Models {
		for _, t := range p.eligibleForLoad(m) {
			placed, known := p.placed[t.Name]
			_, exists := placed.Copies[m.Artifact()]
			if free <= 0 || !known || exists || p.busy[t.Name] || isLoading(placed) {
				continue
			}
			p.addStep(t, target.LoadArtifact, m.Artifact())
			free--
		}
	}
}

func (p *planner) loadingCount() int {
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

// eligibleForLoad returns the targets that may load a model now: its canary share, or
// all once those are ready.
func (p *planner) eligibleForLoad(m bundle.Model) []bundle.Target {
	ts := p.enginesFor(m)
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

// planUnloads plans the unloading of artifacts that are not wanted, except the last ready
// copy of a model in use and those whose successor is not ready on the target.
func (p *planner) planUnloads() {
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
			if p.canUnload(t, placed, a) {
				p.addStep(t, target.UnloadArtifact, a)
				break
			}
		}
	}
}

func (p *planner) canUnload(t bundle.Target, placed target.Placed, artifact string) bool {
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

// readyElsewhere reports whether another copy of the model is ready that this plan does
// not unload: on another target, or another version on this one.
func (p *planner) readyElsewhere(exclude walnutramp.TargetName, artifact string, name walnutramp.ModelName) bool {
	for _, t := range p.bundle.Targets {
		if p.bundle.IsLeaving(t.Name) {
			continue
		}
		for a, s := range p.placed[t.Name].Copies {
			same := t.Name == exclude && a == artifact
			if s == target.CopyReady && modelOf(a) == name && !same && !p.unloads(t.Name, a) {
				return true
			}
		}
	}
	return false
}

// unloads reports whether this plan unloads a copy.
func (p *planner) unloads(t walnutramp.TargetName, artifact string) bool {
	return slices.ContainsFunc(p.steps, func(s Step) bool {
		return s.Target.Name == t && s.Action == target.UnloadArtifact && s.Artifact == artifact
	})
}
