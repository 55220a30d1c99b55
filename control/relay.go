package control

import (
	"context"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// On a large site the leader does not answer every entry node itself. It refers
// each one to a member of its data hall that relays the leader's replies. As a
// member, a relay has the documents anyway; it asks the leader for the confirmation
// that they are the newest and for the target list.

// Bounds of relaying.
const (
	relayThreshold        = 100                     // entry nodes, up to which the leader answers all itself
	relayMaxAge           = 1600 * time.Millisecond // maximum age of a confirmation that is relayed
	relayTTL              = 5 * time.Second         // how long a relay counts after it last asked the leader
	relayRetryDelay       = 100 * time.Millisecond  // after a failed request
	relayIdleDelay        = 2 * time.Second         // between requests while no relay is needed
	relayDiscoveryTimeout = 250 * time.Millisecond  // how long awaitRelay waits for a relay of the data hall to ask the leader
	relayMaxLag           = 300 * time.Millisecond  // how long a request waits for a member to catch up with the leader
)

// relays tracks the members that relay the leader's replies, by data hall.
type relays struct {
	mu       sync.Mutex
	lastSeen map[string]map[string]time.Time // by data hall and address
	added    chan struct{}                   // closed when a relay is added
}

// register records a request by a relay; an empty address is ignored.
func (r *relays) register(hall, address string) {
	if address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastSeen == nil {
		r.lastSeen = map[string]map[string]time.Time{}
	}
	if r.lastSeen[hall] == nil {
		r.lastSeen[hall] = map[string]time.Time{}
	}
	if _, known := r.lastSeen[hall][address]; !known && r.added != nil {
		close(r.added)
		r.added = nil
	}
	r.lastSeen[hall][address] = uptime.Now()
}

// awaitRelay is choose, but waits up to relayDiscoveryTimeout if the data hall has no
// relay yet. After a full restart, entry nodes ask a new leader before its relays do,
// and would all read the target list from the leader: about five times the bytes of its own
// hall's nodes at 300 entry nodes.
func (r *relays) awaitRelay(ctx context.Context, hall, entry string) walnutramp.NodeName {
	timer := time.NewTimer(relayDiscoveryTimeout)
	defer timer.Stop()
	for {
		added := r.nextAdded()
		if relay := r.choose(hall, entry); relay != "" {
			return relay
		}
		select {
		case <-added:
		case <-timer.C:
			return ""
		case <-ctx.Done():
			return ""
		}
	}
}

// nextAdded returns a channel that is closed when another relay is added.
func (r *relays) nextAdded() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.added == nil {
		r.added = make(chan struct{})
	}
	return r.added
}

// choose returns the relay of an entry node, by rendezvous hashing among the relays
// of its data hall; empty if there is none.
func (r *relays) choose(hall, entry string) walnutramp.NodeName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var chosen string
	var highest uint64
	for address, seen := range r.lastSeen[hall] {
		if uptime.Since(seen) > relayTTL {
			delete(r.lastSeen[hall], address)
			continue
		}
		if weight := rendezvous.Weight(entry, address); chosen == "" || weight > highest {
			chosen, highest = address, weight
		}
	}
	return walnutramp.NodeName(chosen)
}

// Relay answers entry nodes on the leader's behalf, on a member that does not lead.
type Relay struct {
	peers  Peers
	node   walnutramp.NodeName
	hall   string
	member *consensus.Member
	server *Server

	mu        sync.Mutex
	askedAt   time.Time     // when the newest confirmation was requested
	version   uint64        // of the document that was confirmed as the newest
	needFull  bool          // request the full target list
	directory directory     // entry nodes, as named by the leader
	share     relayedShare  // of the retry budget, for the entry nodes that this member answers
	updated   chan struct{} // closed when a newer confirmation arrives
}

// NewRelay returns a relay and attaches it to a member's server.
func NewRelay(peers Peers, node walnutramp.NodeName, hall string, m *consensus.Member, s *Server) *Relay {
	r := &Relay{peers: peers, node: node, hall: hall, member: m, server: s, updated: make(chan struct{})}
	s.relay = r
	return r
}

// Run polls the leader while another member leads, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		leader := r.member.Leader()
		switch {
		case r.member.Leads() || leader == "" || !r.refresh(ctx, leader):
			pause.For(ctx, relayRetryDelay)
		case !r.enabled():
			pause.For(ctx, relayIdleDelay)
		}
	}
}

// enabled reports whether there are enough entry nodes for relaying.
func (r *Relay) enabled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.directory.newest().entries) > relayThreshold
}

// refresh asks the leader once, with a long poll. It returns false if it got no
// confirmed reply or could not read the target list.
func (r *Relay) refresh(ctx context.Context, leader walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, renewLongPoll+responseTimeout)
	defer cancel()
	args := r.newestArgs()
	askedAt := uptime.Now()
	var reply NewestReply
	if err := r.peers.Call(ctx, leader, Service+".Newest", args, &reply); err != nil || reply.Code != walnutramp.CodeOK || reply.Unconfirmed {
		return false
	}
	r.server.timekeeper.observe(reply.Time, askedAt)
	if err := reply.Roster.readFull(ctx, r.peers, leader, ""); err != nil {
		klog.ErrorS(err, "Failed to read target list", "leader", leader)
		return false
	}
	r.apply(reply, askedAt)
	r.cacheShare(args, &reply, askedAt)
	return true
}

// newestArgs requests what this member does not hold yet.
func (r *Relay) newestArgs() NewestArgs {
	applied, _, _, _ := r.server.state.updateSince(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	args := NewestArgs{
		Have: applied.Version, Wait: renewLongPoll, Entries: r.directory.newest().version, Directory: true, Versions: anyVersions,
		DataHall: r.hall, Relay: string(r.node), Relayed: r.server.entryNodes.addresses(), RelayedDisks: r.server.entryNodes.diskAddresses(),
		Ownership: true, Sharers: r.share.nodes.newest().version,
	}
	if r.server.targets != nil && !r.needFull {
		args.Roster, _ = r.server.targets.current()
	}
	return args
}

// apply stores the leader's reply, unless its target list does not apply; the
// confirmation is dropped then.
func (r *Relay) apply(reply NewestReply, askedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.applyTargets(reply.Roster) {
		return
	}
	r.askedAt, r.version = askedAt, reply.Version
	close(r.updated)
	r.updated = make(chan struct{})
	r.applyDirectory(&reply)
}

// applyDirectory stores the entry nodes of the leader's reply. The caller holds the
// mutex.
func (r *Relay) applyDirectory(reply *NewestReply) {
	entryNodes := &reply.Directory
	if entryNodes.Version == 0 && reply.EntriesVersion != 0 && reply.Entries != nil { // from an older build
		entryNodes = &DirectoryReply{Version: reply.EntriesVersion, Joined: withUnknownHall(reply.Entries)}
	}
	r.directory.applyReply(entryNodes)
}

// withUnknownHall lists addresses as entry nodes whose data hall is unknown.
func withUnknownHall(addresses []string) []HallEntries { return []HallEntries{{Addresses: addresses}} }

// applyTargets stores the target list of the leader's reply. It returns false if the
// change does not apply to the list held here; the full list is requested next. The
// caller holds the mutex.
func (r *Relay) applyTargets(reply TargetListReply) bool {
	if r.server.targets == nil || reply.Version == 0 {
		return true
	}
	version, list := r.server.targets.current()
	if reply.Version != version {
		list, err := reply.Targets(version, list)
		if err == nil {
			r.server.targets.Set(list)
			version, _ = r.server.targets.current()
		}
		if r.needFull = err != nil || version != reply.Version; r.needFull {
			klog.ErrorS(err, "Failed to apply target list", "version", reply.Version, "applied", version)
			return false
		}
	}
	r.server.targets.setAge(reply.Age)
	return true
}

// answer answers an entry node on the leader's behalf. It returns false if there is
// no fresh confirmation or this member has not applied the confirmed version; the
// entry node has to ask the leader then.
func (r *Relay) answer(ctx context.Context, s *Server, args NewestArgs, reply *NewestReply) bool {
	if r == nil || !r.enabled() || !r.fresh() {
		return false
	}
	receivedAt := uptime.Now()
	s.awaitChange(ctx, args)
	if !r.awaitFresh() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.fill(args, reply)
	reply.Age = uptime.Since(r.askedAt)
	reply.Relay = r.node
	r.share.fillShare(args, reply, receivedAt)
	if s.reports != nil {
		reply.Near = r.node
	}
	reply.Leader = ""
	if s.targets != nil {
		reply.Roster = s.targets.compressedReply(args.Roster)
	}
	r.directory.fillReply(args, reply)
	return true
}

// awaitFresh waits briefly for a fresh confirmation. A change wakes the waiting
// entry nodes and the leader's reply to this relay at the same time, so the
// confirmation is often a few milliseconds too old. Without the wait, each change
// would send all entry nodes to the leader.
func (r *Relay) awaitFresh() bool {
	timer := time.NewTimer(relayMaxLag)
	defer timer.Stop()
	for {
		applied, _, _, changed := r.server.state.updateSince(0)
		r.mu.Lock()
		updated, fresh := r.updated, r.freshFor(applied.Version)
		r.mu.Unlock()
		if fresh {
			return true
		}
		select {
		case <-updated:
		case <-changed:
		case <-timer.C:
			return false
		}
	}
}

// fresh reports whether the confirmation is recent and this member has applied the
// confirmed version.
func (r *Relay) fresh() bool {
	applied, _, _, _ := r.server.state.updateSince(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freshFor(applied.Version)
}

// freshFor reports whether the confirmation is recent and the given version, which this
// member has applied, is at least the confirmed one. The caller holds the mutex.
func (r *Relay) freshFor(applied uint64) bool {
	return uptime.Since(r.askedAt) < relayMaxAge && applied >= r.version
}
