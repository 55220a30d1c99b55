package quota

import (
	"sync"

	"github.com/walnutramp/walnutramp/internal/rendezvous"
)

// Members lists the nodes of one version of the set. Addresses must not be modified.
type Members struct {
	Version   uint64 // identifies the list; 0 for none
	Addresses []string
}

// Owner returns the node that a key belongs to, by rendezvous hashing; empty if there are
// no nodes.
func (m Members) Owner(key string) string {
	var owner string
	var highest uint64
	for _, address := range m.Addresses {
		if weight := rendezvous.Weight(key, address); owner == "" || weight > highest {
			owner, highest = address, weight
		}
	}
	return owner
}

// Ownership tells a node which keys are its own. At any time at most one node may use a key,
// and the next owner may only a span later: if two nodes may use their shares within one
// span, each of them is in the other's list, so that rendezvous hashing ranks them alike in
// both, whatever other nodes the lists contain.
type Ownership struct {
	holder *Holder
	self   string

	mu      sync.Mutex
	members Members
}

// NewOwnership returns the ownership of the node at an address, which holds a share.
// Until SetMembers it owns nothing.
func NewOwnership(h *Holder, self string) *Ownership { return &Ownership{holder: h, self: self} }

// Self returns the node's address.
func (o *Ownership) Self() string { return o.self }

// SetMembers sets the list of nodes as the control group told it.
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
	return m, m.Version != 0 && o.holder.shareVersion() == m.Version
}
