package quota

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Members lists the nodes of one version of the set. The zero value is the list that is
// not known yet.
type Members struct {
	version   uint64 // identifies the list; 0 for none
	addresses []string
	hashes    []uint64 // of the addresses
}

// NewMembers returns the list of nodes of a version. It keeps addresses.
func NewMembers(version uint64, addresses []string) Members {
	m := Members{version: version, addresses: addresses, hashes: make([]uint64, len(addresses))}
	for i, address := range addresses {
		m.hashes[i] = xxhash.Sum64String(address)
	}
	return m
}

// Version identifies the list; 0 for the zero value.
func (m Members) Version() uint64 { return m.version }

// Owner returns the node that a key belongs to, by rendezvous hashing; empty if there are
// no nodes. It hashes no strings but the key, since sites have a thousand nodes.
func (m Members) Owner(key string) string {
	var owner string
	var highest uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:], xxhash.Sum64String(key))
	for i, address := range m.addresses {
		binary.LittleEndian.PutUint64(pair[8:], m.hashes[i])
		weight := xxhash.Sum64(pair[:])
		if owner == "" || weight > highest || weight == highest && address < owner {
			owner, highest = address, weight
		}
	}
	return owner
}

// Ownership decides which keys a node may use. At any time at most one node may use a key,
// and the next owner may only a span later: if two nodes may use their shares within one
// span, each of them is in the other's list, so that rendezvous hashing ranks them alike in
// both, whatever other nodes the lists contain.
type Ownership struct {
	holder *Holder
	self   string
	span   time.Duration

	mu      sync.Mutex
	members Members
}

// NewOwnership returns the ownership of the node at an address, which holds a share. The
// uses of a key by two nodes are a span apart, which must not exceed the holder's: a node
// that has just started may use its keys sooner if it is shorter. Until SetMembers the node
// owns nothing.
func NewOwnership(h *Holder, self string, span time.Duration) *Ownership {
	return &Ownership{holder: h, self: self, span: span}
}

// Self returns the node's address.
func (o *Ownership) Self() string { return o.self }

// SetMembers sets the list of nodes that the control group sent.
func (o *Ownership) SetMembers(m Members) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members = m
}

// Members returns the latest list of nodes. usable says that the node may now use the keys
// that the list makes its own: it has a share that was assigned with this list.
func (o *Ownership) Members() (m Members, usable bool) {
	o.mu.Lock()
	m = o.members
	o.mu.Unlock()
	return m, m.version != 0 && o.holder.shareVersion(o.span) == m.version
}
