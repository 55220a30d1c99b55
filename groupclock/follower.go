package groupclock

import (
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Steady reads a clock that is never set: the time since any fixed moment.
type Steady func() time.Duration

// NewSteady returns the steady clock of this process.
func NewSteady() Steady {
	began := uptime.Now()
	return func() time.Duration { return uptime.Since(began) }
}

// Stamp is the group's time as an answer carries it.
type Stamp struct {
	Unix   time.Duration // since the start of 1970
	Within time.Duration // by how much it may be off
	Held   time.Duration // between the question and the reading of the clock
}

// Follower keeps the group's time by a steady clock between the stamps that
// it hears. It implements Clock.
type Follower struct {
	steady Steady

	mu    sync.Mutex
	heard filter
}

// NewFollower returns a clock that does not know the time yet.
func NewFollower(steady Steady) *Follower { return &Follower{steady: steady} }

// Steady reads the steady clock, to say when a question was asked.
func (f *Follower) Steady() time.Duration { return f.steady() }

// Heard takes the stamp of an answer that came just now.
func (f *Follower) Heard(s Stamp, asked time.Duration) {
	heard := measured(s.Unix, asked, f.steady(), s.Held)
	heard.within += s.Within
	f.take(heard)
}

func (f *Follower) take(s sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard.add(s)
}

// Now implements Clock.
func (f *Follower) Now() (now time.Time, within time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	steady := f.steady()
	best, known := f.heard.best(steady)
	if !known {
		return time.Time{}, 0, false
	}
	return time.Unix(0, int64(best.offset+steady)).UTC(), best.withinAt(steady), true
}

// Stamp returns the time for an answer to a question that came a while ago;
// nil while it is not known.
func (f *Follower) Stamp(held time.Duration) *Stamp {
	now, within, known := f.Now()
	if !known {
		return nil
	}
	return &Stamp{Unix: time.Duration(now.UnixNano()), Within: within, Held: held}
}
