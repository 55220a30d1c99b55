package control

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/internal/pack"
)

// maxDocument bounds a document, and what leads to one, in bytes: four times
// what operators may hand over.
const maxDocument = 64 << 20

// update leads from the document that a node holds to a newer one.
type update struct {
	Deltas []bundle.Delta // in order
	Doc    []byte         // the whole, where there are no deltas
}

// apply returns the newer document.
func (u *update) apply(doc []byte) ([]byte, error) {
	if u.Doc != nil {
		return u.Doc, nil
	}
	for i := range u.Deltas {
		var err error
		if doc, err = u.Deltas[i].Apply(doc); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

// unpackUpdate reads an update as updates.since packs it.
func unpackUpdate(packed []byte) (update, error) {
	var u update
	text, err := pack.Expand(packed, maxDocument)
	if err != nil {
		return u, err
	}
	return u, errors.Wrap(msgpack.Unmarshal(text, &u), "update")
}

// packedUpdate is an update as it is sent.
type packedUpdate struct {
	from, to uint64 // versions
	hash     uint64
	bytes    []byte
}

// keepUpdates is how many packed updates are kept. Nodes read a large one for
// a while, also when a newer version has come: a few versions times the few
// that nodes hold.
const keepUpdates = 16

// updates packs the updates to the newest document, each once for all nodes
// that hold the same version.
type updates struct {
	state *State

	mu   sync.Mutex
	kept []packedUpdate // newest last
}

// since returns the newest version and what leads to it from another; no bytes
// where that one is not older.
func (u *updates) since(version uint64) (Accepted, packedUpdate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	newest, deltas, doc, _ := u.state.since(version)
	if version >= newest.Version {
		return newest, packedUpdate{}
	}
	at := slices.IndexFunc(u.kept, func(p packedUpdate) bool { return p.from == version && p.to == newest.Version })
	if at >= 0 {
		return newest, u.kept[at]
	}
	packed := pack.Compress(encode(update{Deltas: deltas, Doc: doc}))
	p := packedUpdate{from: version, to: newest.Version, hash: xxhash.Sum64(packed), bytes: packed}
	u.kept = append(u.kept, p)
	u.kept = u.kept[max(0, len(u.kept)-keepUpdates):]
	return newest, p
}

// find returns the update of a hash that leads on from a version.
func (u *updates) find(from, hash uint64) (packedUpdate, bool) {
	_, p := u.since(from)
	if p.hash == hash && p.bytes != nil {
		return p, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	at := slices.IndexFunc(u.kept, func(p packedUpdate) bool { return p.hash == hash })
	if at < 0 {
		return packedUpdate{}, false
	}
	return u.kept[at], true
}
