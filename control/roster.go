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

// TargetList holds the newest reading of the site's target list. Entry nodes receive it
// from the leader with the newest document, so that only one node reads the list;
// those that hold a recent version receive the changes only.
type TargetList struct {
	mu       sync.Mutex
	versions []targetListVersion // newest last
	readAt   time.Time
	changed  chan struct{}
}

// targetListVersion is one reading of the target list.
type targetListVersion struct {
	version    uint64 // hash of the list
	list       []discovery.Target
	encoded    []byte
	compressed compressed // compressed on first use
	// changes caches the changes from older versions, by version.
	changes map[uint64]*TargetListChange
}

// maxTargetListVersions is how many readings are kept to compute changes from.
const maxTargetListVersions = 24

// NewTargetList returns an empty target list.
func NewTargetList() *TargetList { return &TargetList{changed: make(chan struct{})} }

// TargetListReply holds the target list, or the changes since the requester's
// version. If it holds neither, the requester's list is the newest.
type TargetListReply struct {
	Version uint64            // 0 if unknown
	From    uint64            // version that Change applies to
	Change  *TargetListChange // set if the requester's version is kept
	Whole   Payload           // the full list otherwise
	List    []byte            // the full list uncompressed; not sent
	Age     time.Duration     // since the list was read
}

// TargetListChange turns one target list into another.
type TargetListChange struct {
	Removed []string           // IDs
	Put     []discovery.Target // new or changed
}

func targetID(t discovery.Target) string { return t.ID }

// Set stores a reading, with the present time. The order of the targets does not matter.
func (r *TargetList) Set(list []discovery.Target) {
	list = append([]discovery.Target{}, list...) // not nil, which is encoded in another way than an empty list
	slices.SortFunc(list, func(a, b discovery.Target) int { return cmp.Compare(a.ID, b.ID) })
	encoded := encodeTargets(list)
	next := targetListVersion{version: max(1, xxhash.Sum64(encoded)), list: list, encoded: encoded, changes: map[uint64]*TargetListChange{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = uptime.Now()
	if next.version == r.newest().version {
		return
	}
	r.versions = append(r.versions, next)
	r.versions = r.versions[max(0, len(r.versions)-maxTargetListVersions):]
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetIfEmpty stores a reading if there is none.
func (r *TargetList) SetIfEmpty(list []discovery.Target) {
	if version, _ := r.current(); version == 0 {
		r.Set(list)
	}
}

// encodeTargets encodes a list as arrays, without field names.
func encodeTargets(list []discovery.Target) []byte {
	var text bytes.Buffer
	encoder := msgpack.NewEncoder(&text)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(list); err != nil {
		panic(err) // these types always encode
	}
	return text.Bytes()
}

// compressedReply returns the reply to the holder of a version, with the full list
// as a payload.
func (r *TargetList) compressedReply(version uint64) TargetListReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.reply(version)
	if reply.List != nil {
		reply.List = nil
		reply.Whole = r.compress(len(r.versions) - 1).payload()
	}
	return reply
}

// compress returns the compressed list of a reading. The caller holds the mutex.
func (r *TargetList) compress(index int) compressed {
	v := &r.versions[index]
	if v.compressed.bytes == nil {
		v.compressed = compress(v.encoded)
	}
	return v.compressed
}

// awaitCompressed returns the compressed list with a hash. It waits for the list
// until timeout, as a relay may receive it later than the leader.
func (r *TargetList) awaitCompressed(hash uint64, timeout time.Duration) (compressed, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		found, changed := r.findCompressed(hash)
		if found.bytes != nil {
			return found, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return compressed{}, false
		}
	}
}

// findCompressed returns the compressed list with a hash, if held, and a channel
// that is closed on the next new version.
func (r *TargetList) findCompressed(hash uint64) (compressed, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.versions) > 0 {
		r.compress(len(r.versions) - 1)
	}
	for _, v := range r.versions {
		if v.compressed.bytes != nil && v.compressed.hash == hash {
			return v.compressed, r.changed
		}
	}
	return compressed{}, r.changed
}

// readFull reads the full list if a node's reply announces one.
func (r *TargetListReply) readFull(ctx context.Context, peers Peers, node, source walnutramp.NodeName) error {
	if r.Whole.empty() {
		return nil
	}
	text, err := readPayload(ctx, peers, node, source, r.Whole, PieceArgs{})
	r.List = text
	return err
}

// newest returns the newest reading. The caller holds the mutex.
func (r *TargetList) newest() targetListVersion {
	if len(r.versions) == 0 {
		return targetListVersion{}
	}
	return r.versions[len(r.versions)-1]
}

// current returns the newest list, which must not be modified, and its version.
func (r *TargetList) current() (version uint64, list []discovery.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest().version, r.newest().list
}

// setAge sets how long ago another node read the newest list.
func (r *TargetList) setAge(age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = uptime.Now().Add(-age)
}

// reply returns the changes since a version, or the full list uncompressed. The
// caller holds the mutex.
func (r *TargetList) reply(version uint64) TargetListReply {
	newest := r.newest()
	reply := TargetListReply{Version: newest.version, Age: uptime.Since(r.readAt)}
	if version == newest.version {
		return reply
	}
	if change := r.changeSince(version); change != nil {
		reply.From, reply.Change = version, change
		return reply
	}
	reply.List = newest.encoded
	return reply
}

// changeSince returns the changes since a version, nil if that version is not kept.
// The caller holds the mutex.
func (r *TargetList) changeSince(version uint64) *TargetListChange {
	newest := r.newest()
	if change := newest.changes[version]; change != nil {
		return change
	}
	index := slices.IndexFunc(r.versions, func(v targetListVersion) bool { return v.version == version })
	if index < 0 {
		return nil
	}
	var change TargetListChange
	change.Removed, change.Put = diff(r.versions[index].list, newest.list, targetID)
	newest.changes[version] = &change
	return &change
}

// watch returns a channel that is closed on the next new version, and whether there is a
// list of another version than the given one.
func (r *TargetList) watch(version uint64) (changed <-chan struct{}, differs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newest().version
	return r.changed, newest != 0 && newest != version
}

// decode returns the list or the change for the holder of a version; neither if that
// version is the newest.
func (r *TargetListReply) decode(version uint64) (discovery.FeedUpdate, error) {
	f := discovery.FeedUpdate{Age: r.Age}
	if r.Version == version {
		return f, nil
	}
	if r.Change == nil {
		err := msgpack.Unmarshal(r.List, &f.List)
		if f.List == nil {
			f.List = []discovery.Target{} // an empty list, as opposed to none
		}
		return f, err
	}
	if r.From != version {
		return f, errors.Newf("change applies to target list %x, but %x is held", r.From, version)
	}
	change := discovery.Change(*r.Change)
	f.Change = &change
	return f, nil
}

// Targets applies the reply to the list that the requester holds at a version. It
// returns nil if the reply confirms that list.
func (r *TargetListReply) Targets(version uint64, list []discovery.Target) ([]discovery.Target, error) {
	f, err := r.decode(version)
	if f.Change != nil {
		return applyDiff(list, f.Change.Removed, f.Change.Put, targetID), err
	}
	return f.List, err
}
