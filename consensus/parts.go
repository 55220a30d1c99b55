package consensus

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"
)

// Entries or a snapshot that are too large for one call go to a follower in
// parts, one call after the other. Each call is short, so that its time limit
// holds on any link, and each is a heartbeat. Before, one that took longer than
// a call may last was sent whole again and again, and the leader was deposed:
// with an entry of 3 MB, seven followers and a link of 100 Mbit/s, always.

// Part is a piece of what is too large for one call.
type Part struct {
	Hash   uint64 // of the whole
	Size   int    // of the whole, in bytes
	Offset int    // of Data in it
	Data   []byte
}

// payload is the whole, as it is encoded.
type payload struct {
	Entries  []Entry
	Snapshot *Snapshot
}

// size is about how many bytes the payload takes up in a call.
func (p *payload) size() int {
	n := 0
	for _, e := range p.Entries {
		n += len(e.Data)
	}
	if p.Snapshot != nil {
		n += len(p.Snapshot.State)
	}
	return n
}

// payloadKey tells payloads apart, within a term.
type payloadKey struct {
	prev, last uint64 // indexes: the one before, and the last one
	snapshot   bool
}

// outgoing is a payload on its way to a follower.
type outgoing struct {
	key   payloadKey
	snap  *Snapshot // where it is one
	hash  uint64
	bytes []byte
	held  int // bytes that the follower holds
}

// fitting returns the first entries that fit one call; one at least.
func fitting(entries []Entry, limit int) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > limit && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// snapshotFor returns the snapshot to send to a follower. One that is on its way
// is sent to its end, also when a newer one is there: else a group that takes
// many changes would begin anew for ever. The caller holds the mutex.
func (m *Member) snapshotFor(p *progress) *Snapshot {
	if p.out != nil && p.out.snap != nil {
		return p.out.snap
	}
	snap := m.store.snapshot
	return &snap
}

// split puts the next part in the place of a payload that is too large for one
// call. The caller holds the mutex.
func (m *Member) split(p *progress, args AppendArgs) AppendArgs {
	whole := payload{Entries: args.Entries, Snapshot: args.Snapshot}
	if whole.size() <= m.cfg.CallBytes {
		p.out = nil
		return args
	}
	key := payloadKey{prev: args.PrevIndex, last: args.PrevIndex + uint64(len(args.Entries)), snapshot: args.Snapshot != nil}
	if p.out == nil || p.out.key != key {
		p.out = m.encodePayload(key, whole)
	}
	end := min(p.out.held+m.cfg.CallBytes, len(p.out.bytes))
	args.Entries, args.Snapshot = nil, nil
	args.Part = &Part{Hash: p.out.hash, Size: len(p.out.bytes), Offset: p.out.held, Data: p.out.bytes[p.out.held:end]}
	return args
}

// encodePayload encodes a payload, once for all followers that need it now. The
// caller holds the mutex.
func (m *Member) encodePayload(key payloadKey, whole payload) *outgoing {
	for _, other := range m.follow {
		if other.out != nil && other.out.key == key {
			return &outgoing{key: key, snap: whole.Snapshot, hash: other.out.hash, bytes: other.out.bytes}
		}
	}
	encoded, err := msgpack.Marshal(whole)
	if err != nil {
		panic(err) // these types always encode
	}
	return &outgoing{key: key, snap: whole.Snapshot, hash: xxhash.Sum64(encoded), bytes: encoded}
}

// incoming is a payload of which a follower holds the beginning.
type incoming struct {
	hash  uint64
	bytes []byte
}

// gather takes a part. Once all are there it puts the payload into args and
// returns true. The caller holds the mutex.
func (m *Member) gather(args *AppendArgs) bool {
	part := args.Part
	if m.in == nil || m.in.hash != part.Hash {
		m.in = &incoming{hash: part.Hash}
	}
	if part.Offset == len(m.in.bytes) {
		m.in.bytes = append(m.in.bytes, part.Data...)
	}
	if len(m.in.bytes) < part.Size {
		return false
	}
	whole, err := decodePayload(m.in)
	m.in = nil
	if err != nil {
		klog.ErrorS(err, "Parts of entries not taken", "node", m.node, "leader", args.Leader, "bytes", part.Size)
		return false
	}
	args.Entries, args.Snapshot, args.Part = whole.Entries, whole.Snapshot, nil
	return true
}

func decodePayload(in *incoming) (payload, error) {
	var whole payload
	if xxhash.Sum64(in.bytes) != in.hash {
		return whole, errors.New("the parts do not fit")
	}
	err := msgpack.Unmarshal(in.bytes, &whole)
	return whole, errors.Wrap(err, "payload")
}

// gathered returns how many bytes of a payload this member holds. The caller
// holds the mutex.
func (m *Member) gathered() int {
	if m.in == nil {
		return 0
	}
	return len(m.in.bytes)
}
