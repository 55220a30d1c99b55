// Package balance chooses the target of a request from what this node knows:
// its own work under way, the loads that answers told, and what failed.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/shortname"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"github.com/walnutramp/walnutramp/topology"
)

// Load is what a target told of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes beside the usual time, on a host that the
	// target shares; 1 for as usual, 0 where it is not told.
	Slowdown float64
}

// Policy says how a target is chosen among those that may be asked.
type Policy string

// The policies. All but Predicted are there to be compared with.
const (
	Predicted     Policy = "predicted"      // least wait predicted
	LeastReported Policy = "least-reported" // least load that its newest answer told
	RoundRobin    Policy = "round-robin"
	Random        Policy = "random"
)

// Policies lists every policy.
func Policies() []Policy { return []Policy{Predicted, LeastReported, RoundRobin, Random} }

// Config sets how targets are weighed.
type Config struct {
	Policy       Policy
	DataHall     string        // of this node
	Topology     topology.Map  // which data halls are in which region
	FarCost      float64       // of an engine in another data hall, in milliseconds of wait
	FarSlotCost  float64       // the same of a plain service's target
	LoadHalfLife time.Duration // after which a told load counts half
	// SlowdownHalfLife is after which a told slowdown counts half: other work on the
	// host comes and goes.
	SlowdownHalfLife time.Duration
	AvoidFirst       time.Duration // how long a target is avoided after one failure
	AvoidLongest     time.Duration
	ErrorTolerate    float64 // share of failed answers above the others' that ejects
	ErrorAvoid       time.Duration
	Seed             uint64
}

// Option sets a field of Config.
type Option func(*Config)

// WithPolicy sets how a target is chosen.
func WithPolicy(p Policy) Option { return func(c *Config) { c.Policy = p } }

// WithDataHall names the data hall of this node.
func WithDataHall(hall string) Option { return func(c *Config) { c.DataHall = hall } }

// WithTopology tells which data halls are in which region.
func WithTopology(m topology.Map) Option { return func(c *Config) { c.Topology = m } }

// WithFarCost sets what a target in another data hall is held to be worse by,
// in milliseconds of wait: an engine, and a plain service's target.
func WithFarCost(engine, slot float64) Option {
	return func(c *Config) { c.FarCost, c.FarSlotCost = engine, slot }
}

// WithSlowdownHalfLife sets after which a target's word on how long work takes
// there counts half.
func WithSlowdownHalfLife(d time.Duration) Option {
	return func(c *Config) { c.SlowdownHalfLife = d }
}

// WithSeed makes choices repeatable.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

func defaultConfig() Config {
	return Config{
		Policy:           Predicted,
		FarCost:          50,
		FarSlotCost:      20,
		LoadHalfLife:     2 * time.Second,
		SlowdownHalfLife: time.Second,
		AvoidFirst:       400 * time.Millisecond,
		AvoidLongest:     3 * time.Second,
		ErrorTolerate:    0.25,
		ErrorAvoid:       2 * time.Second,
		Seed:             rand.Uint64(),
	}
}

// Tracker keeps all targets of the site.
type Tracker struct {
	cfg Config

	mu           sync.Mutex
	byID         map[string]*Target // newest life of each
	byLife       map[string]*Target
	byShort      map[uint32]*Target   // by short name of the life
	pools        map[string]*pool     // by service
	absent       map[string]*Target   // that the list no longer holds, by ID
	absentAt     time.Time            // when it was last looked for those that are long absent
	holders      map[string]*Target   // by address; of two listed there the later one
	failed       map[*Target]struct{} // that failed this node lately
	reading      uint64               // counts lists
	lastOrder    uint64               // of the target listed last
	listed       bool
	others       map[string]*sharedRuns // by node
	named        map[string]namedTrace  // traces that were told by themselves, by key
	running      map[*Run]struct{}      // own runs under way that ask anything of their targets
	broken       []*Run                 // own runs that broke off, oldest first
	memory       map[string]memory      // by key, from before this node's start
	engines      map[string]Engine      // by service, as the configuration says
	paces        map[string]*pace       // by service
	read         readPlaces             // of prompts
	numbers      uint64                 // of own runs
	own          string                 // this node
	nodes        []string               // that choose among the targets, sorted
	nodesVersion uint64                 // counts changes of the nodes
	silentAt     time.Time              // before which no other node's word runs out
	farLag       time.Duration          // by which word of nodes in other halls is older
	newsLag      time.Duration          // until most nodes know what one began
	// regionLag is by which word of nodes in other regions is older than that of
	// nodes in other data halls of the own one.
	regionLag time.Duration
	trips     topology.RoundTrips // to targets' data halls
	changed   func()              // own runs changed
	silence   func()              // a target fell silent
	turn      uint64              // of RoundRobin
	rng       *rand.Rand

	looks      uint64      // counts choices
	candidates []candidate // of the newest choice
	unread     []Shared    // of the target looked at last

	remembered time.Time     // when memory was taken
	memoryAge  time.Duration // how old it was then
}

// Target is one target with what is known of it.
type Target struct {
	discovery.Target
	tracker   *Tracker
	listed    uint64 // number of the list that held it last
	order     uint64 // among all that were ever listed
	pool      *pool  // nil while it is not listed
	hall      *hallPool
	level     int    // of the data hall's targets alike, those that it is among
	place     int    // among these
	looked    uint64 // number of the choice that looked at it last
	taken     occupancy
	inBroken  bool      // it is among those of its pool that broke off
	life      string    // names this start of it
	indexedAs string    // the life by which it is found
	since     time.Time // when it was first listed

	turn      uint64    // of RoundRobin, when it was chosen last
	gone      bool      // it is known to have ended
	refused   time.Time // when nobody answered at its address
	broke     time.Time // when it broke off, and has not been heard of since
	rumour    time.Time // when another node said that it broke off
	silent    time.Time // when it fell silent to this node or, as told, to another
	mute      time.Time // when it fell silent to this node
	dark      time.Time // when this node found that it answers nothing at all
	doubted   time.Time // when its data hall was in doubt
	heard     time.Time // when it last answered this node
	runs      map[*Run]struct{}
	others    map[string]otherRuns // by node
	gain      float64              // because this node owns it
	gainFor   uint64               // version of the nodes that the gain is of
	keptUntil time.Time            // until when a connection is kept; zero for none
	speed     estimate             // of reading, beside its peers
	speedAt   time.Time            // when that was learned
	told      Load
	toldAt    time.Time
	own       int // own requests under way when it told
	row       int // failures in a row
	avoid     time.Time
	errors    float64 // decayed share of failed answers
	rest      rest    // that it asked this node for

	absentAt time.Time // when the list last did not hold it any more
}

// NewTracker returns a tracker that knows no target.
func NewTracker(opts ...Option) *Tracker {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Tracker{
		cfg: cfg, byID: map[string]*Target{}, byLife: map[string]*Target{}, byShort: map[uint32]*Target{}, pools: map[string]*pool{},
		absent: map[string]*Target{}, holders: map[string]*Target{}, failed: map[*Target]struct{}{}, others: map[string]*sharedRuns{},
		named: map[string]namedTrace{}, paces: map[string]*pace{}, running: map[*Run]struct{}{}, nodesVersion: 1,
		changed: func() {}, silence: func() {}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
	}
}

// Update takes a new list. It returns the lives of targets that are over or no
// longer on it. Of two that are listed under one address, the one listed later has
// it: the other has ended, though the list lags behind. What the list holds as before
// costs a comparison.
func (t *Tracker) Update(list []discovery.Target) (removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	t.reading++
	listed := 0
	for i := range list {
		entry := &list[i]
		known := t.byID[entry.ID]
		if known == nil || !known.is(entry) {
			known = t.put(entry, now, &removed)
		}
		if known.listed != t.reading {
			known.listed = t.reading
			listed++
		}
	}
	if listed < len(t.byID) {
		for _, target := range t.byID {
			if target.listed != t.reading {
				removed = append(removed, target.life)
				t.drop(target, now)
			}
		}
	}
	t.forgetAbsent(now)
	t.listed = true
	return removed
}

// Change takes a change of the list that was taken last. It returns the lives of targets
// that are over or no longer on the list.
func (t *Tracker) Change(c discovery.Change) (removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for i := range c.Put {
		if known := t.byID[c.Put[i].ID]; known == nil || !known.is(&c.Put[i]) {
			t.put(&c.Put[i], now, &removed)
		}
	}
	for _, id := range c.Removed {
		if target := t.byID[id]; target != nil {
			removed = append(removed, target.life)
			t.drop(target, now)
		}
	}
	t.forgetAbsent(now)
	return removed
}

// put takes an entry that is new or says something else than before, and returns its
// target. The caller holds the mutex.
func (t *Tracker) put(entry *discovery.Target, now time.Time, removed *[]string) *Target {
	before := t.byID[entry.ID]
	target := t.lifeOf(*entry, now)
	if before == target && target.life == target.indexedAs && target.pool != nil {
		t.hold(target)
		return target
	}
	if before != nil {
		*removed = append(*removed, before.indexedAs)
		t.unlist(before)
	}
	t.list(target)
	return target
}

// list has choices find a target. The caller holds the mutex.
func (t *Tracker) list(target *Target) {
	target.indexedAs = target.life
	t.lastOrder++
	target.order = t.lastOrder
	t.byID[target.ID], t.byLife[target.life] = target, target
	t.byShort[shortname.Of(target.life)] = target
	delete(t.absent, target.ID)
	t.poolOf(target.Service).add(target)
	t.hold(target)
}

// hold notes which target has an address. The caller holds the mutex.
func (t *Tracker) hold(target *Target) {
	if other := t.holders[target.Address]; other != target {
		t.holders[target.Address] = later(other, target)
	}
}

// unlist has choices find a target no more. The caller holds the mutex.
func (t *Tracker) unlist(target *Target) {
	target.pool.remove(target)
	delete(t.byID, target.ID)
	delete(t.byLife, target.indexedAs)
	if short := shortname.Of(target.indexedAs); t.byShort[short] == target {
		delete(t.byShort, short)
	}
	if t.holders[target.Address] == target {
		delete(t.holders, target.Address)
	}
}

// drop takes a target off that a new list does not hold. The caller holds the mutex.
func (t *Tracker) drop(target *Target, now time.Time) {
	t.unlist(target)
	target.absentAt = now
	t.absent[target.ID] = target
}

// OpenIDs returns the targets of a service that may be asked and are wanted.
func (t *Tracker) OpenIDs(service string, wanted func(*Target) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ids []string
	for target := range t.poolOf(service).all() {
		if target.open(now) && wanted(target) {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// later marks the one of two targets at an address gone that was listed
// earlier, and returns the other.
func later(a, b *Target) *Target {
	if a == nil {
		return b
	}
	if a.since.After(b.since) {
		a, b = b, a
	}
	if b.since.After(a.since) {
		a.setGone()
	}
	return b
}

// Listed reports whether a list has been taken.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}
