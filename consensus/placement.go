package consensus

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"k8s.io/klog/v2"
)

// Commit latency depends on the leader's round trip to its nearest majority.
// Members measure round trips and report them in their replies; the leader
// transfers leadership when another member is clearly better placed for long
// enough.

// Thresholds of leadership transfers to a better placed member.
const (
	pingInterval      = 5 * time.Second // interval of round-trip measurements
	placementInterval = time.Second
	betterRatio       = 0.7                  // another member's quorum round trip must be below this share of the leader's
	betterMargin      = 3 * time.Millisecond // and shorter by at least this; data halls of one region differ by less
	betterDuration    = 30 * time.Second     // ignores links that are slow for a short time only
	transferInterval  = 5 * time.Minute      // minimum interval between two such transfers
)

// PingArgs requests an immediate reply, to measure the round trip.
type PingArgs struct{}

// PingReply is empty.
type PingReply struct{}

// Ping replies to a round-trip measurement.
func (h *Handler) Ping(PingArgs, *PingReply) error { return nil }

// placement tracks which member is better placed to lead.
type placement struct {
	better       walnutramp.NodeName // better placed member; empty for none
	since        time.Time           // since when it has been better placed
	lastTransfer time.Time           // time of the last transfer
}

// measureRTTs measures round trips while the member does not lead; a leader
// measures its heartbeats instead.
func (m *Member) measureRTTs() {
	for pause.For(m.ctx, pingInterval) {
		m.mu.Lock()
		voters, leading := m.store.group(m.store.lastIndex()).Voters, m.role == leader
		m.mu.Unlock()
		for _, v := range voters {
			if !leading && !v.Learner && v.Node != m.node {
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
	m.recordRTT(node, sent)
}

// runPlacement transfers leadership to a better placed member.
func (m *Member) runPlacement() {
	var state placement
	for pause.For(m.ctx, placementInterval) {
		m.mu.Lock()
		better := m.betterPlaced()
		m.mu.Unlock()
		if !state.due(better, time.Now()) {
			continue
		}
		klog.InfoS("Transferring leadership to a better placed member", "node", m.node, "other", better)
		m.transferTo(m.ctx, better)
	}
}

// due records the better placed member and reports whether to transfer
// leadership now.
func (p *placement) due(better walnutramp.NodeName, now time.Time) bool {
	if better != p.better {
		p.better, p.since = better, now
	}
	if better == "" || now.Sub(p.since) < betterDuration || !p.lastTransfer.IsZero() && now.Sub(p.lastTransfer) < transferInterval {
		return false
	}
	p.lastTransfer, p.since = now, now
	return true
}

// betterPlaced returns the voter with the shortest quorum round trip, if that
// is clearly shorter than this leader's; empty for none. The caller holds m.mu.
func (m *Member) betterPlaced() walnutramp.NodeName {
	own := m.quorumRTT()
	if m.role != leader || own == 0 {
		return ""
	}
	limit := min(time.Duration(betterRatio*float64(own)), own-betterMargin)
	var best *progress
	for _, p := range m.followers {
		if p.voter.Learner || p.quorumRTT == 0 || p.quorumRTT >= limit || time.Since(p.lastAnswered) > m.electionTimeout() {
			continue
		}
		if best == nil || p.quorumRTT < best.quorumRTT || p.quorumRTT == best.quorumRTT && p.node < best.node {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.node
}
