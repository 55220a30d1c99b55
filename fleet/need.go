package fleet

import "math"

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
	Burst    float64 // burstSize times the requests
}

// Assumed parts of the time, of a site of which nothing else is known.
const (
	// assumedLost is rather the part of the time in which a hall's targets have
	// just been lost and their work is being made up for elsewhere.
	assumedLost = 0.1
	// assumedReclaimed is the part in which a hall has no spot targets: who
	// sells them promises nothing, and where they were taken away there are none
	// for a while.
	assumedReclaimed = 0.1
	// assumedBurst is the part in which half as many requests again and more
	// come, without notice.
	assumedBurst = 0.1
)

// AssumedRisks returns the risks of a site of which nothing is known.
func AssumedRisks() Risks {
	return Risks{HallLost: assumedLost, Reclaim: assumedReclaimed, Burst: assumedBurst}
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
