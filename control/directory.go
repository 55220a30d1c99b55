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

// EntryPlace is an entry node and where it stands.
type EntryPlace struct {
	Address  string // at which it hears other entries
	DataHall string // empty if it is not known
	Disk     bool   // it keeps files over a loss of power
}

func entryAddress(e EntryPlace) string { return e.Address }

func byAddress(a, b EntryPlace) int { return cmp.Compare(a.Address, b.Address) }

// DirectoryReply tells an asker which entries there are, or what has changed since the
// version that it holds.
type DirectoryReply struct {
	Version uint64 // 0 where none is known
	From    uint64 // version that this is a change of; 0 for the whole
	Joined  []HallEntries
	Left    []string // addresses
}

// HallEntries are entries of one data hall: its name goes once for all.
type HallEntries struct {
	DataHall  string
	Addresses []string
	Disks     []string // addresses of others, which keep files over a loss of power
}

// byHall returns entries as they are told.
func byHall(entries []EntryPlace) []HallEntries {
	var told []HallEntries
	at := map[string]int{}
	for _, e := range entries {
		i, known := at[e.DataHall]
		if !known {
			i = len(told)
			at[e.DataHall] = i
			told = append(told, HallEntries{DataHall: e.DataHall})
		}
		if e.Disk {
			told[i].Disks = append(told[i].Disks, e.Address)
		} else {
			told[i].Addresses = append(told[i].Addresses, e.Address)
		}
	}
	return told
}

// joined returns the entries that a reply tells of.
func (r *DirectoryReply) joined() []EntryPlace {
	var entries []EntryPlace
	for _, h := range r.Joined {
		for _, a := range h.Addresses {
			entries = append(entries, EntryPlace{Address: a, DataHall: h.DataHall})
		}
		for _, a := range h.Disks {
			entries = append(entries, EntryPlace{Address: a, DataHall: h.DataHall, Disk: true})
		}
	}
	return entries
}

// apply returns the entries that a reply tells of, by those that the asker holds under a
// version; false if it is a change of others.
func (r *DirectoryReply) apply(held uint64, entries []EntryPlace) ([]EntryPlace, bool) {
	if r.From == 0 {
		return r.joined(), true
	}
	if r.From != held {
		return nil, false
	}
	return applied(entries, r.Left, r.joined(), entryAddress), true
}

// directoryVersion is the entries at one time, by address. Lists of them are not changed.
type directoryVersion struct {
	version uint64 // hash of the entries
	entries []EntryPlace
	// changes lead here from older versions, and from none; each is worked out once, when
	// it is first asked for.
	changes map[uint64]*DirectoryReply
}

func newDirectoryVersion(entries []EntryPlace) directoryVersion {
	hash := xxhash.New()
	for _, e := range entries {
		fmt.Fprintln(hash, e.Address, e.DataHall, e.Disk)
	}
	return directoryVersion{version: max(1, hash.Sum64()), entries: entries, changes: map[uint64]*DirectoryReply{}}
}

// keepDirectories is how many versions are kept to tell changes from. Askers ask each
// second, and few entries come or go within one.
const keepDirectories = 32

// directory is the newest version of the entries, with some before it.
type directory struct {
	past []directoryVersion // newest last
}

// newest returns the newest version; its version is 0 before the first.
func (d *directory) newest() *directoryVersion {
	if len(d.past) == 0 {
		return &directoryVersion{}
	}
	return &d.past[len(d.past)-1]
}

// add takes a version, unless it is the newest one.
func (d *directory) add(v directoryVersion) {
	if d.newest().version == v.version {
		return
	}
	d.past = append(d.past, v)
	d.past = d.past[max(0, len(d.past)-keepDirectories):]
}

// reply tells the holder of a version what is new.
func (d *directory) reply(held uint64) DirectoryReply {
	newest := d.newest()
	if held == newest.version || newest.version == 0 {
		return DirectoryReply{Version: newest.version, From: held}
	}
	if known := newest.changes[held]; known != nil {
		return *known
	}
	at := slices.IndexFunc(d.past, func(v directoryVersion) bool { return v.version == held })
	told := DirectoryReply{Version: newest.version}
	if at < 0 {
		held = 0
		told.Joined = byHall(newest.entries)
	} else {
		left, joined := difference(d.past[at].entries, newest.entries, entryAddress)
		told.From, told.Left, told.Joined = held, left, byHall(joined)
	}
	newest.changes[held] = &told
	return told
}

// entryLife is how long an entry counts as there since it asked.
const entryLife = 4 * time.Second

// entries are the entry nodes that asked for the newest document lately.
type entries struct {
	mu       sync.Mutex
	heard    map[string]heardEntry // by address
	changed  bool                  // since the newest version
	expireAt time.Time             // before which no entry is silent for too long
	known    directory
}

type heardEntry struct {
	EntryPlace
	at time.Time
}

// note notes an entry that asks; one without an address is none.
func (e *entries) note(asker EntryPlace) {
	if asker.Address == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heard == nil {
		e.heard = map[string]heardEntry{}
	}
	before, known := e.heard[asker.Address]
	if known && asker.DataHall == "" {
		asker = before.EntryPlace
	}
	e.changed = e.changed || !known || before.EntryPlace != asker
	e.heard[asker.Address] = heardEntry{EntryPlace: asker, at: time.Now()}
}

// current returns the directory, brought up to date. The caller holds the mutex.
func (e *entries) current() *directory {
	now := time.Now()
	if !now.Before(e.expireAt) {
		e.expire(now)
	}
	if e.changed {
		e.changed = false
		live := make([]EntryPlace, 0, len(e.heard))
		for _, entry := range e.heard {
			live = append(live, entry.EntryPlace)
		}
		slices.SortFunc(live, byAddress)
		e.known.add(newDirectoryVersion(live))
	}
	return &e.known
}

// expire drops the entries that were silent for too long. The caller holds the mutex.
func (e *entries) expire(now time.Time) {
	e.expireAt = now.Add(entryLife)
	for address, entry := range e.heard {
		if now.Sub(entry.at) > entryLife {
			delete(e.heard, address)
			e.changed = true
			continue
		}
		if at := entry.at.Add(entryLife + 1); at.Before(e.expireAt) {
			e.expireAt = at
		}
	}
}

// all returns the addresses of the entries that asked lately, in order.
func (e *entries) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return addressesOf(e.current().newest().entries)
}

func addressesOf(entries []EntryPlace) []string {
	addresses := make([]string, len(entries))
	for i, e := range entries {
		addresses[i] = e.Address
	}
	return addresses
}

// disks returns the addresses of those with a disk.
func (e *entries) disks() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	with := slices.DeleteFunc(slices.Clone(e.current().newest().entries), func(p EntryPlace) bool { return !p.Disk })
	return addressesOf(with)
}

// count returns how many entries asked lately.
func (e *entries) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.current().newest().entries)
}

// tell has a reply name the entries that asked lately.
func (e *entries) tell(args NewestArgs, reply *NewestReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current().tell(args, reply)
}

// tell has a reply to an asker that needs to know the entries tell what is new to it:
// one of an older build all addresses.
func (d *directory) tell(args NewestArgs, reply *NewestReply) {
	if !args.wantsRoster() {
		return
	}
	if args.Directory {
		reply.Directory = d.reply(args.Entries)
		return
	}
	// Older builds name a version by its addresses alone, and ask for what they were told.
	addresses := addressesOf(d.newest().entries)
	reply.EntriesVersion = max(1, xxhash.Sum64String(strings.Join(addresses, " ")))
	if reply.EntriesVersion != args.Entries {
		reply.Entries = addresses
	}
}
