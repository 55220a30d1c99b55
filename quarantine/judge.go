package quarantine

import (
	"slices"
	"time"
)

// judge reports whether a content is held back by ends of an age or more, and
// since when it is by ends that still count: it is no longer once the end of that
// time is forgotten. The caller holds the mutex, as for the methods below.
func (l *Ledger) judge(content Fingerprint, r *record, now time.Time, age time.Duration) (since time.Time, held bool) {
	counted := r.counted(now)
	own := weightOf(counted)
	if own < heldWeight {
		return time.Time{}, false
	}
	proven, tied := 0, 0
	for _, e := range slices.Backward(counted) {
		if now.Sub(e.at) < age {
			continue
		}
		switch l.rivalOf(content, e, own, now) {
		case rivalNone:
			proven += weights[e.standing]
		case rivalEqual:
			tied += weights[e.standing]
		}
		if proven >= heldWeight || proven+tied >= tiedWeight {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// weightOf adds up what ends count, whoever else was there.
func weightOf(ends []end) int {
	sum := 0
	for _, e := range ends {
		sum += weights[e.standing]
	}
	return sum
}

// counted returns the ends that count: ends of one cause, such as the loss of a
// data hall, count once.
func (r *record) counted(now time.Time) []end {
	var counted []end
	for _, e := range r.ends {
		if now.Sub(e.at) > memoryTime {
			continue
		}
		if n := len(counted); n > 0 && !e.follows(counted[n-1]) {
			counted[n-1].standing = max(counted[n-1].standing, e.standing)
			continue
		}
		counted = append(counted, e)
	}
	return counted
}

// follows reports whether an end has a cause of its own: its run was sent after
// the other end, or it came well after it.
func (e end) follows(other end) bool {
	sentAfter := other.at
	if e.later {
		sentAfter = sentAfter.Add(-blur)
	}
	return !e.sent.Before(sentAfter) || e.at.Sub(other.at) >= oneCause
}

// rival says how another content that was at an end stands to one.
type rival int

const (
	rivalNone rival = iota
	rivalEqual
	rivalStronger
)

// rivalOf returns the strongest rival for having caused an end: one whose run
// had come closer to it, or one that was at more ends.
func (l *Ledger) rivalOf(content Fingerprint, e end, own int, now time.Time) rival {
	strongest := rivalNone
	for _, other := range l.atTarget[e.target] {
		r := l.records[other]
		if other == content || r == nil {
			continue
		}
		for _, its := range r.ends {
			if its.same(e) {
				strongest = max(strongest, compare(its.standing, weightOf(r.counted(now)), e.standing, own))
			}
		}
	}
	return strongest
}

// compare returns how a rival with a standing and a total weight stands.
func compare(standing Standing, total int, ownStanding Standing, own int) rival {
	switch {
	case standing > ownStanding, standing == ownStanding && total > own:
		return rivalStronger
	case standing == ownStanding && total == own:
		return rivalEqual
	}
	return rivalNone
}
