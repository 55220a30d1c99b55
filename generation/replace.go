package generation

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// checkReplicaSet starts replacing dead members and completing an undersized set, and
// terminates a generation that has lost its majority.
func (g *Generation) checkReplicaSet(now time.Time) {
	live := g.m.cfg.Directory.Live()
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.rec.owner != g || !g.active() || g.err != nil {
		return
	}
	if !g.majorityPossible(now) {
		g.terminate(walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
			"the majority of the %d replicas is lost", len(g.rec.state.Members)))
		return
	}
	if len(g.rec.state.Members) < g.m.cfg.Guard().Replicas || len(g.failingMembers()) > 0 || g.hasDeadMember(live) {
		g.startReconfiguration()
	}
}

// majorityPossible reports whether a majority of the members has neither restarted nor
// been failing for longer than MajorityTimeout. The caller holds the mutex.
func (g *Generation) majorityPossible(now time.Time) bool {
	usable := 0
	for _, mem := range g.rec.state.Members {
		c := g.cursors[mem.Node]
		failed := c != nil && (c.restarted || !c.failingSince.IsZero() && now.Sub(c.failingSince) > g.m.cfg.MajorityTimeout)
		if !failed {
			usable++
		}
	}
	return usable >= majority(len(g.rec.state.Members))
}

// hasDeadMember reports whether a member other than this node is not among the live nodes
// with its incarnation. The caller holds the mutex.
func (g *Generation) hasDeadMember(live []Node) bool {
	for _, mem := range g.rec.state.Members {
		alive := slices.ContainsFunc(live, func(n Node) bool { return n.Member == mem })
		if mem != g.m.store.self && !alive {
			return true
		}
	}
	return false
}

// startReconfiguration starts a change of the replica set if one without failing members
// is available that is at least as large as both the current set and the configured size.
// It does nothing while another change is in progress. The caller holds the mutex.
func (g *Generation) startReconfiguration() {
	if g.reconfiguring || g.previousMembers != nil || !g.active() || g.rec.owner != g {
		return
	}
	better := g.m.chooseMembers(g.id, g.rec.state.Members, g.failingMembers())
	if len(better) < max(len(g.rec.state.Members), g.m.cfg.Guard().Replicas) {
		return
	}
	g.reconfiguring = true
	if !g.m.spawn(g.reconfigure) {
		g.reconfiguring = false
	}
}

// reconfigure moves the generation to a new epoch and a replica set without failing
// nodes. A majority of the old set must first promise the epoch, then accept it. If that
// takes longer than MajorityTimeout, the generation is terminated.
func (g *Generation) reconfigure() {
	ctx, cancel := context.WithTimeout(g.m.ctx, g.m.cfg.MajorityTimeout)
	defer cancel()
	err := g.changeMembers(ctx)
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.reconfiguring = false
	if err != nil && g.rec.owner == g && g.m.ctx.Err() == nil {
		g.terminate(walnutramp.AsError(err))
	}
}

func (g *Generation) changeMembers(ctx context.Context) error {
	g.rec.mu.Lock()
	id, epoch, members := g.id, g.epoch, slices.Clone(g.rec.state.Members)
	g.rec.mu.Unlock()
	for {
		p, err := g.m.prepare(ctx, id, epoch, members)
		if err == nil {
			return g.reopen(ctx, p.epoch, p.members)
		}
		if !pause.For(ctx, roundDelay) {
			return err
		}
	}
}

// reopen starts the promised epoch on a new replica set, with this node's log: it is the
// longest, since only the owner appends. It returns once the epoch is accepted. It does
// nothing if the generation has another owner, has failed, or has promised a higher epoch.
func (g *Generation) reopen(ctx context.Context, epoch Epoch, former []Member) error {
	g.rec.mu.Lock()
	if g.rec.owner != g || epoch.Less(g.rec.promised) || g.err != nil {
		g.rec.mu.Unlock()
		return nil
	}
	members := g.m.chooseMembers(g.id, former, g.failingMembers())
	g.epoch = epoch
	g.handle = g.m.newHandle()
	g.previousMembers = former
	g.rec.promised = epoch
	g.rec.state.Epoch = epoch
	g.rec.state.Members = members
	g.cursors = g.m.cursors(union(members, former))
	g.reconfiguring = false
	g.replicateAll()
	g.release()
	g.rec.mu.Unlock()
	return g.waitEpochAccepted(ctx)
}

// failingMembers returns the members that do not answer or have restarted. The caller
// holds the mutex.
func (g *Generation) failingMembers() []Member {
	var members []Member
	for _, c := range g.cursors {
		if c.restarted || !c.failingSince.IsZero() {
			members = append(members, c.member)
		}
	}
	return members
}
