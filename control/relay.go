package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/consensus"
	"github.com/walnutramp/walnutramp/internal/pause"
	"github.com/walnutramp/walnutramp/internal/rendezvous"
	"github.com/walnutramp/walnutramp/internal/uptime"
	"k8s.io/klog/v2"
)

// On a large site the leader would answer every entry itself: hundreds of
// questions a second, and hundreds of copies of each change. So it names each
// entry a member of its data hall that relays its word. A relay has the
// documents anyway, as a member; it asks the leader for the word that they are
// the newest and for the list of targets.

// Bounds of relaying.
const (
	relayedFrom = 100                     // entries: up to so many the leader answers itself
	relayFresh  = 1600 * time.Millisecond // how old the leader's word may be that is relayed
	relayLife   = 5 * time.Second         // since a relay last asked the leader
	relayPause  = 100 * time.Millisecond  // after a question in vain
	relayRest   = 2 * time.Second         // between questions while nobody needs a relay
	relayShow   = 250 * time.Millisecond  // in which a member finds a new leader: two pauses, and the way there
	relayLag    = 300 * time.Millisecond  // by which a member may apply later than the leader, or hear its word
)

// relays are the members that relay the leader's word, by data hall.
type relays struct {
	mu    sync.Mutex
	heard map[string]map[string]time.Time // by data hall and address
	came  chan struct{}                   // closed when another relay has asked
}

// note notes a relay that asks; an empty address is none.
func (r *relays) note(hall, address string) {
	if address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard = map[string]map[string]time.Time{}
	}
	if r.heard[hall] == nil {
		r.heard[hall] = map[string]time.Time{}
	}
	if _, known := r.heard[hall][address]; !known && r.came != nil {
		close(r.came)
		r.came = nil
	}
	r.heard[hall][address] = uptime.Now()
}

// await is of, and waits for a while where no relay of the hall has asked yet:
// after a start of all, entries ask a new leader before its relays do, and
// would all read the list of targets there. With 300 entries and 3,000 targets
// the leader carried 12.8 MB within 3 s of a start of all without the wait, and
// 2.6 MB, for its own hall, with it (TestStartOfAllSparesTheLeader).
func (r *relays) await(ctx context.Context, hall, entry string) walnutramp.NodeName {
	late := time.NewTimer(relayShow)
	defer late.Stop()
	for {
		came := r.next()
		if near := r.of(hall, entry); near != "" {
			return near
		}
		select {
		case <-came:
		case <-late.C:
			return ""
		case <-ctx.Done():
			return ""
		}
	}
}

// next returns what is closed when another relay has asked.
func (r *relays) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.came == nil {
		r.came = make(chan struct{})
	}
	return r.came
}

// of returns the relay of an entry: one of its data hall, always the same
// while the same ones are there. Empty if there is none.
func (r *relays) of(hall, entry string) walnutramp.NodeName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best string
	var highest uint64
	for address, at := range r.heard[hall] {
		if uptime.Since(at) > relayLife {
			delete(r.heard[hall], address)
			continue
		}
		if h := rendezvous.Weight(entry, address); best == "" || h > highest {
			best, highest = address, h
		}
	}
	return walnutramp.NodeName(best)
}

// Relay keeps a member that does not lead up to date with the leader's word.
type Relay struct {
	peers  Peers
	node   walnutramp.NodeName
	hall   string
	member *consensus.Member
	server *Server

	mu       sync.Mutex
	asked    time.Time     // when the newest word was asked for
	version  uint64        // that it confirmed as the newest
	whole    bool          // the whole list of targets is needed
	everyone directory     // the entries, as it named them
	share    passedWord    // on the entries that this member answers
	told     chan struct{} // closed when a newer word is there
}

// NewRelay returns a relay for a member's server, which answers with its word
// from then on.
func NewRelay(peers Peers, node walnutramp.NodeName, hall string, m *consensus.Member, s *Server) *Relay {
	r := &Relay{peers: peers, node: node, hall: hall, member: m, server: s, told: make(chan struct{})}
	s.relay = r
	return r
}

// Run asks the leader, as long as another member leads, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		leader := r.member.Leader()
		switch {
		case r.member.Leads() || leader == "" || !r.ask(ctx, leader):
			pause.For(ctx, relayPause)
		case !r.needed():
			pause.For(ctx, relayRest)
		}
	}
}

// needed reports whether there are so many entries that they are relayed to.
func (r *Relay) needed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.everyone.newest().entries) > relayedFrom
}

// ask asks the leader once, and waits for news there.
func (r *Relay) ask(ctx context.Context, leader walnutramp.NodeName) bool {
	ctx, cancel := context.WithTimeout(ctx, renewWait+answerLimit)
	defer cancel()
	args := r.question()
	asked := uptime.Now()
	var reply NewestReply
	if err := r.peers.Call(ctx, leader, Service+".Newest", args, &reply); err != nil || reply.Code != walnutramp.CodeOK || reply.Unconfirmed {
		return false
	}
	r.server.timekeeper.hear(reply.Time, asked)
	if err := reply.Roster.readWhole(ctx, r.peers, leader, ""); err != nil {
		klog.ErrorS(err, "List of targets not read", "leader", leader)
		return false
	}
	r.take(reply, asked)
	r.passWord(args, reply.Share, asked)
	return true
}

// question asks for what this member does not hold yet.
func (r *Relay) question() NewestArgs {
	held, _, _, _ := r.server.state.since(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	args := NewestArgs{
		Have: held.Version, Wait: renewWait, Entries: r.everyone.newest().version, Directory: true, Versions: anyVersions,
		DataHall: r.hall, Relay: string(r.node), Relayed: r.server.entries.all(), RelayedDisks: r.server.entries.disks(),
	}
	if r.server.roster != nil && !r.whole {
		args.Roster, _ = r.server.roster.held()
	}
	return args
}

// take keeps the leader's word.
func (r *Relay) take(reply NewestReply, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.takeRoster(reply.Roster) {
		return
	}
	r.asked, r.version = asked, reply.Version
	close(r.told)
	r.told = make(chan struct{})
	r.takeDirectory(&reply)
}

// takeDirectory keeps the entries that the leader named. The caller holds the mutex.
func (r *Relay) takeDirectory(reply *NewestReply) {
	told, held := &reply.Directory, r.everyone.newest()
	if told.Version == 0 && reply.EntriesVersion != 0 && reply.Entries != nil { // an older build's
		told = &DirectoryReply{Version: reply.EntriesVersion, Joined: unplaced(reply.Entries)}
	}
	if told.Version == 0 || told.Version == held.version {
		return
	}
	entries, ok := told.apply(held.version, held.entries)
	if !ok {
		r.everyone = directory{} // all are asked for next
		return
	}
	slices.SortFunc(entries, byAddress)
	r.everyone.add(directoryVersion{version: told.Version, entries: entries, changes: map[uint64]*DirectoryReply{}})
}

// unplaced returns entries of which only the addresses are known.
func unplaced(addresses []string) []HallEntries { return []HallEntries{{Addresses: addresses}} }

// takeRoster keeps the leader's list of targets; false if it does not fit. The
// caller holds the mutex.
func (r *Relay) takeRoster(told RosterReply) bool {
	if r.server.roster == nil || told.Version == 0 {
		return true
	}
	version, list := r.server.roster.held()
	if told.Version != version {
		list, err := told.Targets(version, list)
		if err == nil {
			r.server.roster.Set(list)
			version, _ = r.server.roster.held()
		}
		if r.whole = err != nil || version != told.Version; r.whole {
			klog.ErrorS(err, "List of targets not taken", "version", told.Version)
			return false
		}
	}
	r.server.roster.readBefore(told.Age)
	return true
}

// answer answers an entry with the leader's word, where there is a fresh one
// and this member holds what it confirmed. An entry that the leader itself
// should answer gets false.
func (r *Relay) answer(ctx context.Context, s *Server, args NewestArgs, reply *NewestReply) bool {
	if r == nil || !r.needed() || !r.fresh() {
		return false
	}
	came := uptime.Now()
	s.await(ctx, args)
	if !r.awaitFresh() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.fill(args, reply)
	reply.Age = uptime.Since(r.asked)
	reply.Relay = r.node
	reply.Share = r.share.to(args.Entry, came)
	if s.reports != nil {
		reply.Near = r.node
	}
	reply.Leader = ""
	if s.roster != nil {
		reply.Roster = s.roster.told(args.Roster)
	}
	r.everyone.tell(args, reply)
	return true
}

// awaitFresh waits a little until the leader's word is fresh. A change wakes
// the entries that wait here and the leader's answer to this relay at the same
// moment, so the word that is held is then often too old for some milliseconds.
// Without the wait each change sent all entries to the leader: with 300 entries
// and a change every 3 s it carried 189 kB a second, and 29 with the wait
// (TestBytesAtTheBusiestMember).
func (r *Relay) awaitFresh() bool {
	late := time.NewTimer(relayLag)
	defer late.Stop()
	for {
		applied, _, _, changed := r.server.state.since(0)
		r.mu.Lock()
		told, fresh := r.told, r.holds(applied.Version)
		r.mu.Unlock()
		if fresh {
			return true
		}
		select {
		case <-told:
		case <-changed:
		case <-late.C:
			return false
		}
	}
}

// fresh reports whether the leader's word is new enough, and this member has
// applied what it confirmed.
func (r *Relay) fresh() bool {
	applied, _, _, _ := r.server.state.since(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds(applied.Version)
}

// holds reports whether the word is new enough and confirms no more than this
// member has applied. The caller holds the mutex.
func (r *Relay) holds(applied uint64) bool {
	return uptime.Since(r.asked) < relayFresh && applied >= r.version
}
