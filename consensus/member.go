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
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

type role int

const (
	follower role = iota
	candidate
	leader
)

// Member is one node's replica of the group's log.
type Member struct {
	cfg      Config
	node     walnutramp.NodeName
	identity Identity
	peers    Peers
	machine  StateMachine

	mu           sync.Mutex
	store        *storage
	role         role
	knownLeader  walnutramp.NodeName
	lastContact  time.Time // last contact with a leader, vote granted, or start of an own election
	lastVote     time.Time // last vote granted to another member since process start
	commit       uint64
	applied      uint64
	changed      chan struct{} // closed at every change of role, commit or applied
	followers    map[walnutramp.NodeName]*progress
	proposals    map[uint64]*proposal // by log index
	confirmRound uint64               // newest leadership confirmation (read index) requested
	preVotedFor  walnutramp.NodeName  // candidate that holds the newest pre-vote
	preVotedAt   time.Time
	syncWake     chan struct{}       // wakes syncLocalEntries
	partial      *incoming           // payload being received in parts
	successor    walnutramp.NodeName // target of a leadership transfer in progress, or empty
	rtts         map[walnutramp.NodeName]*rttEstimate
	election     atomic.Int64 // current election timeout, in nanoseconds
	stats        Stats
	fatalErr     error // set after a disk failure or Close
	diskFullLog  rate.Sometimes
	compactAfter time.Time // no compaction before, since the disk was full
	rng          *rand.Rand

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// progress is a leader's replication state for one follower.
type progress struct {
	node         walnutramp.NodeName
	voter        Voter // from the newest group
	next         uint64
	match        uint64
	lastAnswered time.Time     // send time of the newest answered call
	confirmRound uint64        // confirmation round of the newest answered call
	quorumRTT    time.Duration // its round trip to the nearest majority; 0 if unknown
	out          *outgoing     // payload being sent in parts; nil if none
	wake         chan struct{}
	stop         context.CancelFunc
}

// proposal is a command that waits for its commit.
type proposal struct {
	term   uint64
	result chan outcome
}

type outcome struct {
	code   walnutramp.Code
	result []byte
}

// New opens a member's storage. founding is the initial group of a new log; a
// node that waits to be added passes an empty one.
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
		changed: make(chan struct{}), syncWake: make(chan struct{}, 1), followers: map[walnutramp.NodeName]*progress{}, proposals: map[uint64]*proposal{}, rtts: map[walnutramp.NodeName]*rttEstimate{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 5)), lastContact: time.Now(), diskFullLog: rate.Sometimes{Interval: diskFullLogInterval},
	}
	if len(store.snapshot.State) > 0 {
		if err := machine.Restore(store.snapshot.State); err != nil {
			return nil, err
		}
	}
	m.setElectionTimeout(0)
	m.commit = store.snapshot.Index
	if cfg.PersistCommits {
		m.commit = max(m.commit, store.loadCommitIndex())
	}
	m.applied = store.snapshot.Index
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Start starts the member's goroutines; Close stops them.
func (m *Member) Start() {
	m.spawn(m.runElectionTimer)
	m.spawn(m.apply)
	m.spawn(m.syncLocalEntries)
	m.spawn(m.measureRTTs)
	m.spawn(m.runPlacement)
	if m.cfg.PersistCommits {
		m.spawn(m.persistCommits)
	}
}

func (m *Member) spawn(f func()) {
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		f()
	}()
}

// errClosed marks a member that was closed.
var errClosed = errors.New("member closed")

// Close stops the member without handing over leadership, as a crash would.
func (m *Member) Close() {
	m.cancel()
	m.mu.Lock()
	m.stepDown(m.store.ballot.Term, "")
	m.mu.Unlock()
	m.goroutines.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fatalErr == nil {
		m.fatalErr = errClosed // later calls must not reach the closed log
	}
	m.store.log.Close()
}

// notifyChanged wakes all goroutines that wait for a state change. The caller
// holds m.mu.
func (m *Member) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// fail stops the member after a disk failure, unless the disk is only full. The caller
// holds m.mu.
func (m *Member) fail(err error) {
	if m.fatalErr != nil {
		return
	}
	if errors.Is(err, wal.ErrNoSpace) {
		m.handleFullDisk(err)
		return
	}
	m.fatalErr = err
	klog.ErrorS(err, "Disk failed, stopping control group member", "node", m.node)
	m.stepDown(m.store.ballot.Term, "")
	m.cancel()
	go m.cfg.OnFatal(err)
}

// diskFullLogInterval is the interval between log lines while the disk is full.
const diskFullLogInterval = time.Second

// compactionRetryDelay is the wait before the next compaction after one that a full disk
// refused.
const compactionRetryDelay = time.Second

// handleFullDisk hands over leadership after a write that a full disk refused. The member
// keeps its term and its vote, and acknowledges no entry until it can write again. The
// caller holds m.mu.
func (m *Member) handleFullDisk(err error) {
	m.diskFullLog.Do(func() {
		klog.InfoS("Disk full, write refused", "node", m.node, "term", m.store.ballot.Term, "err", err)
	})
	if m.role == leader && m.successor == "" && m.ctx.Err() == nil {
		m.spawn(m.giveUpLeadership)
	}
}

// giveUpLeadership transfers leadership, or steps down if that fails.
func (m *Member) giveUpLeadership() {
	if m.TransferLeadership(m.ctx) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == leader && m.successor == "" {
		m.stepDown(m.store.ballot.Term, "")
	}
}

// isVoter reports whether this member, with its identity, votes in the newest
// group. The caller holds m.mu.
func (m *Member) isVoter() bool {
	v, ok := m.store.group(m.store.lastIndex()).find(m.node)
	return ok && v.Identity == m.identity && !v.Learner
}

// setTerm persists a new term and vote before the member acts in it. It returns
// false on a disk failure. The caller holds m.mu.
func (m *Member) setTerm(term uint64, voted walnutramp.NodeName) bool {
	if err := m.store.saveBallot(ballot{Term: term, Voted: voted}); err != nil {
		m.fail(err)
		return false
	}
	return true
}

// stepDown makes the member a follower. Pending proposals get
// CodeOutcomeUnknown. The caller holds m.mu.
func (m *Member) stepDown(term uint64, newLeader walnutramp.NodeName) {
	if m.role == leader {
		if m.successor == "" {
			m.stats.Deposed++
		}
		for _, p := range m.followers {
			p.stop()
		}
		m.followers = map[walnutramp.NodeName]*progress{}
	}
	m.role = follower
	m.knownLeader = newLeader
	for index, p := range m.proposals {
		p.result <- outcome{code: walnutramp.CodeOutcomeUnknown}
		delete(m.proposals, index)
	}
	if term > m.store.ballot.Term {
		m.setTerm(term, "")
	}
	m.notifyChanged()
}

// appendLocal appends a leader's own entry; the local sync runs in parallel
// with replication. The caller holds m.mu.
func (m *Member) appendLocal(e Entry) (uint64, bool) {
	e.Index = m.store.lastIndex() + 1
	e.Term = m.store.ballot.Term
	if err := m.store.stage(e); err != nil {
		m.fail(err)
		return 0, false
	}
	select {
	case m.syncWake <- struct{}{}:
	default:
	}
	for _, p := range m.followers {
		p.poke()
	}
	return e.Index, true
}
