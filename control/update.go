package control

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/bundle"
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

// decodeUpdate reads an update as updates.since encodes it.
func decodeUpdate(text []byte) (update, error) {
	var u update
	err := msgpack.Unmarshal(text, &u)
	return u, errors.Wrap(err, "update")
}

// packedUpdate is an update as it is sent.
type packedUpdate struct {
	packed
	from, to uint64 // versions
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

// since returns the newest version and what leads to it from another; nothing
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
	p := packedUpdate{packed: newPacked(encode(update{Deltas: deltas, Doc: doc})), from: version, to: newest.Version}
	u.kept = append(u.kept, p)
	u.kept = u.kept[max(0, len(u.kept)-keepUpdates):]
	return newest, p
}

// find returns the update of a hash that leads on from a version.
func (u *updates) find(from, hash uint64) (packed, bool) {
	_, p := u.since(from)
	if p.hash == hash && p.bytes != nil {
		return p.packed, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	at := slices.IndexFunc(u.kept, func(p packedUpdate) bool { return p.hash == hash })
	if at < 0 {
		return packed{}, false
	}
	return u.kept[at].packed, true
}
