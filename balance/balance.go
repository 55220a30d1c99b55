// Package balance selects the target of a request from this node's view: its own active
// runs, the runs that peers report, the loads that targets report, and recent failures.
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

// Load is the load that a target reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the ratio of the current to the usual processing time, on a host that
	// the target shares; 1 is as usual, 0 unreported.
	Slowdown float64
}

// Policy names a target selection algorithm.
type Policy string

// Policies. All but Predicted are baselines for comparison.
const (
	Predicted     Policy = "predicted"      // lowest predicted wait
	LeastReported Policy = "least-reported" // lowest load in the latest report
	RoundRobin    Policy = "round-robin"
	Random        Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Predicted, LeastReported, RoundRobin, Random} }

// Config configures a Tracker.
type Config struct {
	Policy             Policy
	DataHall           string        // of this node
	Topology           topology.Map  // data halls by region
	RemoteHallCost     float64       // of an engine in another data hall, in milliseconds of wait
	RemoteHallSlotCost float64       // of a plain service's target in another data hall, in milliseconds of wait
	LoadHalfLife       time.Duration // of a reported load
	// SlowdownHalfLife is the half-life of a reported slowdown: competing work on the
	// host comes and goes.
	SlowdownHalfLife time.Duration
	MinBackoff       time.Duration // backoff after the first failure
	MaxBackoff       time.Duration
	ErrorMargin      float64 // excess of a target's error rate over its peers' at which it is ejected
	ErrorBackoff     time.Duration
	Seed             uint64
}

// Option sets a field of Config.
type Option func(*Config)

// WithPolicy sets the selection policy.
func WithPolicy(p Policy) Option { return func(c *Config) { c.Policy = p } }

// WithDataHall sets the data hall of this node.
func WithDataHall(hall string) Option { return func(c *Config) { c.DataHall = hall } }

// WithTopology sets which data halls are in which region.
func WithTopology(m topology.Map) Option { return func(c *Config) { c.Topology = m } }

// WithRemoteHallCost sets the cost of a target in another data hall, in milliseconds of
// wait, for an engine and for a plain service's target.
func WithRemoteHallCost(engine, plainService float64) Option {
	return func(c *Config) { c.RemoteHallCost, c.RemoteHallSlotCost = engine, plainService }
}

// WithSlowdownHalfLife sets the half-life of a reported slowdown.
func WithSlowdownHalfLife(d time.Duration) Option {
	return func(c *Config) { c.SlowdownHalfLife = d }
}

// WithSeed makes selection reproducible.
func WithSeed(seed uint64) Option { return func(c *Config) { c.Seed = seed } }

func defaultConfig() Config {
	return Config{
		Policy:             Predicted,
		RemoteHallCost:     50,
		RemoteHallSlotCost: 20,
		LoadHalfLife:       2 * time.Second,
		SlowdownHalfLife:   time.Second,
		MinBackoff:         400 * time.Millisecond,
		MaxBackoff:         3 * time.Second,
		ErrorMargin:        0.25,
		ErrorBackoff:       2 * time.Second,
		Seed:               rand.Uint64(),
	}
}

// Tracker tracks all targets of the site and selects among them.
type Tracker struct {
	cfg Config

	mu                sync.Mutex
	byID              map[string]*Target // latest incarnation of each
	byIncarnation     map[string]*Target
	byShortName       map[uint32]*Target // by short name of the incarnation
	pools             map[string]*pool   // by service
	delisted          map[string]*Target // not in the latest list, by ID
	delistedSweptAt   time.Time
	byAddress         map[string]*Target      // by address; of two targets at one address, the later
	recentlyFailed    map[*Target]struct{}    // that failed for this node or have ended
	contacts          uint64                  // signs that any target is reached
	listGeneration    uint64                  // of the latest list
	lastListOrder     uint64                  // of the last target indexed
	firstListAt       time.Time               // zero before the first list
	peers             map[string]*peerReport  // by node
	peerTraces        map[uint64][]peerTrace  // received individually from peers, by content of their stream
	activeRuns        map[*Run]struct{}       // of this node, without those of empty Work
	failedRuns        []*Run                  // of this node, oldest first
	restored          []restoredTrace         // from before a restart
	restoredByContent traceIndex              // the same
	engines           map[string]Engine       // by service, from the configuration
	speeds            map[string]*engineSpeed // by service
	prompts           promptIndex             // which target has prefilled which prompt
	lastRunNumber     uint64                  // of this node
	self              string                  // name of this node
	nodes             []string                // that select among the targets, sorted
	nodesVersion      uint64                  // incremented when nodes changes
	nextPeerExpiry    time.Time               // no peer's report expires earlier
	crossHallLag      time.Duration           // additional delay of reports from other data halls
	propagationDelay  time.Duration           // until most nodes have learned of a new run
	// crossRegionLag is the additional delay of reports from other regions, on top of
	// crossHallLag.
	crossRegionLag time.Duration
	roundTrips     topology.RoundTrips // to the targets' data halls
	onChange       func()              // called when this node's runs change
	onUnresponsive func()              // called when a target becomes unresponsive
	roundRobinSeq  uint64              // of the RoundRobin policy
	rng            *rand.Rand

	scans      uint64      // number of selections
	candidates []candidate // of the latest selection; reused
	pendingBuf []RunReport // buffer of Target.pendingPrefills

	restoredAt  time.Time     // when restored was set
	restoredAge time.Duration // age of restored at that time
}

// Target is a target and the state that this node tracks for it.
type Target struct {
	discovery.Target
	tracker            *Tracker
	listGeneration     uint64 // of the latest list that contained it
	listOrder          uint64 // order of listing
	pool               *pool  // nil while not listed
	hall               *hallPool
	bucket             int    // index in hall.buckets
	bucketIndex        int    // index within the bucket
	lastScan           uint64 // latest selection that considered it
	occupancy          occupancy
	inRecentFailures   bool   // in pool.recentFailures
	incarnation        string // identifies its process start
	indexedIncarnation string // incarnation under which it is indexed
	firstListedAt      time.Time

	roundRobinSeq       uint64 // the Tracker's when last selected
	ended               bool   // known to have ended
	contact             contact
	failure             failureEvidence // of its latest failure
	refusedAt           time.Time       // when it refused this node a connection
	peerRefusedAt       time.Time       // when a peer reported that it had ended or refused a connection
	failedAt            time.Time       // when it failed for this node; zero after a complete response
	peerFailedAt        time.Time       // when a peer reported that it failed; zero after a complete response
	unresponsiveAt      time.Time       // when this node or a peer found it unresponsive
	ownUnresponsiveAt   time.Time       // when this node found it unresponsive
	unreachableAt       time.Time       // when this node found that it answers nothing at all
	hallSuspectAt       time.Time       // when it was last a candidate while its data hall was suspect
	answeredAt          time.Time       // when it last answered this node
	runs                map[*Run]struct{}
	peerRuns            map[string]peerRuns // by node
	ownerBonus          float64             // score bonus as this node is its owner
	ownerBonusVersion   uint64              // nodesVersion for which ownerBonus was computed
	connectedUntil      time.Time           // expiry of an idle connection to it; zero for none
	relativeEstimate    estimate            // prefill speed relative to its peers
	relativeEstimateAt  time.Time           // when relativeEstimate was updated
	load                Load
	loadAt              time.Time
	activeAtLoad        int // this node's active requests when load was reported
	consecutiveFailures int
	backoffUntil        time.Time
	errorRate           float64   // exponentially weighted
	cooldown            cooldown  // requested by the target from this node
	limited             bool      // publishes a rate limit
	limitOwned          bool      // this node has a part of the rate
	heardAt             time.Time // when a run of this node at it last brought something
	places              int       // held by Place
	movedAt             time.Time // when a run that has run elsewhere before last began

	delistedAt time.Time
}

// NewTracker returns a tracker without targets.
func NewTracker(opts ...Option) *Tracker {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Tracker{
		cfg: cfg, byID: map[string]*Target{}, byIncarnation: map[string]*Target{}, byShortName: map[uint32]*Target{}, pools: map[string]*pool{},
		delisted: map[string]*Target{}, byAddress: map[string]*Target{}, recentlyFailed: map[*Target]struct{}{}, peers: map[string]*peerReport{},
		peerTraces: map[uint64][]peerTrace{}, speeds: map[string]*engineSpeed{}, activeRuns: map[*Run]struct{}{}, nodesVersion: 1,
		onChange: func() {}, onUnresponsive: func() {}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
	}
}

// Update applies a complete target list and returns the incarnations that have ended or
// are no longer listed. Of two targets listed at one address, the one that was listed
// earlier has ended and is marked so: the list lags behind. An unchanged entry costs one
// comparison.
func (t *Tracker) Update(list []discovery.Target) (removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	t.listGeneration++
	listed := 0
	for i := range list {
		entry := &list[i]
		known := t.byID[entry.ID]
		if known == nil || !known.matches(entry) {
			known = t.upsert(entry, now, &removed)
		}
		if known.listGeneration != t.listGeneration {
			known.listGeneration = t.listGeneration
			listed++
		}
	}
	if listed < len(t.byID) {
		for _, target := range t.byID {
			if target.listGeneration != t.listGeneration {
				removed = append(removed, target.incarnation)
				t.delist(target, now)
			}
		}
	}
	t.expireDelisted(now)
	if t.firstListAt.IsZero() {
		t.firstListAt = now
	}
	return removed
}

// ApplyChange applies a delta to the latest list and returns the incarnations that have
// ended or are no longer listed.
func (t *Tracker) ApplyChange(c discovery.Change) (removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for i := range c.Put {
		if known := t.byID[c.Put[i].ID]; known == nil || !known.matches(&c.Put[i]) {
			t.upsert(&c.Put[i], now, &removed)
		}
	}
	for _, id := range c.Removed {
		if target := t.byID[id]; target != nil {
			removed = append(removed, target.incarnation)
			t.delist(target, now)
		}
	}
	t.expireDelisted(now)
	return removed
}

// upsert inserts or updates the target of a new or changed entry. The caller holds the
// mutex.
func (t *Tracker) upsert(entry *discovery.Target, now time.Time, removed *[]string) *Target {
	before := t.byID[entry.ID]
	target := t.resolve(*entry, now)
	if before == target && target.incarnation == target.indexedIncarnation && target.pool != nil {
		t.indexAddress(target)
		return target
	}
	if before != nil {
		*removed = append(*removed, before.indexedIncarnation)
		t.unindex(before)
	}
	t.index(target)
	return target
}

// index adds a target to the indexes. The caller holds the mutex.
func (t *Tracker) index(target *Target) {
	target.indexedIncarnation = target.incarnation
	t.lastListOrder++
	target.listOrder = t.lastListOrder
	t.byID[target.ID], t.byIncarnation[target.incarnation] = target, target
	t.byShortName[shortname.Of(target.incarnation)] = target
	delete(t.delisted, target.ID)
	t.poolOf(target.Service).add(target)
	t.indexAddress(target)
}

// indexAddress records the target at an address. The caller holds the mutex.
func (t *Tracker) indexAddress(target *Target) {
	if other := t.byAddress[target.Address]; other != target {
		t.byAddress[target.Address] = laterListed(other, target)
	}
}

// unindex removes a target from the indexes. The caller holds the mutex.
func (t *Tracker) unindex(target *Target) {
	target.pool.remove(target)
	delete(t.byID, target.ID)
	delete(t.byIncarnation, target.indexedIncarnation)
	if short := shortname.Of(target.indexedIncarnation); t.byShortName[short] == target {
		delete(t.byShortName, short)
	}
	if t.byAddress[target.Address] == target {
		delete(t.byAddress, target.Address)
	}
}

// delist delists a target that a new list does not contain. The caller holds the mutex.
func (t *Tracker) delist(target *Target, now time.Time) {
	t.unindex(target)
	target.delistedAt = now
	t.delisted[target.ID] = target
}

// AvailableIDs returns the IDs of a service's available targets that satisfy wanted.
func (t *Tracker) AvailableIDs(service string, wanted func(*Target) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	var ids []string
	for target := range t.poolOf(service).all() {
		if target.available(now) && wanted(target) {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// laterListed returns the later listed of two targets at one address and marks the other as
// ended.
func laterListed(a, b *Target) *Target {
	if a == nil {
		return b
	}
	if a.firstListedAt.After(b.firstListedAt) {
		a, b = b, a
	}
	if b.firstListedAt.After(a.firstListedAt) {
		a.markEnded()
	}
	return b
}

// Listed reports whether a list has been applied.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.firstListAt.IsZero()
}
