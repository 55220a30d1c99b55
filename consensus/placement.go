package consensus

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// Each change waits for the leader's nearest majority, so the member with the
// nearest one should lead. Members measure their distances now and then and
// tell the leader with their answers; it hands over where another would do
// clearly better, for long enough, and not often.

// Bounds of hand-overs to a better placed member.
const (
	pingEvery     = 5 * time.Second // six members: 5 calls a second in all
	placeEvery    = time.Second
	betterShare   = 0.7                  // of the leader's own round trip to a majority that another's must be below
	betterBy      = 3 * time.Millisecond // and by so much: halls of one region differ by less
	betterFor     = 30 * time.Second     // a link that is slow for a moment is no reason
	handOverPause = 5 * time.Minute      // between two such hand-overs
)

// PingArgs asks for an answer at once; its way is measured.
type PingArgs struct{}

// PingReply is empty.
type PingReply struct{}

// Ping answers a member that measures its distance.
func (h *Handler) Ping(PingArgs, *PingReply) error { return nil }

// placement is a leader's view of who should lead.
type placement struct {
	better walnutramp.NodeName // who would do better; empty for nobody
	since  time.Time           // from when on
	moved  time.Time           // when leadership was last handed over for it
}

// measureTrips is the one task that measures the distances of a member that
// does not lead; a leader measures its heartbeats.
func (m *Member) measureTrips() {
	for pause.For(m.ctx, pingEvery) {
		m.mu.Lock()
		voters, leads := m.store.group(m.store.lastIndex()).Voters, m.role == leader
		m.mu.Unlock()
		for _, v := range voters {
			if !leads && !v.Learner && v.Node != m.node {
				m.ping(v.Node)
			}
		}
	}
}

func (m *Member) ping(node walnutramp.NodeName) {
	ctx, cancel := context.WithTimeout(m.ctx, m.electionTimeout())
	defer cancel()
	sent := time.Now()
	if m.peers.Call(ctx, node, Service+".Ping", PingArgs{}, &PingReply{}) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteTrip(node, sent)
}

// keepPlace is the one task that hands over to a better placed member.
func (m *Member) keepPlace() {
	var place placement
	for pause.For(m.ctx, placeEvery) {
		m.mu.Lock()
		better := m.betterPlaced()
		m.mu.Unlock()
		if !place.due(better, time.Now()) {
			continue
		}
		klog.InfoS("Another member is better placed to lead", "node", m.node, "other", better)
		m.handOverTo(m.ctx, better)
	}
}

// due takes who would do better now and reports whether it is time to hand
// over.
func (p *placement) due(better walnutramp.NodeName, now time.Time) bool {
	if better != p.better {
		p.better, p.since = better, now
	}
	if better == "" || now.Sub(p.since) < betterFor || !p.moved.IsZero() && now.Sub(p.moved) < handOverPause {
		return false
	}
	p.moved, p.since = now, now
	return true
}

// betterPlaced returns the voter whose majority is nearest, if it is clearly
// nearer than this leader's; empty for none. The caller holds the mutex.
func (m *Member) betterPlaced() walnutramp.NodeName {
	own := m.quorumTrip()
	if m.role != leader || own == 0 {
		return ""
	}
	limit := min(time.Duration(betterShare*float64(own)), own-betterBy)
	var best *progress
	for _, p := range m.follow {
		if p.voter.Learner || p.quorum == 0 || p.quorum >= limit || time.Since(p.asked) > m.electionTimeout() {
			continue
		}
		if best == nil || p.quorum < best.quorum || p.quorum == best.quorum && p.node < best.node {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.node
}
