package consensus

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/wal"
	"k8s.io/klog/v2"
)

type role int

const (
	follower role = iota
	candidate
	leader
)

// endorseShare of an election timeout is how long a pre-vote is kept for one
// candidate: longer than it takes to ask for the votes, and shorter than the
// wait of the others before they ask again.
const endorseShare = 4

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

// keepTimer starts an election when no leader is heard of, and makes a leader
// that hears no majority step down.
func (m *Member) keepTimer() {
	for {
		shortest := m.electionTimeout()
		wait := shortest + m.draw(shortest)
		if !pause.For(m.ctx, wait/4) {
			return
		}
		m.mu.Lock()
		due := m.role != leader && m.isVoter() && time.Since(m.heard) > wait
		if m.role == leader && !m.hearsMajority(2*shortest) {
			klog.InfoS("Leader hears no majority", "node", m.node, "term", m.store.ballot.Term)
			m.stepDown(m.store.ballot.Term, "")
		}
		m.mu.Unlock()
		if due {
			m.campaign()
		}
	}
}

func (m *Member) draw(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// hearsMajority reports whether a majority answered calls sent within the
// window. The caller holds the mutex.
func (m *Member) hearsMajority(window time.Duration) bool {
	return m.majorityOf(func(p *progress) bool { return time.Since(p.asked) <= window })
}

// majorityOf reports whether this member and those voters for which holds is
// true are a majority. The caller holds the mutex.
func (m *Member) majorityOf(holds func(*progress) bool) bool {
	group := m.store.group(m.store.lastIndex())
	n := 0
	for _, v := range group.Voters {
		p := m.follow[v.Node]
		if !v.Learner && (v.Node == m.node || p != nil && holds(p)) {
			n++
		}
	}
	return n >= group.majority()
}

// campaign asks first whether it would be elected, and only then in earnest,
// in the term that it asked about: where another election has begun meanwhile,
// one in the term behind it would depose the leader that has just won. Of six
// members 12 ms apart two often campaign together: without this 1.16 terms
// followed each lost leader, and 0.7 s where it was more than one.
func (m *Member) campaign() {
	m.mu.Lock()
	term := m.store.ballot.Term + 1
	m.mu.Unlock()
	if m.poll(ballotPre, term) {
		m.poll(ballotVote, term)
	}
}

// ballotKind is what a round of votes is for.
type ballotKind int

const (
	ballotPre      ballotKind = iota // whether the candidate would be elected
	ballotVote                       // an election
	ballotTransfer                   // an election at the leader's order: it ends its own term
)

// poll runs one round of votes for a term and reports whether it was won.
func (m *Member) poll(kind ballotKind, term uint64) bool {
	pre := kind == ballotPre
	m.mu.Lock()
	if m.role == leader || m.dead != nil || m.store.ballot.Term+1 != term {
		m.mu.Unlock()
		return false
	}
	if pre && !m.endorse(m.node) {
		m.mu.Unlock()
		return false
	}
	if !pre {
		if !m.enter(term, m.node) {
			m.mu.Unlock()
			return false
		}
		m.role = candidate
		m.heard = time.Now()
	}
	args := VoteArgs{
		Pre: pre, Transfer: kind == ballotTransfer, Term: term, Candidate: m.node, Identity: m.identity,
		LastIndex: m.store.lastIndex(), LastTerm: m.store.lastTerm(),
	}
	group := m.store.group(m.store.lastIndex())
	m.mu.Unlock()
	if !m.collect(args, group) {
		klog.InfoS("Election not won", "node", m.node, "pre", pre, "term", term, "group", group.Nodes())
		return false
	}
	if !pre {
		return m.lead(term)
	}
	return true
}

// collect asks every voter and reports whether a majority granted.
func (m *Member) collect(args VoteArgs, group Group) bool {
	ctx, cancel := context.WithTimeout(m.ctx, m.electionTimeout())
	defer cancel()
	replies := make(chan VoteReply, len(group.Voters))
	asked := 0
	granted := 1
	for _, v := range group.Voters {
		if v.Node == m.node || v.Learner {
			continue
		}
		asked++
		to := args
		to.To = v.Identity
		m.spawn(func() {
			var r VoteReply
			sent := time.Now()
			if m.peers.Call(ctx, v.Node, Service+".Vote", to, &r) != nil {
				replies <- VoteReply{}
				return
			}
			if args.Pre { // a vote waits for the voter's disk
				m.mu.Lock()
				m.noteTrip(v.Node, sent)
				m.mu.Unlock()
			}
			replies <- r
		})
	}
	for range asked {
		if granted >= group.majority() {
			break
		}
		select {
		case r := <-replies:
			if r.Granted {
				granted++
			}
			m.learnTerm(r.Term)
		case <-ctx.Done():
			return false
		}
	}
	return granted >= group.majority()
}

func (m *Member) learnTerm(term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term > m.store.ballot.Term {
		m.stepDown(term, "")
	}
}

// Vote answers a candidate.
func (m *Member) vote(args VoteArgs) VoteReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := VoteReply{Term: m.store.ballot.Term}
	if m.dead != nil || args.To != m.identity || !m.knows(args) {
		return reply
	}
	upToDate := args.LastTerm > m.store.lastTerm() ||
		args.LastTerm == m.store.lastTerm() && args.LastIndex >= m.store.lastIndex()
	leaderLives := !args.Transfer && (m.role == leader || m.leaderIs != "" && time.Since(m.heard) < m.electionTimeout())
	if args.Pre {
		electing := time.Since(m.voted) < m.electionTimeout() // the one this member voted for may just have won
		reply.Granted = upToDate && !leaderLives && !electing && args.Term > m.store.ballot.Term && m.endorse(args.Candidate)
		return reply
	}
	if leaderLives || args.Term < m.store.ballot.Term {
		return reply
	}
	if args.Term > m.store.ballot.Term {
		m.stepDown(args.Term, "")
	}
	reply.Term = m.store.ballot.Term
	free := m.store.ballot.Voted == "" || m.store.ballot.Voted == args.Candidate
	if !upToDate || !free || m.dead != nil {
		return reply
	}
	if !m.enter(args.Term, args.Candidate) {
		return reply
	}
	m.heard = time.Now()
	m.voted = m.heard
	reply.Granted = true
	return reply
}

// endorse grants one candidate at a time a pre-vote. Where two ask at the same
// moment they would both go on, split the votes and wait for another election
// timeout; so one goes on, or both ask again when they next look at the timer.
// With six members 12 ms apart the slowest of 400 elections took 1.36 s without
// this and 0.88 s with it (TestOneElectionFollowsALostLeader). The caller holds
// the mutex.
func (m *Member) endorse(candidate walnutramp.NodeName) bool {
	if m.endorsed != candidate && time.Since(m.endorsedAt) < m.electionTimeout()/endorseShare {
		return false
	}
	m.endorsed, m.endorsedAt = candidate, time.Now()
	return true
}

// knows reports whether the candidate's disk is one this member knows of, or
// this member knows of no group yet. The caller holds the mutex.
func (m *Member) knows(args VoteArgs) bool {
	v, ok := m.store.group(m.store.lastIndex()).find(args.Candidate)
	return !ok || v.Identity == args.Identity
}

// lead makes the member the leader of a term it won, with an entry that
// commits what earlier terms left.
func (m *Member) lead(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role != candidate || m.store.ballot.Term != term || m.dead != nil || m.ctx.Err() != nil {
		return false
	}
	m.role = leader
	m.leaderIs = m.node
	m.stats.Elected++
	klog.InfoS("Leader elected", "node", m.node, "term", term, "last", m.store.lastIndex(), "group", m.store.group(m.store.lastIndex()).Nodes())
	if _, ok := m.appendOwn(Entry{}); !ok {
		return false
	}
	m.syncFollowers(time.Now())
	m.notify()
	return true
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
