package control

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/walnutramp/walnutramp/bundle"
)

// maxDocument is the maximum size in bytes of a document or an update: four times
// what operators may submit.
const maxDocument = 64 << 20

// update turns the document that a node holds into a newer one.
type update struct {
	Deltas []bundle.Delta // in order
	Doc    []byte         // the whole document, if there are no deltas
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

// decodeUpdate decodes an update that updates.updateFrom encoded.
func decodeUpdate(text []byte) (update, error) {
	var u update
	err := msgpack.Unmarshal(text, &u)
	return u, errors.Wrap(err, "decode update")
}

// compressedUpdate is an update as it is sent.
type compressedUpdate struct {
	compressed
	from, to uint64 // versions
}

// maxCachedUpdates is how many compressed updates are cached. Nodes may still read
// a large update after newer versions were accepted, so it covers a few newest versions,
// for each of the few versions that nodes hold.
const maxCachedUpdates = 16

// updates compresses the updates to the newest document, once for all nodes that
// hold the same version.
type updates struct {
	state *State

	mu    sync.Mutex
	cache []compressedUpdate // newest last
}

// updateFrom returns the newest version and the update from the given version to it;
// empty if the given version is not older.
func (u *updates) updateFrom(version uint64) (Accepted, compressedUpdate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	newest, deltas, doc, _ := u.state.updateSince(version)
	if version >= newest.Version {
		return newest, compressedUpdate{}
	}
	index := slices.IndexFunc(u.cache, func(p compressedUpdate) bool { return p.from == version && p.to == newest.Version })
	if index >= 0 {
		return newest, u.cache[index]
	}
	p := compressedUpdate{compressed: compress(encode(update{Deltas: deltas, Doc: doc})), from: version, to: newest.Version}
	u.cache = append(u.cache, p)
	u.cache = u.cache[max(0, len(u.cache)-maxCachedUpdates):]
	return newest, p
}

// find returns the update with a hash: that from a version to the newest or, if this has
// another hash, a cached one, which may lead to a version that is no longer the newest.
func (u *updates) find(from, hash uint64) (compressed, bool) {
	_, p := u.updateFrom(from)
	if p.hash == hash && p.bytes != nil {
		return p.compressed, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	index := slices.IndexFunc(u.cache, func(p compressedUpdate) bool { return p.hash == hash })
	if index < 0 {
		return compressed{}, false
	}
	return u.cache[index].compressed, true
}
