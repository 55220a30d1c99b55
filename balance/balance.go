// Package balance chooses the target of a request from what this node knows:
// its own work under way, the loads that answers told, and what failed.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
)

// Load is what a target told of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Config sets how targets are weighed.
type Config struct {
	DataHall      string        // of this node
	FarCost       float64       // added for a target in another data hall
	ReadCost      float64       // weight of a request whose first event is awaited
	LoadHalfLife  time.Duration // after which a told load counts half
	AvoidFirst    time.Duration // how long a target is avoided after one failure
	AvoidLongest  time.Duration
	ErrorTolerate float64 // share of failed answers above the others' that ejects
	ErrorAvoid    time.Duration
	Seed          uint64
}

// Option sets a field of Config.
type Option func(*Config)

// WithDataHall names the data hall of this node.
func WithDataHall(hall string) Option { return func(c *Config) { c.DataHall = hall } }

// WithFarCost sets what a target in another data hall is held to be worse by,
// in requests under way.
func WithFarCost(cost float64) Option { return func(c *Config) { c.FarCost = cost } }

// WithSeed makes choices repeatable.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

func defaultConfig() Config {
	return Config{
		FarCost:       0.3,
		ReadCost:      4,
		LoadHalfLife:  2 * time.Second,
		AvoidFirst:    400 * time.Millisecond,
		AvoidLongest:  3 * time.Second,
		ErrorTolerate: 0.25,
		ErrorAvoid:    2 * time.Second,
		Seed:          rand.Uint64(),
	}
}

// Tracker keeps all targets of the site.
type Tracker struct {
	cfg Config

	mu      sync.Mutex
	byID    map[string]*Target
	service map[string][]*Target
	listed  bool
	rng     *rand.Rand
}

// Target is one target with what is known of it.
type Target struct {
	discovery.Target
	tracker *Tracker

	gone    bool // it is known to have ended
	running int  // own requests under way
	reading int  // of these, whose first event is awaited
	told    Load
	toldAt  time.Time
	own     int // own requests under way when it told
	row     int // failures in a row
	avoid   time.Time
	errors  float64 // decayed share of failed answers
}

// NewTracker returns a tracker that knows no target.
func NewTracker(opts ...Option) *Tracker {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Tracker{
		cfg: cfg, byID: map[string]*Target{}, service: map[string][]*Target{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
	}
}

// Update takes a new list. It returns the IDs of targets that are no longer
// on it.
func (t *Tracker) Update(list []discovery.Target) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]*Target, len(list))
	service := map[string][]*Target{}
	for _, entry := range list {
		known := t.byID[entry.ID]
		if known == nil {
			known = &Target{tracker: t}
		}
		known.Target = entry
		byID[entry.ID] = known
		service[entry.Service] = append(service[entry.Service], known)
	}
	var removed []string
	for id := range t.byID {
		if byID[id] == nil {
			removed = append(removed, id)
		}
	}
	t.byID, t.service, t.listed = byID, service, true
	return removed
}

// Listed reports whether a list has been taken.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

// Choice says what a target is wanted for.
type Choice struct {
	Service string
	// Exclude leaves targets out, such as those already tried.
	Exclude func(*Target) bool
	// OtherHall asks for a data hall that is not this one, if one is there.
	OtherHall string
}

// Pick returns the best target, or nil. Targets that lately failed are taken
// only where no other is left.
func (t *Tracker) Pick(c Choice) *Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var best *Target
	bestScore := math.Inf(1)
	for _, target := range t.service[c.Service] {
		if target.gone || target.State == discovery.TargetDraining || c.Exclude != nil && c.Exclude(target) {
			continue
		}
		score := target.score(now) + t.rng.Float64()*0.5
		if c.OtherHall != "" && target.DataHall == c.OtherHall {
			score += sameHallCost
		}
		if score < bestScore {
			best, bestScore = target, score
		}
	}
	return best
}

const (
	avoidCost    = 1e6
	sameHallCost = 1e3
)

// score is lower for a better target. The caller holds the mutex.
func (t *Target) score(now time.Time) float64 {
	cfg := &t.tracker.cfg
	others := float64(t.told.Running+t.told.Waiting-t.own) * math.Exp2(-float64(now.Sub(t.toldAt))/float64(cfg.LoadHalfLife))
	score := float64(t.running) + math.Max(0, others) + cfg.ReadCost*float64(t.reading)
	if slots := max(1, t.Slots); slots < engineSlots {
		score *= float64(engineSlots) / float64(slots)
	}
	if t.DataHall != cfg.DataHall {
		score += cfg.FarCost
	}
	if now.Before(t.avoid) {
		score += avoidCost + t.avoid.Sub(now).Seconds()
	}
	return score
}

// engineSlots is the batch of an engine, against which smaller targets are
// weighed.
const engineSlots = 24

// Usable returns how many targets of a service take new work and do not
// lately fail.
func (t *Tracker) Usable(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, target := range t.service[service] {
		if !target.gone && target.State == discovery.TargetReady && !time.Now().Before(target.avoid) {
			n++
		}
	}
	return n
}

// Begin counts a request in; reading says that its first event is awaited.
func (t *Target) Begin(reading bool) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.running++
	if reading {
		t.reading++
	}
}

// FirstEvent notes that a request counted as reading has its first event.
func (t *Target) FirstEvent() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.reading--
}

// End counts a request out.
func (t *Target) End(reading bool) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.running--
	if reading {
		t.reading--
	}
}

// Told takes a load that an answer brought.
func (t *Target) Told(l Load) {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.told, t.toldAt, t.own = l, time.Now(), t.running
}

// errorMemory is the weight of the newest answer in the share of failures.
const errorMemory = 0.1

// Succeeded notes a whole answer.
func (t *Target) Succeeded() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.row = 0
	t.avoid = time.Time{}
	t.errors *= 1 - errorMemory
}

// Broke notes that the target did not answer, or broke off: it is avoided for
// a while that doubles with each failure in a row.
func (t *Target) Broke() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	cfg := &t.tracker.cfg
	pause := min(cfg.AvoidFirst<<min(t.row, 5), cfg.AvoidLongest)
	t.row++
	t.avoid = time.Now().Add(pause)
}

// Erred notes an answer that tells of a failure. A target that fails far more
// often than its peers is avoided for a while.
func (t *Target) Erred() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.errors += errorMemory * (1 - t.errors)
	if t.errors > t.tracker.peerErrors(t)+t.tracker.cfg.ErrorTolerate {
		t.avoid = time.Now().Add(t.tracker.cfg.ErrorAvoid)
		t.errors /= 2
	}
}

// peerErrors is the mean share of failures of a target's peers. The caller
// holds the mutex.
func (t *Tracker) peerErrors(of *Target) float64 {
	sum, n := 0.0, 0
	for _, target := range t.service[of.Service] {
		if target != of {
			sum += target.errors
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Gone notes that the target's address is another's now.
func (t *Target) Gone() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.gone = true
}

// Full notes that the target turned a request away for want of room.
func (t *Target) Full() {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	t.avoid = time.Now().Add(t.tracker.cfg.AvoidFirst / 2)
}

// Usable reports whether the target may be asked.
func (t *Target) Usable() bool {
	t.tracker.mu.Lock()
	defer t.tracker.mu.Unlock()
	return !t.gone && time.Now().After(t.avoid)
}
