package groupclock

import (
	"cmp"
	"slices"
	"time"
)

const (
	// freshFor is how old a member's newest sample may be: three are asked
	// for in that time.
	freshFor = 3 * time.Second
	// agreeWithin is how far apart good times of day are at most, beside what
	// the way of the samples hides. Hosts that keep their clocks are closer by
	// far, and a window of usage is far longer.
	agreeWithin = 100 * time.Millisecond
)

// Agreement finds the time that most of the members' times of day agree on.
type Agreement struct {
	steady  Steady
	members map[string]*filter
}

// NewAgreement returns an agreement of nobody yet.
func NewAgreement(steady Steady) *Agreement {
	return &Agreement{steady: steady, members: map[string]*filter{}}
}

// Steady reads the steady clock, to say when a question was asked.
func (a *Agreement) Steady() time.Duration { return a.steady() }

// Heard takes a member's time of day, which came just now.
func (a *Agreement) Heard(member string, unix, asked time.Duration) {
	if a.members[member] == nil {
		a.members[member] = &filter{}
	}
	a.members[member].add(measured(unix, asked, a.steady(), 0))
}

// Forget drops what was heard.
func (a *Agreement) Forget() { clear(a.members) }

// Result is what the members agree on.
type Result struct {
	Heard  int           // members that answered lately
	Spread time.Duration // between the first and the last of their times
	Agreed bool          // the rest holds
	Within time.Duration // by how much the time may be off

	at     time.Duration
	offset time.Duration
}

// Result returns what the members agree on: the median of those that were
// heard lately. It needs a majority of a group of so many, and most of those
// heard must be close to the median, so that clocks that were set never
// decide by themselves.
func (a *Agreement) Result(group int) Result {
	now := a.steady()
	fresh := a.fresh(now)
	r := Result{Heard: len(fresh), at: now}
	if len(fresh) == 0 {
		return r
	}
	median := fresh[(len(fresh)-1)/2]
	r.Spread = fresh[len(fresh)-1].offset - fresh[0].offset
	r.offset, r.Within = median.offset, median.withinAt(now)
	agree := 0
	for _, s := range fresh {
		if (s.offset - median.offset).Abs() <= agreeWithin+s.withinAt(now)+r.Within {
			agree++
		}
	}
	r.Agreed = 2*len(fresh) > group && 2*agree > len(fresh)
	return r
}

// fresh returns the best sample of each member that was heard lately, in the
// order of their times.
func (a *Agreement) fresh(now time.Duration) []sample {
	var fresh []sample
	for _, f := range a.members {
		newest := f.samples[len(f.samples)-1]
		if now-newest.at > freshFor {
			continue
		}
		best, _ := f.best(now)
		fresh = append(fresh, best)
	}
	slices.SortFunc(fresh, func(a, b sample) int { return cmp.Compare(a.offset, b.offset) })
	return fresh
}

// Agreed takes the time that the members agree on, on the member that asked
// them. It shares the agreement's steady clock.
func (f *Follower) Agreed(r Result) {
	if r.Agreed {
		f.take(sample{at: r.at, offset: r.offset, within: r.Within})
	}
}
