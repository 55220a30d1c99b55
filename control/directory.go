package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryNode is an entry node and its location.
type EntryNode struct {
	Address  string // for calls by other entry nodes
	DataHall string // empty if unknown
	Disk     bool   // its files survive a power loss
}

func entryAddress(e EntryNode) string { return e.Address }

func compareAddresses(a, b EntryNode) int { return cmp.Compare(a.Address, b.Address) }

// DirectoryReply lists the entry nodes, or the changes since the version that the
// requester holds.
type DirectoryReply struct {
	Version uint64 // 0 if unknown
	From    uint64 // version that the changes apply to; 0 for the full list
	Joined  []HallEntries
	Left    []string // addresses
}

// HallEntries lists the entry nodes of one data hall, so that its name is sent only
// once.
type HallEntries struct {
	DataHall  string
	Addresses []string
	Disks     []string // addresses of nodes whose files survive a power loss; not in Addresses
}

// groupByHall groups entry nodes by data hall.
func groupByHall(nodes []EntryNode) []HallEntries {
	var groups []HallEntries
	index := map[string]int{}
	for _, e := range nodes {
		i, found := index[e.DataHall]
		if !found {
			i = len(groups)
			index[e.DataHall] = i
			groups = append(groups, HallEntries{DataHall: e.DataHall})
		}
		if e.Disk {
			groups[i].Disks = append(groups[i].Disks, e.Address)
		} else {
			groups[i].Addresses = append(groups[i].Addresses, e.Address)
		}
	}
	return groups
}

// joinedNodes returns the entry nodes in Joined.
func (r *DirectoryReply) joinedNodes() []EntryNode {
	var nodes []EntryNode
	for _, h := range r.Joined {
		for _, a := range h.Addresses {
			nodes = append(nodes, EntryNode{Address: a, DataHall: h.DataHall})
		}
		for _, a := range h.Disks {
			nodes = append(nodes, EntryNode{Address: a, DataHall: h.DataHall, Disk: true})
		}
	}
	return nodes
}

// apply applies the reply to the entry nodes held at a version; the result is not
// sorted. It returns false if the changes apply to another version.
func (r *DirectoryReply) apply(version uint64, nodes []EntryNode) ([]EntryNode, bool) {
	if r.From == 0 {
		return r.joinedNodes(), true
	}
	if r.From != version {
		return nil, false
	}
	return applyDiff(nodes, r.Left, r.joinedNodes(), entryAddress), true
}

// directoryVersion is one immutable version of the directory, sorted by address.
type directoryVersion struct {
	version uint64 // hash of the entries
	entries []EntryNode
	// changes caches the replies by the version that the requester holds; 0 is the full
	// list.
	changes map[uint64]*DirectoryReply
}

func newDirectoryVersion(nodes []EntryNode) directoryVersion {
	hash := xxhash.New()
	for _, e := range nodes {
		fmt.Fprintln(hash, e.Address, e.DataHall, e.Disk)
	}
	return directoryVersion{version: max(1, hash.Sum64()), entries: nodes, changes: map[uint64]*DirectoryReply{}}
}

// maxDirectoryVersions is how many versions are kept to compute changes from.
// Requesters poll every second, and few entry nodes join or leave in between.
const maxDirectoryVersions = 32

// directory holds the newest version of the list of entry nodes and recent ones.
type directory struct {
	versions []directoryVersion // newest last
}

// newest returns the newest version; its version number is 0 before the first.
func (d *directory) newest() *directoryVersion {
	if len(d.versions) == 0 {
		return &directoryVersion{}
	}
	return &d.versions[len(d.versions)-1]
}

// add appends a version unless it equals the newest.
func (d *directory) add(v directoryVersion) {
	if d.newest().version == v.version {
		return
	}
	d.versions = append(d.versions, v)
	d.versions = d.versions[max(0, len(d.versions)-maxDirectoryVersions):]
}

// applyReply brings the directory up to that of a reply. If the changes do not apply to
// the newest version, it forgets all, so that the full list is requested next.
func (d *directory) applyReply(r *DirectoryReply) {
	current := d.newest()
	if r.Version == 0 || r.Version == current.version {
		return
	}
	nodes, ok := r.apply(current.version, current.entries)
	if !ok {
		*d = directory{}
		return
	}
	slices.SortFunc(nodes, compareAddresses)
	d.add(directoryVersion{version: r.Version, entries: nodes, changes: map[uint64]*DirectoryReply{}})
}

// reply returns the changes since a version, or the full list if that version is
// not kept. Before the first version there are no changes.
func (d *directory) reply(version uint64) DirectoryReply {
	newest := d.newest()
	if version == newest.version || newest.version == 0 {
		return DirectoryReply{Version: newest.version, From: version}
	}
	if cached := newest.changes[version]; cached != nil {
		return *cached
	}
	index := slices.IndexFunc(d.versions, func(v directoryVersion) bool { return v.version == version })
	reply := DirectoryReply{Version: newest.version}
	if index < 0 {
		version = 0
		reply.Joined = groupByHall(newest.entries)
	} else {
		left, joined := diff(d.versions[index].entries, newest.entries, entryAddress)
		reply.From, reply.Left, reply.Joined = version, left, groupByHall(joined)
	}
	newest.changes[version] = &reply
	return reply
}

// entryNodeTTL is how long an entry node stays listed after its last request.
const entryNodeTTL = 4 * time.Second

// entryRegistry tracks the entry nodes that recently asked for the newest document, here
// or at a relay.
type entryRegistry struct {
	mu         sync.Mutex
	nodes      map[string]registeredNode // by address
	changed    bool                      // since the newest version
	nextExpiry time.Time                 // no node expires before this time
	directory  directory
}

type registeredNode struct {
	EntryNode
	lastSeen time.Time
}

// register records a request by an entry node; one without an address is ignored. A
// data hall and disk reported earlier are kept if the data hall is now unknown.
func (e *entryRegistry) register(node EntryNode) {
	if node.Address == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.nodes == nil {
		e.nodes = map[string]registeredNode{}
	}
	previous, registered := e.nodes[node.Address]
	if registered && node.DataHall == "" {
		node = previous.EntryNode
	}
	e.changed = e.changed || !registered || previous.EntryNode != node
	e.nodes[node.Address] = registeredNode{EntryNode: node, lastSeen: time.Now()}
}

// current returns the directory, brought up to date. The caller holds the mutex.
func (e *entryRegistry) current() *directory {
	now := time.Now()
	if !now.Before(e.nextExpiry) {
		e.expire(now)
	}
	if e.changed {
		e.changed = false
		live := make([]EntryNode, 0, len(e.nodes))
		for _, node := range e.nodes {
			live = append(live, node.EntryNode)
		}
		slices.SortFunc(live, compareAddresses)
		e.directory.add(newDirectoryVersion(live))
	}
	return &e.directory
}

// expire removes the entry nodes whose TTL has passed. The caller holds the mutex.
func (e *entryRegistry) expire(now time.Time) {
	e.nextExpiry = now.Add(entryNodeTTL)
	for address, node := range e.nodes {
		if now.Sub(node.lastSeen) > entryNodeTTL {
			delete(e.nodes, address)
			e.changed = true
			continue
		}
		if expiry := node.lastSeen.Add(entryNodeTTL + 1); expiry.Before(e.nextExpiry) {
			e.nextExpiry = expiry
		}
	}
}

// addresses returns the sorted addresses of the live entry nodes.
func (e *entryRegistry) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return addressesOf(e.current().newest().entries)
}

func addressesOf(nodes []EntryNode) []string {
	addresses := make([]string, len(nodes))
	for i, e := range nodes {
		addresses[i] = e.Address
	}
	return addresses
}

// diskAddresses returns the addresses of the live entry nodes with durable files.
func (e *entryRegistry) diskAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	withDisk := slices.DeleteFunc(slices.Clone(e.current().newest().entries), func(p EntryNode) bool { return !p.Disk })
	return addressesOf(withDisk)
}

// count returns the number of live entry nodes.
func (e *entryRegistry) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.current().newest().entries)
}

// fillReply adds the changes of the directory to a reply.
func (e *entryRegistry) fillReply(args NewestArgs, reply *NewestReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current().fillReply(args, reply)
}

// fillReply adds the changes of the directory for a requester that uses it. Older
// builds get all addresses.
func (d *directory) fillReply(args NewestArgs, reply *NewestReply) {
	if !args.wantsTargets() {
		return
	}
	if args.Directory {
		reply.Directory = d.reply(args.Entries)
		return
	}
	// Older builds identify a version by its addresses only and send that back.
	addresses := addressesOf(d.newest().entries)
	reply.EntriesVersion = max(1, xxhash.Sum64String(strings.Join(addresses, " ")))
	if reply.EntriesVersion != args.Entries {
		reply.Entries = addresses
	}
}
