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
	fleetpkg "github.com/walnutramp/walnutramp/fleet"
	"github.com/walnutramp/walnutramp/groupclock"
	"github.com/walnutramp/walnutramp/internal/memfs"
	"github.com/walnutramp/walnutramp/internal/memnet"
	"github.com/walnutramp/walnutramp/metering"
	"github.com/walnutramp/walnutramp/peer"
	"github.com/walnutramp/walnutramp/rollout"
)

// fleet is a control group and the entries that follow it, each on a host with
// a link of its own, in virtual time. Their calls are the real ones, over
// connections that share the links.
type fleet struct {
	t       *testing.T
	net     *memnet.Network
	seeds   []walnutramp.NodeName
	members []*fleetMember
	entries []*fleetEntry
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	platform *usagePlatform // takes the counts of metered requests; nil for none
}

type fleetMember struct {
	name   walnutramp.NodeName
	disk   *memfs.FS
	peers  *peer.Client
	raft   *consensus.Member
	roster *control.Roster
	server *peer.Server
	client *control.Client // of operators' calls
	bytes  *peer.Traffic
	cancel context.CancelFunc

	answers    *control.Server
	timekeeper *control.Timekeeper
}

type fleetEntry struct {
	peers   *peer.Client
	client  *control.Client
	agent   *rollout.Agent
	counter *metering.Counter
	clock   *groupclock.Follower
	traffic *peer.Traffic

	mu      sync.Mutex
	since   map[uint64]time.Time // when each version came into force
	targets int                  // how many the list names
}

// Links of the hosts, bytes a second, and the way between them: those of a
// site on which a large document kept most nodes from every later one.
const (
	memberLink  = 100e6 / 8
	entryLink   = 10e6 / 8
	hostDelay   = 500 * time.Microsecond
	fleetHalls  = 4
	heartbeat   = 100 * time.Millisecond
	election    = 400 * time.Millisecond
	compactFrom = 8 << 20                 // bytes of the log
	inForceTime = 2500 * time.Millisecond // from acknowledged to in force everywhere
)

// fleetBounds are those of the users' site with roll-outs.
var fleetBounds = rollout.Bounds{Share: 0.1, Slack: 50, StopWithin: 5 * time.Second}

// inFleet runs f in a bubble of virtual time on a fleet that has a leader.
func inFleet(t *testing.T, members, entries int, f func(*testing.T, *fleet)) {
	inFleetOf(t, members, entries, nil, f)
}

// inFleetOf is inFleet on a site whose platform wants to know of usage, unless
// it is nil.
func inFleetOf(t *testing.T, members, entries int, platform *usagePlatform, f func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t: t, net: memnet.New(), platform: platform}
		fl.ctx, fl.cancel = context.WithCancel(context.Background())
		fl.net.Delay = func(string, string) time.Duration { return hostDelay }
		fl.net.Rate = linkOf
		for i := range members {
			fl.seeds = append(fl.seeds, memberName(i))
		}
		defer fl.close()
		for i := range members {
			disk := memfs.New()
			require.NoError(t, control.FoundIdentity(disk))
			fl.startMember(memberName(i), disk)
		}
		fl.awaitLeader()
		for i := range entries {
			fl.startEntry(i)
		}
		f(t, fl)
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

func hallOf(i int) string { return fmt.Sprintf("hall-%d", i%fleetHalls+1) }

// addresses finds nodes by their names.
type addresses struct{}

// Address implements peer.Addresses.
func (addresses) Address(node walnutramp.NodeName) (string, bool) { return string(node), node != "" }

func (fl *fleet) peersOf(host string) (peer.Identity, *peer.Client, *peer.Traffic) {
	self := peer.Identity{Site: "fleet", Node: walnutramp.NodeName(host)}
	traffic := &peer.Traffic{}
	return self, peer.NewClient(self, fl.net.Dialer(host), addresses{}, traffic), traffic
}

// startMember starts a member as the program does, on a disk that may be used.
func (fl *fleet) startMember(name walnutramp.NodeName, disk *memfs.FS) *fleetMember {
	self, peers, traffic := fl.peersOf(string(name))
	identity, err := control.ReadIdentity(disk)
	require.NoError(fl.t, err)
	var founding consensus.Group
	if identity == consensus.Founder {
		founding = control.FoundingGroup(fl.seeds)
	}
	state := control.NewState(control.WithRule(control.AcceptHighest))
	raft, err := consensus.New(name, identity, disk, founding, peers, state,
		consensus.WithTiming(heartbeat, election), consensus.WithSeed(uint64(len(fl.members)+1)), consensus.WithCompaction(compactFrom))
	require.NoError(fl.t, err)
	keeper := control.NewKeeper(name, raft)
	m := &fleetMember{name: name, disk: disk, peers: peers, raft: raft, roster: control.NewRoster(), server: peer.NewServer(self, traffic), bytes: traffic}
	answers := control.NewOpenServer(raft, state, keeper, m.roster, control.WithLink(memberLink))
	m.answers = answers
	hall := hallOf(len(fl.members))
	relay := control.NewRelay(peers, name, hall, raft, answers)
	require.NoError(fl.t, m.server.Register(consensus.Service, raft.Handler()))
	require.NoError(fl.t, m.server.Register(control.Service, answers))
	l, err := fl.net.Listen(string(name), string(name))
	require.NoError(fl.t, err)
	m.client = control.NewDocumentClient(peers, fl.seeds, func(uint64, []byte) error { return nil })
	joiner := control.NewJoiner(peers, name, identity, raft, m.client)
	go m.server.Serve(l)
	raft.Start()
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(fl.ctx)
	controller := control.NewRolloutController(raft, answers, fleetBounds)
	tasks := []func(context.Context){keeper.Run, relay.Run, joiner.Run, controller.Run}
	if fl.platform != nil {
		tasks = append(tasks, fl.meter(m, peers, answers)...)
	}
	for _, run := range tasks {
		fl.spawn(func(context.Context) { run(ctx) })
	}
	fl.members = append(fl.members, m)
	return m
}

func (fl *fleet) spawn(run func(context.Context)) {
	fl.tasks.Add(1)
	go func() {
		defer fl.tasks.Done()
		run(fl.ctx)
	}()
}

func (fl *fleet) startEntry(i int) *fleetEntry {
	host := fmt.Sprintf("e%d", i+1)
	_, peers, traffic := fl.peersOf(host)
	e := &fleetEntry{peers: peers, traffic: traffic, since: map[uint64]time.Time{}}
	e.client = control.NewDocumentClient(peers, fl.seeds, func(version uint64, _ []byte) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.since[version] = time.Now()
		return nil
	})
	e.agent = rollout.NewAgent(uint64(i))
	e.client.WithRollouts(e.agent)
	e.client.AsEntry(control.EntryPlace{Address: host, DataHall: hallOf(i)}, func([]control.EntryPlace, bool) {})
	e.client.FeedTargets(func(f discovery.Feed) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if f.List != nil {
			e.targets = len(f.List)
		}
		return true
	})
	if fl.platform != nil {
		e.clock = groupclock.NewFollower(groupclock.NewSteady())
		e.counter = metering.NewCounter(usageConfig, e.clock)
		e.client.WithClock(e.clock)
		e.client.WithUsage(e.counter)
		e.client.WithDemand(func() []fleetpkg.Demand { return []fleetpkg.Demand{{Service: fleetService, Requests: 1}} })
	}
	e.client.Start()
	fl.entries = append(fl.entries, e)
	return e
}

// stop ends a member as a planned stop does.
func (m *fleetMember) stop() {
	m.cancel()
	m.raft.Close()
	m.server.Close()
	m.client.Close()
	m.peers.Close()
}

func (fl *fleet) close() {
	fl.cancel()
	for _, e := range fl.entries {
		e.client.Close()
		e.peers.Close()
	}
	fl.tasks.Wait()
	for _, m := range fl.members {
		m.stop()
	}
}

// awaitLeader waits until one member leads.
func (fl *fleet) awaitLeader() {
	for fl.leader() == nil {
		time.Sleep(heartbeat)
	}
}

func (fl *fleet) leader() *fleetMember {
	for _, m := range fl.members {
		if m.raft.Leads() {
			return m
		}
	}
	return nil
}

// offer hands a document to the first member, as an operator does, and returns
// when it was acknowledged.
func (fl *fleet) offer(version uint64, doc []byte) time.Time {
	_, err := fl.members[0].client.Offer(fl.ctx, version, doc)
	require.NoError(fl.t, err)
	return time.Now()
}

// late returns how many entries did not have a version, or a newer one, in
// force in time.
func (fl *fleet) late(version uint64, acknowledged time.Time) int {
	n := 0
	for _, e := range fl.entries {
		if !e.inForce(version, acknowledged.Add(inForceTime)) {
			n++
		}
	}
	return n
}

func (e *fleetEntry) inForce(version uint64, by time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for v, at := range e.since {
		if v >= version && !at.After(by) {
			return true
		}
	}
	return false
}

// holding returns how many entries hold a list of so many targets.
func (fl *fleet) holding(targets int) int {
	n := 0
	for _, e := range fl.entries {
		e.mu.Lock()
		if e.targets == targets {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// routesDocument returns a document with so many routes; one with more routes
// begins with those of the shorter one.
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
