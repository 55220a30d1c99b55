package ratelimit

import "time"

const (
	// useWithin is how long a permit is valid. Requests that were permitted earlier would
	// arrive together with those that are permitted now.
	useWithin = 250 * time.Millisecond
	// maxReservation bounds how far in advance a permit is granted.
	maxReservation = 2 * time.Second
	// transitTime bounds the time in which a request reaches its target.
	transitTime = 250 * time.Millisecond
)

// Span is the time within which permits of successive owners of a slot count together at
// its target: the target counts over 4 s, and a permit may be used this much later than it
// was granted. Owners must be a Span apart.
const Span = 4*time.Second + maxReservation + useWithin + transitTime

// Permit allows one request to a target within a short time. The zero value allows none.
type Permit struct {
	target string
	rate   float64 // limit under which it was granted
	from   time.Time
	until  time.Time
}

// Wait returns the time until the permit is valid.
func (p *Permit) Wait(now time.Time) time.Duration { return max(0, p.from.Sub(now)) }

// valid reports whether the permit allows a request to a target now. One that was granted
// under a higher limit does not.
func (p *Permit) valid(target string, rate float64, now time.Time) bool {
	return p.target == target && p.rate <= rate && !now.Before(p.from) && now.Before(p.until)
}
