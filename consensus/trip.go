package consensus

import "time"

// tripWeight is the share of the newest round trip in the mean: at ten
// heartbeats a second the mean follows a change of the way within a second,
// and one lost packet does not move it much.
const tripWeight = 0.125

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
