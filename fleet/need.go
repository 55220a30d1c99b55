package fleet

import (
	"math"
	"time"
)

// Engine is what one target of a service can do, as the configuration says; 0
// for what it does not say.
type Engine struct {
	Slots  int  // runs at once
	Memory int  // tokens that runs and copies may hold
	Copies bool // each run is kept at another target as well
}

// Known reports whether the configuration says what a target can do.
func (e Engine) Known() bool { return e.Slots > 0 || e.Memory > 0 }

// Shares of a target that may be used before callers notice.
const (
	// comfortReading is how much of the time a target reads prompts: entries
	// choose by news that is some 100 ms old, so prompts meet. At a half, one
	// that meets another still begins within twice its own reading.
	comfortReading = 0.5
	// comfortMemory is the part of its memory, or of its places, up to which
	// entries hold a target to be as good as an empty one (see balance).
	comfortMemory = 0.8
	// mostReading and mostMemory are beyond which requests are refused.
	mostReading = 0.9
	mostMemory  = 0.95
)

// need is how many targets a load asks for.
type need struct {
	most    float64 // with fewer, requests are refused or wait ever longer
	comfort float64 // with more, nobody is served better
}

// needOf works out what a load needs.
func (e Engine) needOf(l Load) need {
	held := l.Held
	if e.Copies {
		held *= 2
	}
	return need{
		most:    max(l.Reading/mostReading, part(l.Held, e.Memory, mostMemory), part(l.Running, e.Slots, mostMemory)),
		comfort: max(l.Reading/comfortReading, part(held, e.Memory, comfortMemory), part(l.Running, e.Slots, comfortMemory)),
	}
}

// part returns how many targets a use takes, of which each may be filled to a
// share; 0 where their size is not known.
func part(use float64, size int, share float64) float64 {
	if size <= 0 {
		return 0
	}
	return use / (float64(size) * share)
}

// Least returns the fewest targets that a load can do with.
func (e Engine) Least(l Load) int { return int(math.Ceil(e.needOf(l).most)) }

// Risks are the parts of the time in which something is missing or more than
// usual comes, until the fleet has been made to fit.
type Risks struct {
	HallLost float64 // the targets of a given data hall
	Reclaim  float64 // the spot targets of a given data hall
	Burst    float64 // half as many requests again and more
}

// Assumed intervals, of a site of which nothing else is known.
const (
	// hallLostEvery is between two losses of a data hall's targets. Halls are
	// lost more rarely, but a fleet that bears one loss bears the wrong
	// guesses, too, of load, of speed and of what other targets just failed.
	hallLostEvery = 4 * time.Minute
	// reclaimEvery is between two reclaims of a hall's spot targets: who sells
	// them promises nothing.
	reclaimEvery = 4 * time.Minute
	// burstEvery is between two bursts that nothing announces.
	burstEvery = 1 * time.Minute
	// noticeTime is until a change is seen: the platform's list lags by about a
	// second, and is read once a second.
	noticeTime = 2 * time.Second
)

// AssumedRisks returns the risks of a site whose targets take a time to boot.
func AssumedRisks(boot time.Duration) Risks {
	short := boot + noticeTime
	share := func(every time.Duration) float64 { return min(1, short.Seconds()/every.Seconds()) }
	return Risks{HallLost: share(hallLostEvery), Reclaim: share(reclaimEvery), Burst: share(burstEvery)}
}

// idleShare is the part of the targets that there were which has to stay while
// the load is not known.
const idleShare = 0.75

// Least returns the fewest targets that are to be there at any time.
func (s *Situation) Least() int {
	if s.Load != nil {
		return s.Engine.Least(*s.Load)
	}
	base := 0
	for _, n := range s.Base {
		base += n
	}
	return int(math.Ceil(idleShare * float64(base)))
}
