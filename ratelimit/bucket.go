package ratelimit

import (
	"math"
	"time"
)

// Slots is the number of parts into which a target's rate is divided. The parts are owned
// by different nodes, so that the loss of one node costs at most a part of the rate.
const Slots = 4

const (
	// undividedBelow is the rate, in requests per second, below which one slot has all of
	// it: each slot saves up one request, and four at once are too many for a low rate.
	undividedBelow = 1.0
	// minRate is the lowest rate, in requests per second. A lower one would keep nodes from
	// learning that the limit has changed, since only responses carry it.
	minRate = 0.1
	// burstTime is the time over which a slot accumulates requests, on top of one.
	burstTime = time.Second
)

// slotRate returns the part of a target's rate that belongs to a slot, and the number of
// requests that it may accumulate. In any time d all slots together permit at most
// Slots + rate x (burstTime + d) requests.
func slotRate(rate float64, slot int) (perSecond, burst float64) {
	rate = max(rate, minRate)
	if rate < undividedBelow {
		if slot > 0 {
			return 0, 0
		}
	} else {
		rate /= Slots
	}
	return rate, 1 + rate*burstTime.Seconds()
}

// bucket is a token bucket from which tokens may be taken in advance.
type bucket struct {
	tokens   float64 // negative if taken in advance
	filledAt time.Time
	filled   bool // false until first used; it is full then
}

// fill adds the tokens since the last call, at the given rate.
func (b *bucket) fill(now time.Time, perSecond, burst float64) {
	if !b.filled {
		b.filled, b.tokens = true, burst
	} else if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens += perSecond * elapsed.Seconds()
	}
	b.tokens = min(b.tokens, burst)
	b.filledAt = now
}

// wait returns the time until a token is there, 0 if one is, or never.
func (b *bucket) wait(now time.Time, perSecond, burst float64) time.Duration {
	b.fill(now, perSecond, burst)
	if b.tokens >= 1 {
		return 0
	}
	if perSecond <= 0 {
		return never
	}
	return time.Duration(math.Ceil((1 - b.tokens) / perSecond * float64(time.Second)))
}

// never is a wait that does not end.
const never = time.Duration(math.MaxInt64)
