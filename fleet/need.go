package fleet

import "math"

// Engine is the configured capacity of one target; 0 means unknown.
type Engine struct {
	Slots  int  // concurrent runs
	Memory int  // KV memory in tokens, for runs and backup copies
	Copies bool // each run has a backup copy at another target
}

// Known reports whether any capacity is configured.
func (e Engine) Known() bool { return e.Slots > 0 || e.Memory > 0 }

// Utilization limits of a target.
const (
	// comfortReading is the prefill utilization up to which prompts seldom
	// queue.
	comfortReading = 0.5
	// comfortMemory is the utilization of memory or slots up to which the
	// balancer treats a target like an empty one.
	comfortMemory = 0.8
	// maxReading (of prefill) and maxMemory (of memory or slots) are the
	// utilizations above which requests are refused or queue without bound.
	maxReading = 0.9
	maxMemory  = 0.95
)

// need is the number of targets that a load requires.
type need struct {
	minimum float64 // below it, requests are refused or queue without bound
	comfort float64 // above it, more targets do not improve service
}

// needOf returns how many targets a load requires. Backup copies count only towards comfort.
func (e Engine) needOf(l Load) need {
	held := l.Held
	if e.Copies {
		held *= 2
	}
	return need{
		minimum: max(l.Reading/maxReading, targetsFor(l.Held, e.Memory, maxMemory), targetsFor(l.Running, e.Slots, maxMemory)),
		comfort: max(l.Reading/comfortReading, targetsFor(held, e.Memory, comfortMemory), targetsFor(l.Running, e.Slots, comfortMemory)),
	}
}

// targetsFor returns how many targets, possibly a fraction, hold an amount if each is
// filled up to a utilization. The size of a target and the amount are in slots or
// tokens; the result is 0 if the size is unknown.
func targetsFor(use float64, size int, utilization float64) float64 {
	if size <= 0 {
		return 0
	}
	return use / (float64(size) * utilization)
}

// Least returns the fewest targets that can serve a load.
func (e Engine) Least(l Load) int { return int(math.Ceil(e.needOf(l).minimum)) }

// Risks are the fractions of time in which the fleet has not yet adapted to a
// fault or burst.
type Risks struct {
	HallLost float64 // a given data hall has lost its targets
	Reclaim  float64 // the spot targets of a given data hall are reclaimed
	Burst    float64 // the request rate is burstFactor times the normal one
}

// Default risks of a site without other information.
const (
	// assumedLost is the default of Risks.HallLost.
	assumedLost = 0.1
	// assumedReclaimed is the default of Risks.Reclaim.
	assumedReclaimed = 0.1
	// assumedBurst is the default of Risks.Burst.
	assumedBurst = 0.1
)

// AssumedRisks returns the default risks of a site.
func AssumedRisks() Risks {
	return Risks{HallLost: assumedLost, Reclaim: assumedReclaimed, Burst: assumedBurst}
}

// minInitialPart is the fraction of the initial targets that must stay while
// the load is unknown.
const minInitialPart = 0.75

// Least returns the fewest targets that must serve at any time.
func (s *PlanInput) Least() int {
	if s.Load != nil {
		return s.Engine.Least(*s.Load)
	}
	base := 0
	for _, n := range s.Base {
		base += n
	}
	return int(math.Ceil(minInitialPart * float64(base)))
}
