package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/rollout"
	"github.com/walnutramp/walnutramp/wal"
)

type model struct {
	defect defect
	seed   uint64
	names  []walnutramp.NodeName // the founding members

	mu      sync.Mutex
	rng     *rand.Rand
	nodes   map[walnutramp.NodeName]*modelNode
	cut     map[[2]walnutramp.NodeName]bool
	version uint64
	history []porcupine.Operation
	began   time.Time
	nextID  int // number of the next node

	rollouts bool      // run a RolloutController on each node
	duty     *dutySite // nil for none
}

type modelNode struct {
	name     walnutramp.NodeName
	disk     *memfs.FS
	identity consensus.Identity
	member   *consensus.Member
	state    *State
	server   *Server
	client   *Client
	duty     *DutyHolder // nil for none
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	up       bool
	removed  bool
}

// noSyncDisk is a disk whose files ignore Sync.
type noSyncDisk struct{ *memfs.FS }

type noSyncFile struct{ wal.File }

func (noSyncFile) Sync() error { return nil }

func (d noSyncDisk) Create(name string) (wal.File, error) {
	f, err := d.FS.Create(name)
	return noSyncFile{f}, err
}

func (d noSyncDisk) Append(name string, size int64) (wal.File, error) {
	f, err := d.FS.Append(name, size)
	return noSyncFile{f}, err
}

func newModel(seed uint64, d defect, opts ...func(*model)) *model {
	m := &model{
		defect: d, seed: seed, rng: rand.New(rand.NewPCG(seed, 99)), nodes: map[walnutramp.NodeName]*modelNode{},
		cut: map[[2]walnutramp.NodeName]bool{}, began: time.Now(), names: []walnutramp.NodeName{"n1", "n2", "n3"}, nextID: 4,
	}
	for _, opt := range opts {
		opt(m)
	}
	for _, name := range m.names {
		m.nodes[name] = &modelNode{name: name, disk: memfs.New()}
		m.start(name, true)
	}
	if seed%2 == 0 { // four voters on every other seed
		m.addNode()
	}
	return m
}

func (m *model) intn(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.intn(int(high-low)))
}

// addNode starts a new node with an empty disk.
func (m *model) addNode() walnutramp.NodeName {
	m.mu.Lock()
	name := walnutramp.NodeName(fmt.Sprintf("n%d", m.nextID))
	m.nextID++
	m.nodes[name] = &modelNode{name: name, disk: memfs.New()}
	m.mu.Unlock()
	m.start(name, false)
	return name
}

func (m *model) start(name walnutramp.NodeName, founder bool) {
	m.mu.Lock()
	n := m.nodes[name]
	m.mu.Unlock()
	var disk wal.FS = n.disk
	if m.defect == acksBeforeSync {
		disk = noSyncDisk{n.disk}
	}
	if founder {
		WriteFounderIdentity(disk)
	}
	identity, err := LoadOrCreateIdentity(disk)
	if err != nil {
		panic(err)
	}
	var founding consensus.Group
	if identity == consensus.Founder {
		founding = FoundingGroup(m.names)
	}
	peers := modelPeers{m, name}
	n.state = NewState(WithRule(AcceptHighest))
	opts := []consensus.Option{
		consensus.WithTiming(100*time.Millisecond, 400*time.Millisecond), consensus.WithSeed(uint64(m.intn(1 << 30))),
		consensus.WithCompaction(6000), consensus.WithPersistedCommits(),
	}
	if m.seed%3 == 0 {
		opts = append(opts, consensus.WithCallBytes(m.callBytes()))
	}
	if m.defect == twoMemberChanges {
		opts = append(opts, consensus.WithUncheckedChanges())
	}
	n.member, err = consensus.New(name, identity, disk, founding, peers, n.state, opts...)
	if err != nil {
		panic(err)
	}
	manager := NewMembershipManager(name, n.member)
	client := NewDocumentClient(peers, m.seeds(), func(uint64, []byte) error { return nil })
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	n.identity, n.client, n.cancel = identity, client, cancel
	n.server = NewUnsignedServer(n.member, n.state, manager, NewTargetList())
	n.up = true
	m.mu.Unlock()
	n.member.Start()
	run := manager.Run
	if m.defect == twoMemberChanges {
		run = func(ctx context.Context) { runTwoMemberChanges(ctx, manager) }
	}
	n.tasks.Go(func() { run(ctx) })
	if m.rollouts {
		n.server.targets.Set(modelList())
		controller := NewRolloutController(n.member, n.server, rollout.Bounds{Share: 0.1, Slack: 50})
		n.tasks.Go(func() { controller.Run(ctx) })
	}
	if m.duty != nil {
		m.duty.start(ctx, n)
	}
	n.tasks.Go(func() { NewJoiner(peers, name, identity, n.member, client).Run(ctx) })
}

// runTwoMemberChanges manages the membership with the twoMemberChanges defect: it replaces
// an unresponsive voter by a new one in one change.
func runTwoMemberChanges(ctx context.Context, k *MembershipManager) {
	for ctx.Err() == nil {
		time.Sleep(membershipInterval)
		if !k.member.Leads() {
			continue
		}
		g := k.member.Status().Group
		unresponsive, since := unresponsiveVoter(k.member.Followers())
		for node, n := range k.pendingJoins() {
			if _, isVoter := g.Find(node); isVoter {
				continue
			}
			if since > 300*time.Millisecond {
				g = g.Without(unresponsive.Node)
			}
			k.member.Change(ctx, g.With(consensus.Voter{Node: node, Identity: n.identity}))
		}
	}
}

// seeds returns the nodes that a process is configured with: up to three of those that
// were not removed.
func (m *model) seeds() []walnutramp.NodeName {
	m.mu.Lock()
	defer m.mu.Unlock()
	var present []walnutramp.NodeName
	for name, n := range m.nodes {
		if !n.removed {
			present = append(present, name)
		}
	}
	slices.Sort(present)
	return present[:min(3, len(present))]
}

// removeNode kills a node permanently.
func (m *model) removeNode(name walnutramp.NodeName) {
	m.kill(name, false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[name].removed = true
}

// kill crashes a node; with power it may lose data that was not synced.
func (m *model) kill(name walnutramp.NodeName, power bool) {
	m.mu.Lock()
	n := m.nodes[name]
	up := n.up
	n.up = false
	m.mu.Unlock()
	if !up {
		return
	}
	n.cancel()
	n.member.Close()
	n.client.Close()
	n.tasks.Wait()
	keep := 1 << 20
	if power {
		keep = m.intn(60)
	}
	if m.defect == acksBeforeSync {
		keep = 0
	}
	n.disk.Crash(keep)
}

func (m *model) wipe(name walnutramp.NodeName) {
	n := m.nodes[name]
	n.disk.Wipe()
	if m.defect == keepsIdentity {
		writeIdentity(n.disk, n.identity)
	}
}

func (m *model) running() []walnutramp.NodeName {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []walnutramp.NodeName
	for name, n := range m.nodes {
		if n.up {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *model) randomNode() walnutramp.NodeName {
	live := m.running()
	if len(live) == 0 {
		return m.names[0]
	}
	return live[m.intn(len(live))]
}

// setCut cuts or restores one direction between two nodes.
func (m *model) setCut(from, to walnutramp.NodeName, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[[2]walnutramp.NodeName{from, to}] = cut
}

// partition cuts side from the other nodes; oneWay keeps calls to side.
func (m *model) partition(side []walnutramp.NodeName, cut, oneWay bool) {
	for _, a := range m.running() {
		for _, b := range m.running() {
			if slices.Contains(side, a) != slices.Contains(side, b) && (!oneWay || slices.Contains(side, a)) {
				m.setCut(a, b, cut)
			}
		}
	}
}

func (m *model) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cut)
}

// modelPeers implements Peers for one node.
type modelPeers struct {
	m    *model
	from walnutramp.NodeName
}

func (p modelPeers) Call(ctx context.Context, to walnutramp.NodeName, method string, args, reply any) error {
	target, delay, reached := p.m.reach(p.from, to)
	if !reached {
		<-ctx.Done() // no reply through a partition
		return ctx.Err()
	}
	if target == nil {
		time.Sleep(delay)
		return errConnectionRefused // the process is down
	}
	time.Sleep(delay)
	if err := p.m.deliver(target, method, args, reply); err != nil {
		return err
	}
	if _, delay, reached = p.m.reach(to, p.from); !reached {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	return ctx.Err()
}

// reach returns the current state of a node, nil if its process is down, with the delay
// of the call; false if the call is lost.
func (m *model) reach(from, to walnutramp.NodeName) (*modelNode, time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := time.Duration(m.rng.IntN(4000)+200) * time.Microsecond
	if m.multiRegion() && regionOf(from) != regionOf(to) {
		delay += regionDelay
	}
	if m.cut[[2]walnutramp.NodeName{from, to}] || m.rng.IntN(400) == 0 {
		return nil, delay, false
	}
	n := m.nodes[to]
	if n == nil || !n.up {
		return nil, delay, true
	}
	now := &modelNode{member: n.member, server: n.server, identity: n.identity}
	return now, delay, true
}

// callBytes returns the call size limit, which is larger with longer delays.
func (m *model) callBytes() int {
	if m.multiRegion() {
		return crossRegionCallBytes
	}
	return modelCallBytes
}

// multiRegion reports whether the nodes are in several regions.
func (m *model) multiRegion() bool { return m.seed%5 == 0 }

// regionOf returns the region of a node.
func regionOf(name walnutramp.NodeName) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(string(name), "n"))
	return n % modelRegions
}

func (m *model) deliver(n *modelNode, method string, args, reply any) error {
	switch method {
	case consensus.Service + ".Vote":
		a := args.(consensus.VoteArgs)
		if m.defect == ignoresIdentity {
			a.To = n.identity
		}
		if m.defect == transfersToLagging && a.Transfer {
			a.LastTerm, a.LastIndex = math.MaxUint64, math.MaxUint64
		}
		return n.member.Handler().Vote(a, reply.(*consensus.VoteReply))
	case consensus.Service + ".Append":
		a := args.(consensus.AppendArgs)
		if m.defect == ignoresIdentity {
			a.To = n.identity
		}
		return n.member.Handler().Append(a, reply.(*consensus.AppendReply))
	case consensus.Service + ".Ping":
		return n.member.Handler().Ping(args.(consensus.PingArgs), reply.(*consensus.PingReply))
	case consensus.Service + ".TimeoutNow":
		return n.member.Handler().TimeoutNow(args.(consensus.TimeoutNowArgs), reply.(*consensus.TimeoutNowReply))
	case Service + ".Newest":
		return n.server.Newest(args.(NewestArgs), reply.(*NewestReply))
	case Service + ".Piece":
		return n.server.Piece(args.(PieceArgs), reply.(*PieceReply))
	case Service + ".Offer":
		return n.server.Offer(args.(OfferArgs), reply.(*DoReply))
	case Service + ".Order":
		return n.server.Order(args.(OrderArgs), reply.(*DoReply))
	case Service + ".Rollout":
		return n.server.Rollout(args.(RolloutArgs), reply.(*RolloutReply))
	case Service + ".Join":
		return n.server.Join(args.(JoinArgs), reply.(*JoinReply))
	}
	return errors.Newf("method %s", method)
}
