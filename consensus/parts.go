package consensus

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"
)

// Entries or a snapshot too large for one call are sent to a follower in parts,
// in successive calls. Each call stays within its timeout on slow links and
// also serves as a heartbeat. In one call, an entry of some MB to seven followers
// over 100 Mbit/s would time out, be sent whole again and depose the leader.

// Part is a fragment of an encoded payload.
type Part struct {
	Hash   uint64 // xxhash64 of the whole payload
	Size   int    // size of the whole payload, in bytes
	Offset int    // offset of Data in the payload
	Data   []byte
}

// payload holds the entries or the snapshot that are sent in parts.
type payload struct {
	Entries  []Entry
	Snapshot *Snapshot
}

// size returns the approximate encoded size in bytes.
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

// payloadKey identifies a payload within a term.
type payloadKey struct {
	prev, last uint64 // index before the first entry, and of the last
	snapshot   bool
}

// outgoing is a payload that is being sent to a follower.
type outgoing struct {
	key      payloadKey
	snap     *Snapshot // nil if the payload has entries
	hash     uint64
	bytes    []byte
	received int // number of bytes that the follower holds
}

// fitEntries returns the leading entries that fit into limit bytes, at least
// one.
func fitEntries(entries []Entry, limit int) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > limit && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// snapshotFor returns the snapshot to send to a follower. A transfer in
// progress is completed even if a newer snapshot exists; otherwise, under
// steady writes, it would restart for ever. The caller holds m.mu.
func (m *Member) snapshotFor(p *progress) *Snapshot {
	if p.out != nil && p.out.snap != nil {
		return p.out.snap
	}
	snap := m.store.snapshot
	return &snap
}

// nextPart replaces a payload that is too large for one call by its next part.
// The caller holds m.mu.
func (m *Member) nextPart(p *progress, args AppendArgs) AppendArgs {
	full := payload{Entries: args.Entries, Snapshot: args.Snapshot}
	if full.size() <= m.cfg.CallBytes {
		p.out = nil
		return args
	}
	key := payloadKey{prev: args.PrevIndex, last: args.PrevIndex + uint64(len(args.Entries)), snapshot: args.Snapshot != nil}
	if p.out == nil || p.out.key != key {
		p.out = m.encodePayload(key, full)
	}
	end := min(p.out.received+m.cfg.CallBytes, len(p.out.bytes))
	args.Entries, args.Snapshot = nil, nil
	args.Part = &Part{Hash: p.out.hash, Size: len(p.out.bytes), Offset: p.out.received, Data: p.out.bytes[p.out.received:end]}
	return args
}

// encodePayload encodes a payload, and shares the encoding with other followers
// that receive the same one. The caller holds m.mu.
func (m *Member) encodePayload(key payloadKey, full payload) *outgoing {
	for _, other := range m.followers {
		if other.out != nil && other.out.key == key {
			return &outgoing{key: key, snap: full.Snapshot, hash: other.out.hash, bytes: other.out.bytes}
		}
	}
	encoded, err := msgpack.Marshal(full)
	if err != nil {
		panic(err) // these types always encode
	}
	return &outgoing{key: key, snap: full.Snapshot, hash: xxhash.Sum64(encoded), bytes: encoded}
}

// incoming is a partially received payload.
type incoming struct {
	hash  uint64
	bytes []byte
}

// addPart appends a part. When the payload is complete, it decodes it into args
// and returns true. It keeps the payload until it is stored, since a full disk may
// refuse it several times. The caller holds m.mu.
func (m *Member) addPart(args *AppendArgs) bool {
	part := args.Part
	if m.partial == nil || m.partial.hash != part.Hash {
		m.partial = &incoming{hash: part.Hash}
	}
	if part.Offset == len(m.partial.bytes) {
		m.partial.bytes = append(m.partial.bytes, part.Data...)
	}
	if len(m.partial.bytes) < part.Size {
		return false
	}
	full, err := decodePayload(m.partial)
	if err != nil {
		m.partial = nil
		klog.ErrorS(err, "Dropping payload received in parts", "node", m.node, "leader", args.Leader, "bytes", part.Size)
		return false
	}
	args.Entries, args.Snapshot, args.Part = full.Entries, full.Snapshot, nil
	return true
}

func decodePayload(in *incoming) (payload, error) {
	var full payload
	if xxhash.Sum64(in.bytes) != in.hash {
		return full, errors.New("checksum mismatch in payload received in parts")
	}
	err := msgpack.Unmarshal(in.bytes, &full)
	return full, errors.Wrap(err, "payload")
}

// receivedBytes returns how many bytes of a payload this member holds. The
// caller holds m.mu.
func (m *Member) receivedBytes() int {
	if m.partial == nil {
		return 0
	}
	return len(m.partial.bytes)
}
