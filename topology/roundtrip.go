package topology

import "time"

const (
	// roundTripWeight is that of the newest round trip in the mean: a few even out
	// the queues on a link, and a link that was changed is known after some ten.
	roundTripWeight = 0.2
	// roundTripOutlier bounds a round trip to so many times the mean: a packet that
	// was sent again says nothing of the distance.
	roundTripOutlier = 2
	// roundTripLife is how long a mean counts that nothing was added to: routes
	// between regions change within minutes, not seconds.
	roundTripLife = 5 * time.Minute
)

// RoundTrips are the times to data halls and back, as measured by what is sent
// there anyway. The zero value knows none. Its owner guards it.
type RoundTrips struct {
	halls map[string]roundTrip
}

type roundTrip struct {
	mean time.Duration
	at   time.Time // of the newest
}

// Observe takes a round trip to a data hall.
func (r *RoundTrips) Observe(hall string, took time.Duration, now time.Time) {
	if r.halls == nil {
		r.halls = map[string]roundTrip{}
	}
	known, ok := r.halls[hall]
	if !ok || now.Sub(known.at) > roundTripLife {
		r.halls[hall] = roundTrip{mean: took, at: now}
		return
	}
	took = min(took, roundTripOutlier*known.mean)
	known.mean += time.Duration(roundTripWeight * float64(took-known.mean))
	known.at = now
	r.halls[hall] = known
}

// To returns the time to a data hall and back; false where none was measured
// lately.
func (r *RoundTrips) To(hall string, now time.Time) (time.Duration, bool) {
	known, ok := r.halls[hall]
	if !ok || now.Sub(known.at) > roundTripLife {
		return 0, false
	}
	return known.mean, true
}
