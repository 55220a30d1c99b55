package consensus

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Parameters of round-trip estimates.
const (
	// rttWeight is the weight of the newest sample in the moving average: at
	// ten heartbeats a second it follows a route change within a second, and is
	// robust against a single loss.
	rttWeight = 0.125
	// rttTTL is how long an estimate is valid without a new sample; the route
	// may change while a member is unreachable.
	rttTTL = time.Minute
	// electionRTTs is the minimum election timeout in quorum round trips. A
	// heartbeat takes one, a TCP retransmission two to four. Up to 50 ms the
	// configured timeout is longer.
	electionRTTs = 8
	// maxElectionTimeout bounds the time without a leader, since operators wait
	// a few seconds only.
	maxElectionTimeout = 2 * time.Second
)

// rttEstimate is a smoothed round-trip time to another member.
type rttEstimate struct {
	mean      time.Duration // moving average; 0 before the first sample
	sampledAt time.Time     // time of the newest sample
}

// add adds a sample.
func (t *rttEstimate) add(sample time.Duration, now time.Time) {
	t.sampledAt = now
	if t.mean == 0 {
		t.mean = sample
		return
	}
	t.mean += time.Duration(rttWeight * float64(sample-t.mean))
}

// recordRTT adds a sample from a call that did not wait for a disk sync. The
// caller holds m.mu.
func (m *Member) recordRTT(node walnutramp.NodeName, sent time.Time) {
	now := time.Now()
	t := m.rtts[node]
	if t == nil {
		t = &rttEstimate{}
		m.rtts[node] = t
	}
	t.add(now.Sub(sent), now)
}

// rttTo returns the mean round trip to a member; 0 if unknown. The caller holds
// m.mu.
func (m *Member) rttTo(node walnutramp.NodeName) time.Duration {
	t := m.rtts[node]
	if t == nil || time.Since(t.sampledAt) > rttTTL {
		return 0
	}
	return t.mean
}

// quorumRTT returns the round trip to the nearest majority; 0 if too few
// estimates are known. The caller holds m.mu.
func (m *Member) quorumRTT() time.Duration {
	group := m.store.group(m.store.lastIndex())
	var rtts []time.Duration
	for _, v := range group.Voters {
		if rtt := m.rttTo(v.Node); rtt > 0 && !v.Learner && v.Node != m.node {
			rtts = append(rtts, rtt)
		}
	}
	others := group.majority() - 1 // besides this member
	if others < 1 || len(rtts) < others {
		return 0
	}
	slices.Sort(rtts)
	return rtts[others-1]
}

// electionTimeout returns the minimum election timeout. The leader derives it
// from its measured round trips and sends it to the followers.
func (m *Member) electionTimeout() time.Duration { return time.Duration(m.election.Load()) }

// setElectionTimeout sets the timeout, clamped to its bounds.
func (m *Member) setElectionTimeout(d time.Duration) {
	m.election.Store(int64(max(m.cfg.Election, min(d, maxElectionTimeout))))
}

// RoundTrips returns the known mean round trips to the other members.
func (m *Member) RoundTrips() map[walnutramp.NodeName]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[walnutramp.NodeName]time.Duration{}
	for node := range m.rtts {
		if rtt := m.rttTo(node); rtt > 0 {
			known[node] = rtt
		}
	}
	return known
}
