package consensus

import (
	"slices"
	"time"

	"github.com/walnutramp/walnutramp"
)

// Bounds of what round trips are used for.
const (
	// tripWeight is the share of the newest round trip in the mean: at ten
	// heartbeats a second the mean follows a change of the way within a second,
	// and one lost packet does not move it much.
	tripWeight = 0.125
	// tripLife is how long a mean counts without a newer round trip: a member
	// that was out of reach for so long may come back by another way.
	tripLife = time.Minute
	// electionTrips is how many round trips to a majority an election timeout
	// lasts at least. A heartbeat takes one, its repetition by TCP after a loss
	// two to four; up to 50 ms the configured timeout is longer anyway.
	electionTrips = 8
	// maxElection bounds the timeout: a group that is without a leader for
	// longer is of no use to operators, who wait a few seconds.
	maxElection = 2 * time.Second
)

// tripTime is how long calls to another member take, there and back.
type tripTime struct {
	mean     time.Duration // smoothed; 0 before the first
	measured time.Time     // when the newest was measured
}

// add takes a round trip.
func (t *tripTime) add(trip time.Duration, now time.Time) {
	t.measured = now
	if t.mean == 0 {
		t.mean = trip
		return
	}
	t.mean += time.Duration(tripWeight * float64(trip-t.mean))
}

// noteTrip takes a round trip to a member, of a call that waits for no disk of
// a leader's entries. The caller holds the mutex.
func (m *Member) noteTrip(node walnutramp.NodeName, sent time.Time) {
	now := time.Now()
	t := m.trips[node]
	if t == nil {
		t = &tripTime{}
		m.trips[node] = t
	}
	t.add(now.Sub(sent), now)
}

// tripTo returns the mean round trip to a member; 0 where none is known. The
// caller holds the mutex.
func (m *Member) tripTo(node walnutramp.NodeName) time.Duration {
	t := m.trips[node]
	if t == nil || time.Since(t.measured) > tripLife {
		return 0
	}
	return t.mean
}

// quorumTrip returns how long it takes to hear the nearest majority; 0 where
// too few distances are known. The caller holds the mutex.
func (m *Member) quorumTrip() time.Duration {
	group := m.store.group(m.store.lastIndex())
	var trips []time.Duration
	for _, v := range group.Voters {
		if trip := m.tripTo(v.Node); trip > 0 && !v.Learner && v.Node != m.node {
			trips = append(trips, trip)
		}
	}
	others := group.majority() - 1 // beside this member
	if others < 1 || len(trips) < others {
		return 0
	}
	slices.Sort(trips)
	return trips[others-1]
}

// electionTimeout returns the shortest wait for a leader: as configured, or
// longer where members are far from each other. The leader measures and tells
// the others, so that all go by one figure.
func (m *Member) electionTimeout() time.Duration { return time.Duration(m.election.Load()) }

// setElectionTimeout takes a timeout within its bounds.
func (m *Member) setElectionTimeout(d time.Duration) {
	m.election.Store(int64(max(m.cfg.Election, min(d, maxElection))))
}

// Trips returns the mean round trips to the other members, as far as they are
// known.
func (m *Member) Trips() map[walnutramp.NodeName]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[walnutramp.NodeName]time.Duration{}
	for node := range m.trips {
		if trip := m.tripTo(node); trip > 0 {
			known[node] = trip
		}
	}
	return known
}
