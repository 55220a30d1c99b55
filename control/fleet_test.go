package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/internal/memnet"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/rollout"
)

// testSite is a control group and its entry nodes in virtual time. Each host has its
// own link, and RPCs share the links.
type testSite struct {
	t       *testing.T
	net     *memnet.Network
	seeds   []walnutramp.NodeName
	members []*testMember
	entries []*testEntry
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	platform *usagePlatform // receives usage counts; nil if requests are not metered
}

type testMember struct {
	name    walnutramp.NodeName
	disk    *memfs.FS
	peers   *peer.Client
	raft    *consensus.Member
	targets *control.TargetList
	server  *peer.Server
	client  *control.Client // for operator calls
	traffic *peer.Traffic
	cancel  context.CancelFunc

	rpcServer  *control.Server
	timekeeper *control.Timekeeper
}

type testEntry struct {
	peers   *peer.Client
	client  *control.Client
	agent   *rollout.Agent
	counter *metering.Counter
	clock   *groupclock.Follower
	traffic *peer.Traffic

	mu           sync.Mutex
	inForceSince map[uint64]time.Time // when each version came into force, by version
	targets      int                  // length of the target list
}

// Link rates in bytes per second, delays and timeouts of the test site.
const (
	memberLink  = 100e6 / 8
	entryLink   = 10e6 / 8
	hostDelay   = 500 * time.Microsecond
	testHalls   = 4
	heartbeat   = 100 * time.Millisecond
	election    = 400 * time.Millisecond
	compactFrom = 8 << 20                 // log size in bytes
	inForceTime = 2500 * time.Millisecond // from acknowledgement until in force on all entry nodes
)

// testBounds are the roll-out bounds of the test site.
var testBounds = rollout.Bounds{Share: 0.1, Slack: 50, StopWithin: 5 * time.Second}

// inTestSite runs f in a synctest bubble on a test site that has a leader.
func inTestSite(t *testing.T, members, entries int, f func(*testing.T, *testSite)) {
	inTestSiteWithPlatform(t, members, entries, nil, f)
}

// inTestSiteWithPlatform is inTestSite with metering of usage for a platform, unless
// that is nil.
func inTestSiteWithPlatform(t *testing.T, members, entries int, platform *usagePlatform, f func(*testing.T, *testSite)) {
	synctest.Test(t, func(t *testing.T) {
		site := &testSite{t: t, net: memnet.New(), platform: platform}
		site.ctx, site.cancel = context.WithCancel(context.Background())
		site.net.Delay = func(string, string) time.Duration { return hostDelay }
		site.net.Rate = linkOf
		for i := range members {
			site.seeds = append(site.seeds, memberName(i))
		}
		defer site.close()
		for i := range members {
			disk := memfs.New()
			require.NoError(t, control.WriteFounderIdentity(disk))
			site.startMember(memberName(i), disk)
		}
		site.awaitLeader()
		for i := range entries {
			site.startEntry(i)
		}
		f(t, site)
	})
}

func memberName(i int) walnutramp.NodeName {
	return walnutramp.NodeName(fmt.Sprintf("m%d", i+1))
}

func linkOf(host string) float64 {
	if host[0] == 'm' {
		return memberLink
	}
	return entryLink
}

func hallOf(i int) string { return fmt.Sprintf("hall-%d", i%testHalls+1) }

// addresses resolves a node to its own name.
type addresses struct{}

// Address implements peer.Addresses.
func (addresses) Address(node walnutramp.NodeName) (string, bool) { return string(node), node != "" }

func (site *testSite) peersOf(host string) (peer.Identity, *peer.Client, *peer.Traffic) {
	self := peer.Identity{Site: "fleet", Node: walnutramp.NodeName(host)}
	traffic := &peer.Traffic{}
	return self, peer.NewClient(self, site.net.Dialer(host), addresses{}, traffic), traffic
}

// startMember starts a member as the program does, on an empty or existing disk.
func (site *testSite) startMember(name walnutramp.NodeName, disk *memfs.FS) *testMember {
	self, peers, traffic := site.peersOf(string(name))
	identity, err := control.LoadOrCreateIdentity(disk)
	require.NoError(site.t, err)
	var founding consensus.Group
	if identity == consensus.Founder {
		founding = control.FoundingGroup(site.seeds)
	}
	state := control.NewState(control.WithRule(control.AcceptHighest))
	raft, err := consensus.New(name, identity, disk, founding, peers, state,
		consensus.WithTiming(heartbeat, election), consensus.WithSeed(uint64(len(site.members)+1)), consensus.WithCompaction(compactFrom))
	require.NoError(site.t, err)
	manager := control.NewMembershipManager(name, raft)
	m := &testMember{name: name, disk: disk, peers: peers, raft: raft, targets: control.NewTargetList(), server: peer.NewServer(self, traffic), traffic: traffic}
	answers := control.NewUnsignedServer(raft, state, manager, m.targets, control.WithLink(memberLink))
	m.rpcServer = answers
	hall := hallOf(len(site.members))
	relay := control.NewRelay(peers, name, hall, raft, answers)
	require.NoError(site.t, m.server.Register(consensus.Service, raft.Handler()))
	require.NoError(site.t, m.server.Register(control.Service, answers))
	l, err := site.net.Listen(string(name), string(name))
	require.NoError(site.t, err)
	m.client = control.NewDocumentClient(peers, site.seeds, func(uint64, []byte) error { return nil })
	joiner := control.NewJoiner(peers, name, identity, raft, m.client)
	go m.server.Serve(l)
	raft.Start()
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(site.ctx)
	controller := control.NewRolloutController(raft, answers, testBounds)
	tasks := []func(context.Context){manager.Run, relay.Run, joiner.Run, controller.Run}
	if site.platform != nil {
		tasks = append(tasks, site.meter(m, peers, answers)...)
	}
	for _, run := range tasks {
		site.spawn(func(context.Context) { run(ctx) })
	}
	site.members = append(site.members, m)
	return m
}

func (site *testSite) spawn(run func(context.Context)) {
	site.tasks.Add(1)
	go func() {
		defer site.tasks.Done()
		run(site.ctx)
	}()
}

func (site *testSite) startEntry(i int) *testEntry {
	host := fmt.Sprintf("e%d", i+1)
	_, peers, traffic := site.peersOf(host)
	e := &testEntry{peers: peers, traffic: traffic, inForceSince: map[uint64]time.Time{}}
	e.client = control.NewDocumentClient(peers, site.seeds, func(version uint64, _ []byte) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.inForceSince[version] = time.Now()
		return nil
	})
	e.agent = rollout.NewAgent(uint64(i))
	e.client.WithRollouts(e.agent)
	e.client.RegisterEntryNode(control.EntryNode{Address: host, DataHall: hallOf(i)}, func([]control.EntryNode, bool) {})
	e.client.OnTargets(func(f discovery.FeedUpdate) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if f.List != nil {
			e.targets = len(f.List)
		}
		return true
	})
	if site.platform != nil {
		e.clock = groupclock.NewFollower(groupclock.NewSteady())
		e.counter = metering.NewCounter(usageConfig, e.clock)
		e.client.WithClock(e.clock)
		e.client.WithUsage(e.counter)
		e.client.WithDemand(func() []fleet.Demand { return []fleet.Demand{{Service: testService, Requests: 1}} })
	}
	e.client.Start()
	site.entries = append(site.entries, e)
	return e
}

// stop shuts a member down.
func (m *testMember) stop() {
	m.cancel()
	m.raft.Close()
	m.server.Close()
	m.client.Close()
	m.peers.Close()
}

func (site *testSite) close() {
	site.cancel()
	for _, e := range site.entries {
		e.client.Close()
		e.peers.Close()
	}
	site.tasks.Wait()
	for _, m := range site.members {
		m.stop()
	}
}

// awaitLeader waits until a member leads.
func (site *testSite) awaitLeader() {
	for site.leader() == nil {
		time.Sleep(heartbeat)
	}
}

func (site *testSite) leader() *testMember {
	for _, m := range site.members {
		if m.raft.Leads() {
			return m
		}
	}
	return nil
}

// offer submits a document through the first member's client and returns the time
// of the acknowledgement.
func (site *testSite) offer(version uint64, doc []byte) time.Time {
	_, err := site.members[0].client.Offer(site.ctx, version, doc)
	require.NoError(site.t, err)
	return time.Now()
}

// countLate returns the number of entry nodes on which neither a version nor a newer one
// came into force in time.
func (site *testSite) countLate(version uint64, acknowledged time.Time) int {
	n := 0
	for _, e := range site.entries {
		if !e.inForce(version, acknowledged.Add(inForceTime)) {
			n++
		}
	}
	return n
}

func (e *testEntry) inForce(version uint64, by time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for v, at := range e.inForceSince {
		if v >= version && !at.After(by) {
			return true
		}
	}
	return false
}

// countHolding returns the number of entry nodes whose target list has the given
// length.
func (site *testSite) countHolding(targets int) int {
	n := 0
	for _, e := range site.entries {
		e.mu.Lock()
		if e.targets == targets {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// routesDocument returns a document with the given number of routes. The routes of a
// shorter document are a prefix of those of a longer one.
func routesDocument(version uint64, routes int) []byte {
	rng := rand.New(rand.NewPCG(7, 7))
	word := func() string { return fmt.Sprintf("%08x", rng.Uint32()) }
	doc := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			doc = append(doc, ',')
		}
		doc = fmt.Appendf(doc, `{"name":"r-%s","host":"harbour.example","path_prefix":"/%s/","route_type":"safe","timeout_ms":1000,"target_latency_ms":150,"priority":1,"service":"desk","max_attempts":3,"allow_anonymous":false}`, word(), word())
	}
	return append(doc, `]}`...)
}
