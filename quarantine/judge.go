package quarantine

import (
	"slices"
	"time"
)

// judge reports whether a content is quarantined by crashes of at least the
// given age, and the time of the oldest crash needed for that; the quarantine
// ends when that crash expires. The caller holds l.mu, as for the methods
// below.
func (l *Ledger) judge(content Fingerprint, r *record, now time.Time, age time.Duration) (since time.Time, quarantined bool) {
	crashes := r.countedCrashes(now)
	own := weightOf(crashes)
	if own < quarantineWeight {
		return time.Time{}, false
	}
	provenWeights, tiedWeights := 0, 0
	for _, e := range slices.Backward(crashes) {
		if now.Sub(e.at) < age {
			continue
		}
		switch l.rivalOf(content, e, own, now) {
		case rivalNone:
			provenWeights += weights[e.standing]
		case rivalEqual:
			tiedWeights += weights[e.standing]
		}
		if provenWeights >= quarantineWeight || provenWeights+tiedWeights >= tiedWeight {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// weightOf sums the weights of crashes, whichever other contents were involved.
func weightOf(crashes []crash) int {
	sum := 0
	for _, e := range crashes {
		sum += weights[e.standing]
	}
	return sum
}

// countedCrashes returns the crashes that count. Crashes with a common cause,
// such as the loss of a data hall, count once.
func (r *record) countedCrashes(now time.Time) []crash {
	var distinct []crash
	for _, e := range r.crashes {
		if now.Sub(e.at) > retention {
			continue
		}
		if n := len(distinct); n > 0 && !e.independentOf(distinct[n-1]) {
			distinct[n-1].standing = max(distinct[n-1].standing, e.standing)
			continue
		}
		distinct = append(distinct, e)
	}
	return distinct
}

// independentOf reports whether a crash has a cause of its own: its run was
// sent after the other crash, or it happened long enough after it.
func (e crash) independentOf(other crash) bool {
	sentAfter := other.at
	if e.sentAfterKnown {
		sentAfter = sentAfter.Add(-clockError)
	}
	return !e.sent.Before(sentAfter) || e.at.Sub(other.at) >= commonCauseWindow
}

// rival compares another content that ran during a crash with the content under
// judgement.
type rival int

const (
	rivalNone rival = iota
	rivalEqual
	rivalStronger
)

// rivalOf returns the strongest alternative suspect for a crash: a content
// whose run was more likely to have caused it, or one involved in more crashes.
func (l *Ledger) rivalOf(content Fingerprint, e crash, own int, now time.Time) rival {
	strongest := rivalNone
	for _, other := range l.atTarget[e.target] {
		r := l.records[other]
		if other == content || r == nil {
			continue
		}
		for _, rivalCrash := range r.crashes {
			if rivalCrash.same(e) {
				strongest = max(strongest, compare(rivalCrash.standing, weightOf(r.countedCrashes(now)), e.standing, own))
			}
		}
	}
	return strongest
}

// compare ranks a rival by standing and total weight.
func compare(standing Standing, total int, ownStanding Standing, ownTotal int) rival {
	switch {
	case standing > ownStanding, standing == ownStanding && total > ownTotal:
		return rivalStronger
	case standing == ownStanding && total == ownTotal:
		return rivalEqual
	}
	return rivalNone
}
