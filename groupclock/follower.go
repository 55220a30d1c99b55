package groupclock

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Steady reads a monotonic clock, as the time since an arbitrary fixed moment.
type Steady func() time.Duration

// NewSteady returns the monotonic clock of this process, which includes time
// suspended.
func NewSteady() Steady {
	began := uptime.Now()
	return func() time.Duration { return uptime.Since(began) }
}

// Stamp is the group time as carried in a reply.
type Stamp struct {
	Unix   time.Duration // since the Unix epoch
	Within time.Duration // error bound
	Held   time.Duration // time between receiving the request and reading the clock
}

// Follower extrapolates the group time from received stamps with a monotonic
// clock. It implements Clock.
type Follower struct {
	steady Steady

	mu      sync.Mutex
	samples filter
}

// NewFollower returns a clock without a known time.
func NewFollower(steady Steady) *Follower { return &Follower{steady: steady} }

// Steady reads the monotonic clock, to record when a request is sent.
func (f *Follower) Steady() time.Duration { return f.steady() }

// AddSample adds the stamp of a reply just received to a request sent at asked.
func (f *Follower) AddSample(s Stamp, asked time.Duration) {
	received := newSample(s.Unix, asked, f.steady(), s.Held)
	received.within += s.Within
	f.addSample(received)
}

func (f *Follower) addSample(s sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples.add(s)
}

// Now implements Clock.
func (f *Follower) Now() (now time.Time, within time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	steady := f.steady()
	best, known := f.samples.best(steady)
	if !known {
		return time.Time{}, 0, false
	}
	return time.Unix(0, int64(best.offset+steady)).UTC(), best.withinAt(steady), true
}

// Stamp returns the stamp for a reply to a request that was received held ago;
// nil while the time is unknown.
func (f *Follower) Stamp(held time.Duration) *Stamp {
	now, within, known := f.Now()
	if !known {
		return nil
	}
	return &Stamp{Unix: time.Duration(now.UnixNano()), Within: within, Held: held}
}
