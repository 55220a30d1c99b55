package consensus

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

type role int

const (
	follower role = iota
	candidate
	leader
)

// Member is one node's part in the group.
type Member struct {
	cfg      Config
	node     walnutramp.NodeName
	identity Identity
	peers    Peers
	machine  StateMachine

	mu         sync.Mutex
	store      *storage
	role       role
	leaderIs   walnutramp.NodeName
	heard      time.Time // from a leader, or a vote given
	voted      time.Time // for another, in this life of the process
	commit     uint64
	applied    uint64
	changed    chan struct{} // closed at every change of role, commit or applied
	follow     map[walnutramp.NodeName]*progress
	waiting    map[uint64]*proposal // by index
	round      uint64               // of confirmations that were asked for
	endorsed   walnutramp.NodeName  // who was granted the newest pre-vote
	endorsedAt time.Time
	unsynced   chan struct{}       // wakes the task that syncs a leader's own entries
	in         *incoming           // what a leader sends in parts
	successor  walnutramp.NodeName // who is handed the leadership; empty for nobody
	trips      map[walnutramp.NodeName]*tripTime
	election   atomic.Int64 // election timeout in force, in nanoseconds
	stats      Stats
	dead       error // the disk failed
	rng        *rand.Rand

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// progress is what a leader knows of one follower.
type progress struct {
	node   walnutramp.NodeName
	voter  Voter // as the newest group has it
	next   uint64
	match  uint64
	asked  time.Time     // when the newest answered call was sent
	round  uint64        // confirmation round of the newest answered call
	quorum time.Duration // its round trip to the nearest majority; 0 where not known
	out    *outgoing     // what goes in parts; nil where the last call took all
	wake   chan struct{}
	stop   context.CancelFunc
}

// proposal is a command on its way.
type proposal struct {
	term   uint64
	result chan outcome
}

type outcome struct {
	code   walnutramp.Code
	result []byte
}

// New opens a member's storage. Founding is the group that a new log begins
// with; it is left out by a node that waits to be added.
func New(node walnutramp.NodeName, identity Identity, fs wal.FS, founding Group, peers Peers, machine StateMachine, opts ...Option) (*Member, error) {
	cfg := defaultConfig()
	for _, opt := range opts {
		opt(&cfg)
	}
	store, err := openStorage(fs, founding)
	if err != nil {
		return nil, err
	}
	m := &Member{
		cfg: cfg, node: node, identity: identity, peers: peers, machine: machine, store: store,
		changed: make(chan struct{}), unsynced: make(chan struct{}, 1), follow: map[walnutramp.NodeName]*progress{}, waiting: map[uint64]*proposal{}, trips: map[walnutramp.NodeName]*tripTime{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 5)), heard: time.Now(),
	}
	if len(store.snapshot.State) > 0 {
		if err := machine.Restore(store.snapshot.State); err != nil {
			return nil, err
		}
	}
	m.setElectionTimeout(0)
	m.commit = store.snapshot.Index
	if cfg.NoteCommits {
		m.commit = max(m.commit, store.notedCommit())
	}
	m.applied = store.snapshot.Index
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Start begins the member's tasks; Close ends them.
func (m *Member) Start() {
	m.spawn(m.keepTimer)
	m.spawn(m.apply)
	m.spawn(m.syncOwn)
	m.spawn(m.measureTrips)
	m.spawn(m.keepPlace)
	if m.cfg.NoteCommits {
		m.spawn(m.noteCommits)
	}
}

func (m *Member) spawn(f func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		f()
	}()
}

// errClosed is why a closed member takes nothing any more.
var errClosed = errors.New("member closed")

// Close ends the member at once, as a crash would.
func (m *Member) Close() {
	m.cancel()
	m.mu.Lock()
	m.stepDown(m.store.ballot.Term, "")
	m.mu.Unlock()
	m.tasks.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead == nil {
		m.dead = errClosed // calls that come now must not reach the closed log
	}
	m.store.log.Close()
}

// notify wakes all who wait for a change; the caller holds the mutex, as for
// every method below that says so.
func (m *Member) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// die ends the member after its disk failed. The caller holds the mutex.
func (m *Member) die(err error) {
	if m.dead != nil {
		return
	}
	m.dead = err
	klog.ErrorS(err, "Control group member lost its disk", "node", m.node)
	m.stepDown(m.store.ballot.Term, "")
	m.cancel()
	go m.cfg.OnFatal(err)
}

// isVoter reports whether this disk counts in the newest group. The caller
// holds the mutex.
func (m *Member) isVoter() bool {
	v, ok := m.store.group(m.store.lastIndex()).find(m.node)
	return ok && v.Identity == m.identity && !v.Learner
}

// enter moves to a newer term, synced before anything is said in it. False
// means the disk failed. The caller holds the mutex.
func (m *Member) enter(term uint64, voted walnutramp.NodeName) bool {
	if err := m.store.saveBallot(ballot{Term: term, Voted: voted}); err != nil {
		m.die(err)
		return false
	}
	return true
}

// stepDown makes the member a follower. The caller holds the mutex.
func (m *Member) stepDown(term uint64, leaderIs walnutramp.NodeName) {
	if m.role == leader {
		if m.successor == "" {
			m.stats.Deposed++
		}
		for _, p := range m.follow {
			p.stop()
		}
		m.follow = map[walnutramp.NodeName]*progress{}
	}
	m.role = follower
	m.leaderIs = leaderIs
	for index, p := range m.waiting {
		p.result <- outcome{code: walnutramp.CodeOutcomeUnknown}
		delete(m.waiting, index)
	}
	if term > m.store.ballot.Term {
		m.enter(term, "")
	}
	m.notify()
}

// appendOwn takes an entry of this leader's, which is synced here while it is on
// its way to the others. The caller holds the mutex.
func (m *Member) appendOwn(e Entry) (uint64, bool) {
	e.Index = m.store.lastIndex() + 1
	e.Term = m.store.ballot.Term
	if err := m.store.stage(e); err != nil {
		m.die(err)
		return 0, false
	}
	select {
	case m.unsynced <- struct{}{}:
	default:
	}
	for _, p := range m.follow {
		p.poke()
	}
	return e.Index, true
}
