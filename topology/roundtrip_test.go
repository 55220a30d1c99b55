package topology

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRoundTripIsSmoothedAndExpires(t *testing.T) {
	var r RoundTrips
	now := time.Now()
	_, known := r.Mean("b1", now)
	require.False(t, known)
	for range 20 {
		r.Observe("b1", 24*time.Millisecond, now)
	}
	r.Observe("b1", 2*time.Second, now) // a retransmission
	took, known := r.Mean("b1", now)
	require.True(t, known)
	require.Less(t, took, 30*time.Millisecond)
	for range 20 {
		r.Observe("b1", 60*time.Millisecond, now)
	}
	took, _ = r.Mean("b1", now)
	require.InDelta(t, 60, took.Milliseconds(), 2, "the link has changed")
	_, known = r.Mean("b1", now.Add(roundTripTTL+time.Second))
	require.False(t, known)
	r.Observe("b1", 10*time.Millisecond, now.Add(roundTripTTL+time.Second))
	took, _ = r.Mean("b1", now.Add(roundTripTTL+time.Second))
	require.Equal(t, 10*time.Millisecond, took, "an expired mean is discarded")
}
