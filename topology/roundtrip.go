package topology

import "time"

const (
	// roundTripWeight is the weight of the latest sample in the mean.
	roundTripWeight = 0.2
	// roundTripOutlier bounds the ratio of a sample to the mean, as retransmissions say
	// nothing about distance.
	roundTripOutlier = 2
	// roundTripTTL is how long a mean without new samples is valid.
	roundTripTTL = 5 * time.Minute
)

// RoundTrips holds the mean round-trip times to data halls, measured on regular
// traffic. The zero value is empty. It is not safe for concurrent use.
type RoundTrips struct {
	halls map[string]roundTrip
}

type roundTrip struct {
	mean      time.Duration
	updatedAt time.Time // latest sample
}

// Observe records a round trip to a data hall, at most roundTripOutlier times the mean.
func (r *RoundTrips) Observe(hall string, took time.Duration, now time.Time) {
	if r.halls == nil {
		r.halls = map[string]roundTrip{}
	}
	known, ok := r.halls[hall]
	if !ok || now.Sub(known.updatedAt) > roundTripTTL {
		r.halls[hall] = roundTrip{mean: took, updatedAt: now}
		return
	}
	took = min(took, roundTripOutlier*known.mean)
	known.mean += time.Duration(roundTripWeight * float64(took-known.mean))
	known.updatedAt = now
	r.halls[hall] = known
}

// Mean returns the mean round trip to a data hall; false if none was measured recently.
func (r *RoundTrips) Mean(hall string, now time.Time) (time.Duration, bool) {
	known, ok := r.halls[hall]
	if !ok || now.Sub(known.updatedAt) > roundTripTTL {
		return 0, false
	}
	return known.mean, true
}
