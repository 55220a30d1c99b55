package groupclock

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSampleAge is the maximum age of a member's newest sample.
	maxSampleAge = 3 * time.Second
	// maxDeviation is the maximum deviation of a correct clock from the median,
	// in addition to the samples' error bounds.
	maxDeviation = 100 * time.Millisecond
)

// Agreement computes the time that a majority of the members' wall clocks agree
// on. It is not safe for concurrent use.
type Agreement struct {
	steady  Steady
	members map[string]*filter
}

// NewAgreement returns an agreement without samples.
func NewAgreement(steady Steady) *Agreement {
	return &Agreement{steady: steady, members: map[string]*filter{}}
}

// Steady reads the monotonic clock, to record when a request is sent.
func (a *Agreement) Steady() time.Duration { return a.steady() }

// AddSample adds a sample of a member's wall clock, just received in reply to a
// request. unix is the time since the Unix epoch; asked is when the request was sent,
// as read from Steady.
func (a *Agreement) AddSample(member string, unix, asked time.Duration) {
	if a.members[member] == nil {
		a.members[member] = &filter{}
	}
	a.members[member].add(newSample(unix, asked, a.steady(), 0))
}

// Forget drops all samples.
func (a *Agreement) Forget() { clear(a.members) }

// Result is the outcome of an agreement.
type Result struct {
	Samples int           // members with a recent sample
	Spread  time.Duration // between the earliest and the latest wall clock
	Agreed  bool          // whether enough members agree; otherwise the time is not usable
	Within  time.Duration // error bound of the time

	at     time.Duration
	offset time.Duration
}

// Result returns the median of the recent samples of a group with the given number
// of members; without samples Agreed is false. Agreement requires recent
// samples of a majority of the group, most of them close to the median, so that
// a minority of wrong clocks cannot change the time.
func (a *Agreement) Result(group int) Result {
	now := a.steady()
	fresh := a.fresh(now)
	r := Result{Samples: len(fresh), at: now}
	if len(fresh) == 0 {
		return r
	}
	median := fresh[(len(fresh)-1)/2]
	r.Spread = fresh[len(fresh)-1].offset - fresh[0].offset
	r.offset, r.Within = median.offset, median.withinAt(now)
	agree := 0
	for _, s := range fresh {
		if (s.offset - median.offset).Abs() <= maxDeviation+s.withinAt(now)+r.Within {
			agree++
		}
	}
	r.Agreed = 2*len(fresh) > group && 2*agree > len(fresh)
	return r
}

// fresh returns the best sample of each member with a recent one, sorted by
// offset.
func (a *Agreement) fresh(now time.Duration) []sample {
	var fresh []sample
	for _, f := range a.members {
		newest := f.samples[len(f.samples)-1]
		if now-newest.at > maxSampleAge {
			continue
		}
		best, _ := f.best(now)
		fresh = append(fresh, best)
	}
	slices.SortFunc(fresh, func(a, b sample) int { return cmp.Compare(a.offset, b.offset) })
	return fresh
}

// SetResult adds a result to the follower's samples, on the member that computed
// it; a result without agreement is ignored. The follower and the Agreement must
// use the same monotonic clock.
func (f *Follower) SetResult(r Result) {
	if r.Agreed {
		f.addSample(sample{at: r.at, offset: r.offset, within: r.Within})
	}
}
