package balance

import "time"

// Engine is the configured capacity of a service's engines.
type Engine struct {
	Memory int // tokens of KV-cache memory for runs and copies; 0 if unknown
	Slots  int // concurrent runs; 0 if unknown
}

// Shares of an engine's memory.
const (
	// maxMemoryShare is the share that new runs may fill. The rest absorbs peers' runs that
	// are reported late and answers longer than predicted: an engine that runs out of
	// memory preempts runs and prefills them again.
	maxMemoryShare = 0.95
	// reservePerRank is reserved per rank of more urgent requests.
	reservePerRank = 0.05
	// runGrowthFactor is the factor by which the runs of a service may grow while its
	// copies still leave them memory, as after the loss of a data hall or with rising
	// demand.
	runGrowthFactor = 1.5
	// softMemoryShare is the share above which memory use adds to an engine's cost.
	softMemoryShare = 0.8
	// defaultMemoryTokens is used if none is configured, in tokens: that of a large
	// model on one server.
	defaultMemoryTokens = 80000
)

// hasMemoryForRun reports whether an engine has memory for one more run of mean size. Using
// the mean keeps small requests from being admitted more often than large ones; a
// larger run may use the reserve, but no more than there is. The caller holds the
// mutex.
func (t *Target) hasMemoryForRun(c *Choice) bool {
	memory := float64(t.tracker.memoryOf(t.Service))
	used := float64(t.occupancy.runTokens + t.occupancy.copyTokens)
	share := maxMemoryShare - reservePerRank*float64(c.Rank)
	return used+c.meanRunTokens <= share*memory && used+float64(c.Work.MemoryTokens) <= memory
}

// meanRunTokens returns the mean memory of a service's runs in tokens, or that of c if
// there are none.
func (p *pool) meanRunTokens(c *Choice) float64 {
	total := p.total()
	if total.runs == 0 {
		return float64(c.Work.MemoryTokens)
	}
	return float64(total.runTokens) / float64(total.runs)
}

// SetEngines sets the configured engines by service. Estimates for engines whose
// configuration changed are reset.
func (t *Tracker) SetEngines(engines map[string]Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, engine := range engines {
		if before, known := t.engines[service]; known && before != engine {
			delete(t.speeds, service)
		}
	}
	t.engines = engines
}

// memoryOf returns the memory of a service's engines, in tokens. The caller holds the
// mutex.
func (t *Tracker) memoryOf(service string) int {
	if e := t.engines[service]; e.Memory > 0 {
		return e.Memory
	}
	return defaultMemoryTokens
}

// hasMemoryForCopy reports whether one more copy leaves enough memory for the service's
// runs to grow. The caller holds the mutex.
func (t *Tracker) hasMemoryForCopy(c *Choice, p *pool) bool {
	memory := 0
	for _, h := range p.ordered {
		memory += h.accepting * t.memoryOf(c.Service)
	}
	total := p.total()
	return float64(total.copyTokens+c.Work.MemoryTokens)+runGrowthFactor*float64(total.runTokens) <= maxMemoryShare*float64(memory)
}

// fits reports whether the target has capacity for c and would begin it in time after
// backlog, in milliseconds. The caller holds the mutex.
func (t *Target) fits(c *Choice, backlog float64, now time.Time) bool {
	memory := float64(t.tracker.memoryOf(t.Service))
	used := float64(t.occupancy.runTokens + t.occupancy.copyTokens + c.Work.MemoryTokens)
	if c.Copy {
		return used <= maxMemoryShare*memory
	}
	if !c.Admission {
		return true
	}
	if slots := t.tracker.engines[t.Service].Slots; slots > 0 && t.occupancy.runs >= slots {
		return false
	}
	if t.occupancy.runs > 0 && !t.hasMemoryForRun(c) {
		return false // an idle engine accepts larger runs, too
	}
	beginsMS := backlog + t.prefillMS(c.Work.PrefillTokens, now)
	return c.MaxWait == 0 || beginsMS <= float64(c.MaxWait.Milliseconds())
}
