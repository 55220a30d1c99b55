package control

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/uptime"
)

// Roster is the leader's newest reading of the site's list of targets. Entries
// get it with the word on the newest document, so that one node reads the list
// for all of them; one that holds a list of a while ago gets what has changed.
type Roster struct {
	mu      sync.Mutex
	past    []rosterVersion // newest last
	read    time.Time
	changed chan struct{}
}

// rosterVersion is one reading.
type rosterVersion struct {
	version uint64 // hash of the list
	list    []discovery.Target
	encoded []byte
	packed  packed // made when it is first asked for
	// changes lead here from older readings; each is worked out once, when it is
	// first asked for.
	changes map[uint64]*RosterChange
}

// keepRosters is how many past readings are kept to tell changes from.
const keepRosters = 24

// NewRoster returns a roster without a list.
func NewRoster() *Roster { return &Roster{changed: make(chan struct{})} }

// RosterReply is a list of targets, or what has changed since the asker's.
// Where neither is there, the asker's list is the newest.
type RosterReply struct {
	Version uint64        // 0 where none is known
	From    uint64        // version that Change is to be applied to
	Change  *RosterChange // where the asker's version is known
	Whole   Content       // where it is not
	List    []byte        // the whole as it was read
	Age     time.Duration // since the list was read
}

// RosterChange turns one list of targets into another.
type RosterChange struct {
	Removed []string           // IDs
	Put     []discovery.Target // new or changed
}

func targetID(t discovery.Target) string { return t.ID }

// Set takes a reading. The order of targets in it means nothing.
func (r *Roster) Set(list []discovery.Target) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b discovery.Target) int { return cmp.Compare(a.ID, b.ID) })
	encoded := encodeList(list)
	next := rosterVersion{version: max(1, xxhash.Sum64(encoded)), list: list, encoded: encoded, changes: map[uint64]*RosterChange{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = uptime.Now()
	if next.version == r.newest().version {
		return
	}
	r.past = append(r.past, next)
	r.past = r.past[max(0, len(r.past)-keepRosters):]
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetFirst takes a reading, unless there is one.
func (r *Roster) SetFirst(list []discovery.Target) {
	if version, _ := r.held(); version == 0 {
		r.Set(list)
	}
}

// encodeList encodes a list without the names of its fields.
func encodeList(list []discovery.Target) []byte {
	var text bytes.Buffer
	encoder := msgpack.NewEncoder(&text)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(list); err != nil {
		panic(err) // these types always encode
	}
	return text.Bytes()
}

// told returns what an answer to a holder of a version tells of the list.
func (r *Roster) told(version uint64) RosterReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.reply(version)
	if reply.List != nil {
		reply.List = nil
		reply.Whole = r.pack(len(r.past) - 1).content()
	}
	return reply
}

// pack returns a reading compressed. The caller holds the mutex.
func (r *Roster) pack(at int) packed {
	v := &r.past[at]
	if v.packed.bytes == nil {
		v.packed = newPacked(v.encoded)
	}
	return v.packed
}

// await returns the compressed reading of a hash. A member that relays may
// take it a little later than the leader.
func (r *Roster) await(hash uint64, limit time.Duration) (packed, bool) {
	late := time.NewTimer(limit)
	defer late.Stop()
	for {
		found, changed := r.find(hash)
		if found.bytes != nil {
			return found, true
		}
		select {
		case <-changed:
		case <-late.C:
			return packed{}, false
		}
	}
}

// find returns the compressed reading of a hash, if it is held, and what is
// closed when there is another reading.
func (r *Roster) find(hash uint64) (packed, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.past) > 0 {
		r.pack(len(r.past) - 1)
	}
	for _, v := range r.past {
		if v.packed.bytes != nil && v.packed.hash == hash {
			return v.packed, r.changed
		}
	}
	return packed{}, r.changed
}

// readWhole reads the whole list where the answer of a node tells of one.
func (t *RosterReply) readWhole(ctx context.Context, peers Peers, node, source walnutramp.NodeName) error {
	if t.Whole.none() {
		return nil
	}
	text, err := readContent(ctx, peers, node, source, t.Whole, PieceArgs{})
	t.List = text
	return err
}

// newest returns the newest reading. The caller holds the mutex.
func (r *Roster) newest() rosterVersion {
	if len(r.past) == 0 {
		return rosterVersion{}
	}
	return r.past[len(r.past)-1]
}

// held returns the newest reading, which must not be changed, and its version.
func (r *Roster) held() (version uint64, list []discovery.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest().version, r.newest().list
}

// readBefore notes how long ago the newest list was read, where another node
// read it.
func (r *Roster) readBefore(age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = uptime.Now().Add(-age)
}

// reply returns what leads from a version to the newest reading, with the whole
// list as it is. The caller holds the mutex.
func (r *Roster) reply(version uint64) RosterReply {
	newest := r.newest()
	reply := RosterReply{Version: newest.version, Age: uptime.Since(r.read)}
	if version == newest.version {
		return reply
	}
	if change := r.changeFrom(version); change != nil {
		reply.From, reply.Change = version, change
		return reply
	}
	reply.List = newest.encoded
	return reply
}

// changeFrom returns what leads from a reading to the newest, nil where that one is not
// kept. The caller holds the mutex.
func (r *Roster) changeFrom(version uint64) *RosterChange {
	newest := r.newest()
	if change := newest.changes[version]; change != nil {
		return change
	}
	at := slices.IndexFunc(r.past, func(v rosterVersion) bool { return v.version == version })
	if at < 0 {
		return nil
	}
	var change RosterChange
	change.Removed, change.Put = difference(r.past[at].list, newest.list, targetID)
	newest.changes[version] = &change
	return &change
}

func (r *Roster) watch(version uint64) (changed <-chan struct{}, other bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newest().version
	return r.changed, newest != 0 && newest != version
}

// feed returns what a reply tells the holder of a version.
func (r *RosterReply) feed(held uint64) (discovery.Feed, error) {
	f := discovery.Feed{Age: r.Age}
	if r.Version == held {
		return f, nil
	}
	if r.Change == nil {
		err := msgpack.Unmarshal(r.List, &f.List)
		if f.List == nil {
			f.List = []discovery.Target{} // an empty list is one, too
		}
		return f, err
	}
	if r.From != held {
		return f, errors.Newf("the change is of list %x, %x is held", r.From, held)
	}
	change := discovery.Change(*r.Change)
	f.Change = &change
	return f, nil
}

// Targets returns the list that a reply tells of, by the one that the asker
// holds under a version.
func (r *RosterReply) Targets(held uint64, list []discovery.Target) ([]discovery.Target, error) {
	f, err := r.feed(held)
	if f.Change != nil {
		return applied(list, f.Change.Removed, f.Change.Put, targetID), err
	}
	return f.List, err
}
