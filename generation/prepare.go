package generation

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// promise is a majority's promise of an epoch.
type promise struct {
	epoch   Epoch
	members []Member // the replica set that promised
	best    Member   // the one that is furthest
}

// prepare makes a majority of the newest replica set promise an epoch to this
// node.
func (m *Manager) prepare(ctx context.Context, id walnutramp.GenerationID, newest Epoch, members []Member) (promise, error) {
	epoch := Epoch{Number: newest.Number + 1, Node: m.store.self.Node}
	for range prepareRounds {
		round := m.promises(ctx, id, epoch, members)
		if newest.Less(round.best.Epoch) {
			newest, members = round.best.Epoch, round.best.Members
			epoch.Number = max(epoch.Number, newest.Number+1)
			continue
		}
		if round.granted >= majority(len(members)) && round.best.Epoch == newest {
			return promise{epoch: epoch, members: members, best: round.bestMember}, nil
		}
		epoch.Number = max(epoch.Number, round.refusedBy.Number) + 1
		if !pause.For(ctx, roundPause) {
			break
		}
	}
	return promise{}, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
		"too few of the %d replicas answer", len(members)).WithRetryAfter(time.Second)
}

// promiseRound is what one round of prepare calls brought.
type promiseRound struct {
	granted    int
	best       PrepareReply // of the newest epoch, and there the furthest
	bestMember Member
	refusedBy  Epoch // newest epoch named by a refusal
	broken     BrokenRule
}

type memberReply struct {
	member Member
	reply  PrepareReply
}

// promises asks every member and returns as soon as a majority has promised.
func (m *Manager) promises(ctx context.Context, id walnutramp.GenerationID, epoch Epoch, members []Member) promiseRound {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan memberReply, len(members))
	for _, mem := range members {
		m.spawn(func() {
			args := PrepareArgs{ID: id, Epoch: epoch, To: mem.Incarnation}
			replies <- memberReply{mem, m.askPromise(ctx, mem, args)}
		})
	}
	round := promiseRound{broken: m.cfg.Broken}
	for range members {
		select {
		case r := <-replies:
			round.add(r)
		case <-ctx.Done():
			return round
		}
		if round.granted >= majority(len(members)) {
			break
		}
	}
	return round
}

func (m *Manager) askPromise(ctx context.Context, mem Member, args PrepareArgs) PrepareReply {
	var r PrepareReply
	if mem.Node == m.store.self.Node {
		m.store.Prepare(args, &r)
		return r
	}
	if m.cfg.Peers.Call(ctx, mem.Node, Service+".Prepare", args, &r) != nil {
		return PrepareReply{Code: walnutramp.CodeNoQuorum}
	}
	return r
}

func (round *promiseRound) add(r memberReply) {
	switch r.reply.Code {
	case walnutramp.CodeNotHeld, walnutramp.CodeWrongIncarnation:
		if round.broken == BreakAmnesia {
			round.granted++
		}
	case walnutramp.CodeOK:
		round.granted++
		if round.bestMember.Node == "" || r.reply.newer(round.best) {
			round.best = r.reply
			round.bestMember = r.member
		}
	case walnutramp.CodeStaleEpoch:
		if round.refusedBy.Less(r.reply.Promised) {
			round.refusedBy = r.reply.Promised
		}
	}
}

// newer reports whether a comes after b: a newer epoch, or more of the same.
func (a PrepareReply) newer(b PrepareReply) bool {
	if a.Epoch != b.Epoch {
		return b.Epoch.Less(a.Epoch)
	}
	if a.Tokens != b.Tokens {
		return a.Tokens > b.Tokens
	}
	if a.Source != b.Source {
		return a.Source > b.Source
	}
	return a.Final && !b.Final || a.Prompt && !b.Prompt
}

// fetch reads the state of the replica that is furthest.
func (m *Manager) fetch(ctx context.Context, id walnutramp.GenerationID, p promise) (State, error) {
	args := FetchArgs{ID: id, Epoch: p.epoch, To: p.best.Incarnation}
	var r FetchReply
	var err error
	if p.best == m.store.self {
		err = m.store.Fetch(args, &r)
	} else {
		err = m.cfg.Peers.Call(ctx, p.best.Node, Service+".Fetch", args, &r)
	}
	if err != nil || r.Code != walnutramp.CodeOK {
		return State{}, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
			"the furthest replica went away").WithRetryAfter(time.Second)
	}
	return r.State, nil
}
