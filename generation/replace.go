package generation

import (
	"context"
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// checkSet replaces members that are gone, fills a set that was opened while
// too few nodes lived, and ends a generation whose majority is lost.
func (g *Generation) checkSet(now time.Time) {
	live := g.m.cfg.Directory.Live()
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	if g.rec.owner != g || !g.busy() || g.err != nil {
		return
	}
	if !g.majorityPossible(now) {
		g.end(walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
			"too few of the %d replicas are left", len(g.rec.state.Members)))
		return
	}
	if len(g.rec.state.Members) < g.m.cfg.Guard().Replicas || len(g.failing()) > 0 || g.someoneGone(live) {
		g.wantReplacement()
	}
}

// majorityPossible reports whether enough members may still answer. The
// caller holds the mutex.
func (g *Generation) majorityPossible(now time.Time) bool {
	left := 0
	for _, mem := range g.rec.state.Members {
		c := g.cursors[mem.Node]
		gone := c != nil && (c.lost || !c.failing.IsZero() && now.Sub(c.failing) > g.m.cfg.Patience)
		if !gone {
			left++
		}
	}
	return left >= majority(len(g.rec.state.Members))
}

// someoneGone reports whether a member is not among the live nodes. The
// caller holds the mutex.
func (g *Generation) someoneGone(live []Node) bool {
	for _, mem := range g.rec.state.Members {
		alive := slices.ContainsFunc(live, func(n Node) bool { return n.Member == mem })
		if mem != g.m.store.self && !alive {
			return true
		}
	}
	return false
}

// wantReplacement starts a change of the replica set if that gives a better
// one: as many members as the bundle asks for, none of them failing. The
// caller holds the mutex.
func (g *Generation) wantReplacement() {
	if g.changing || g.previous != nil || !g.busy() || g.rec.owner != g {
		return
	}
	better := g.m.chooseMembers(g.id, g.rec.state.Members, g.failing())
	if len(better) < max(len(g.rec.state.Members), g.m.cfg.Guard().Replicas) {
		return
	}
	g.changing = true
	if !g.m.spawn(g.replaceLost) {
		g.changing = false
	}
}

// replaceLost gives the generation a new epoch and a replica set without the
// nodes that are lost. The old set's majority must first promise the epoch;
// while it can't, output stands still, and after a while the caller is told.
func (g *Generation) replaceLost() {
	ctx, cancel := context.WithTimeout(g.m.ctx, g.m.cfg.Patience)
	defer cancel()
	err := g.changeMembers(ctx)
	g.rec.mu.Lock()
	defer g.rec.mu.Unlock()
	g.changing = false
	if err != nil && g.rec.owner == g && g.m.ctx.Err() == nil {
		g.end(walnutramp.AsError(err))
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
		if !pause.For(ctx, roundPause) {
			return err
		}
	}
}

// reopen starts the promised epoch with this node's own log, which as the
// sole owner's is the longest, on a replica set of live nodes.
func (g *Generation) reopen(ctx context.Context, epoch Epoch, former []Member) error {
	g.rec.mu.Lock()
	if g.rec.owner != g || epoch.Less(g.rec.promised) || g.err != nil {
		g.rec.mu.Unlock()
		return nil
	}
	members := g.m.chooseMembers(g.id, former, g.failing())
	g.epoch = epoch
	g.handle = g.m.newHandle()
	g.previous = former
	g.rec.promised = epoch
	g.rec.state.Epoch = epoch
	g.rec.state.Members = members
	g.cursors = g.m.cursors(union(members, former))
	g.changing = false
	g.markAll()
	g.release()
	g.rec.mu.Unlock()
	return g.waitInForce(ctx)
}

// failing returns the members that do not answer or will never count again.
// The caller holds the mutex.
func (g *Generation) failing() []Member {
	var members []Member
	for _, c := range g.cursors {
		if c.lost || !c.failing.IsZero() {
			members = append(members, c.member)
		}
	}
	return members
}
