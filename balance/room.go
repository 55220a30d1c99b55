package balance

import "time"

// Engine is what a configuration says of a service's engines.
type Engine struct {
	Memory int // tokens that runs and copies may hold; 0 if that is not known
	Slots  int // runs at once; 0 if that is not known
}

// Shares of an engine's memory.
const (
	// fullShare is how much new runs may fill: what is left bears that runs
	// of other nodes are known late, and that answers grow longer than was
	// predicted. An engine that runs out puts runs back and reads them anew.
	fullShare = 0.95
	// rankReserve is kept free for each rank of more urgent requests.
	rankReserve = 0.05
	// runGrowth is how far the runs of a service may grow while its copies
	// leave them room: a data hall may be lost, or more requests come.
	runGrowth = 1.5
	// comfortShare is how much may be filled before memory speaks against an
	// engine.
	comfortShare = 0.8
	// assumedMemory is held to be there where the configuration tells none,
	// in tokens: that of a large model on one server.
	assumedMemory = 80000
)

// roomForRun reports whether an engine has room for one more run of the usual
// size: large requests are not to be refused more often than small ones, which
// would always find a gap. What is larger may take what is kept free, but not
// more than there is. The caller holds the mutex.
func (t *Target) roomForRun(c *Choice) bool {
	memory := float64(t.tracker.memoryOf(t.Service))
	taken := float64(t.taken.held + t.taken.copies)
	share := fullShare - rankReserve*float64(c.Rank)
	return taken+c.usualHold <= share*memory && taken+float64(c.Work.Hold) <= memory
}

// usualHold is the mean of what the runs of a service take up, in tokens; where
// there are none, what the choice itself does.
func (p *pool) usualHold(c *Choice) float64 {
	taken := p.total()
	if taken.runs == 0 {
		return float64(c.Work.Hold)
	}
	return float64(taken.held) / float64(taken.runs)
}

// SetEngines takes what a configuration says of the engines, by service. What
// was learned of engines that are described anew is forgotten.
func (t *Tracker) SetEngines(engines map[string]Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, engine := range engines {
		if before, known := t.engines[service]; known && before != engine {
			delete(t.paces, service)
		}
	}
	t.engines = engines
}

// memoryOf returns the memory of a service's engines, in tokens. The caller
// holds the mutex.
func (t *Tracker) memoryOf(service string) int {
	if e := t.engines[service]; e.Memory > 0 {
		return e.Memory
	}
	return assumedMemory
}

// roomForCopies reports whether one more copy leaves the runs of its service
// the room that they may come to need. The caller holds the mutex.
func (t *Tracker) roomForCopies(c *Choice, p *pool) bool {
	memory := 0
	for _, h := range p.order {
		memory += h.live * t.memoryOf(c.Service)
	}
	taken := p.total()
	return float64(taken.copies+c.Work.Hold)+runGrowth*float64(taken.held) <= fullShare*float64(memory)
}

// fits reports whether a choice finds room at a target that it takes up, and
// would begin there in time, after what is still to be read there. The caller holds
// the mutex.
func (t *Target) fits(c *Choice, backlog float64, now time.Time) bool {
	memory := float64(t.tracker.memoryOf(t.Service))
	taken := float64(t.taken.held + t.taken.copies + c.Work.Hold)
	if c.Copy {
		return taken <= fullShare*memory
	}
	if !c.Admission {
		return true
	}
	if slots := t.tracker.engines[t.Service].Slots; slots > 0 && t.taken.runs >= slots {
		return false
	}
	if t.taken.runs > 0 && !t.roomForRun(c) {
		return false // an idle engine takes what is larger, too
	}
	begins := backlog + t.readMS(c.Work.Read, now)
	return c.Within == 0 || begins <= float64(c.Within.Milliseconds())
}
