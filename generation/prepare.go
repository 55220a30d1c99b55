package generation

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
)

// promise is an epoch promised by a majority.
type promise struct {
	epoch   Epoch
	members []Member // the replica set that promised
	best    Member   // the most up-to-date one
}

// prepare obtains a promise of a new epoch from a majority of the newest replica set.
func (m *Manager) prepare(ctx context.Context, id walnutramp.GenerationID, newest Epoch, members []Member) (promise, error) {
	epoch := Epoch{Number: newest.Number + 1, Node: m.store.self.Node}
	for range prepareRounds {
		round := m.collectPromises(ctx, id, epoch, members)
		if newest.Less(round.best.Epoch) {
			newest, members = round.best.Epoch, round.best.Members
			epoch.Number = max(epoch.Number, newest.Number+1)
			continue
		}
		if round.granted >= majority(len(members)) && round.best.Epoch == newest {
			return promise{epoch: epoch, members: members, best: round.bestMember}, nil
		}
		epoch.Number = max(epoch.Number, round.refusedBy.Number) + 1
		if !pause.For(ctx, roundDelay) {
			break
		}
	}
	return promise{}, walnutramp.NewError(walnutramp.CodeNotProvable, walnutramp.Unknown,
		"no majority of the %d replicas answered", len(members)).WithRetryAfter(time.Second)
}

// promiseRound is the result of one round of prepare calls.
type promiseRound struct {
	granted    int
	best       PrepareReply // the most up-to-date one
	bestMember Member
	refusedBy  Epoch // newest epoch in a rejection
	broken     BrokenRule
}

type memberReply struct {
	member Member
	reply  PrepareReply
}

// collectPromises asks all members and returns once a majority has promised.
func (m *Manager) collectPromises(ctx context.Context, id walnutramp.GenerationID, epoch Epoch, members []Member) promiseRound {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan memberReply, len(members))
	for _, mem := range members {
		m.spawn(func() {
			args := PrepareArgs{ID: id, Epoch: epoch, To: mem.Incarnation}
			replies <- memberReply{mem, m.requestPromise(ctx, mem, args)}
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

func (m *Manager) requestPromise(ctx context.Context, mem Member, args PrepareArgs) PrepareReply {
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
		if round.broken == BreakPromise {
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

// newer reports whether a is more up to date than b: by epoch, then by log.
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

// fetch reads the state of the most up-to-date replica.
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
			"the most up-to-date replica did not answer").WithRetryAfter(time.Second)
	}
	return r.State, nil
}
